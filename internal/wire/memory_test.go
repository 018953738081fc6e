package wire

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// allocated returns the number of bytes that a function allocates.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against clients that use up the process's memory by requests whose parsed form is many times as large as their
// bytes: heads of very many short fields, bodies of very many empty subqueries. Reading one may take no more than a few
// copies of its bytes.
func TestReadingARequestTakesLittleMemory(t *testing.T) {
	const maxCopies = 8 // of the request: the buffer while it grows, the body, its parts
	var distinct strings.Builder
	for n := 0; distinct.Len() < MaxHead-300; n++ {
		fmt.Fprintf(&distinct, "%x:\r\n", n)
	}
	sound := `{"segments":[{"segment":3,"boost":1}],"text":"x"}`
	text := strings.Repeat("x", MaxBody-100)
	for name, request := range map[string]string{
		"equal fields":     queryMessage(strings.Repeat("a:b\r\n", (MaxHead-300)/5), sound),
		"distinct fields":  queryMessage(distinct.String(), sound),
		"empty subqueries": queryMessage("", `{"segments":[`+strings.Repeat("{},", MaxBody/3-20)+`{}],"text":"x"}`),
		"nested arrays":    queryMessage("", `{"segments":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+`,"text":"x"}`),
		"a long text":      queryMessage("", `{"segments":[{"segment":3,"boost":1}],"text":"`+text+`"}`),
	} {
		bytes := allocated(func() {
			var reader RequestReader
			reader.Feed([]byte(request))
			read, _, err := reader.Next()
			if read == nil || err != nil {
				t.Errorf("%s: request %v, error %v", name, read, err)
				return
			}
			_, _ = ReadQuery(read, QueryRules{MaxTimeout: 10 * time.Second}) // may be refused
		})
		if limit := uint64(maxCopies*len(request) + maxCopies<<10); bytes > limit {
			t.Errorf("%s: %d bytes are allocated for %d, want at most %d", name, bytes, len(request), limit)
		}
	}
}

func queryMessage(fields, body string) string {
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: q\r\nReq-Deadline: 2.0\r\n%sContent-Length: %d\r\n\r\n%s",
		fields, len(body), body)
}
