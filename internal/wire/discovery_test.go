package wire

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func listsOf(text string, piece int) (got []string) {
	var reader EndpointListReader
	for len(text) > 0 {
		size := min(piece, len(text))
		reader.Feed([]byte(text[:size]))
		text = text[size:]
		for {
			list, last, err := reader.Next()
			if err != nil {
				return append(got, "error")
			}
			if list == nil {
				break
			}
			got = append(got, fmt.Sprint(list.Revision, list.All, len(list.Endpoints), last))
		}
	}
	return got
}

// Lists are read in pieces of several sizes. The result must not depend on the pieces; a list whose end is unknown is
// not returned.
func TestListsWholeAndSplit(t *testing.T) {
	const list = `{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"1:2","az":"a","pod_group":3,"state":"ready","boot_ms":0}]}`
	respond := func(status, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	for name, test := range map[string]struct{ input, want string }{
		"two": {respond("200 OK", list) + respond("200 OK", `{"rev":42,"all":false,"targets":[]}`),
			"[41 true 1 false 42 false 0 false]"},
		"in chunks": {fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(list), list), "[41 true 1 true]"},
		"a 500":     {respond("500 no", list), "[error]"},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n" + list, "[]"}, // not known to be complete
		"too long":  {"HTTP/1.1 200 OK\r\n\r\n" + list + strings.Repeat(" ", MaxBody), "[error]"},
		"bad JSON":  {respond("200 OK", "{"), "[error]"},
		"a removal": {respond("200 OK", `{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"gone"}]}`),
			"[43 false 1 false]"},
	} {
		for _, piece := range []int{1, 5, 1 << 20} {
			if got := fmt.Sprint(listsOf(test.input, piece)); got != test.want {
				t.Errorf("%s in pieces of %d: %s, want %s", name, piece, got, test.want)
			}
		}
	}
}

// A response without a length is complete once its connection has been closed in an orderly way, and not before.
func TestListWithoutALengthEndsWithItsConnection(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\n{\"rev\":4,\n \"all\":true,\"targets\":[]}\n": "4 true true",
		"HTTP/1.0 200 OK\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[]}":      "4 true true",
		"HTTP/1.1 200 OK\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[":        "error",
		"HTTP/1.1 200 OK\r\n\r\n": "error",
		"HTTP/1.1 200 OK\r\n":     "none",
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\":4,\"all\":true,\"targets\":[]}": "none",
	} {
		var reader EndpointListReader
		reader.Feed([]byte(text))
		if list, _, err := reader.Next(); list != nil || err != nil {
			t.Errorf("%q before the connection is closed: %v, %v", text, list, err)
		}
		reader.ConnClosed()
		got := "none"
		if list, last, err := reader.Next(); err != nil {
			got = "error"
		} else if list != nil {
			got = fmt.Sprint(list.Revision, list.All, last)
		}
		if got != want {
			t.Errorf("%q: %s, want %s", text, got, want)
		}
	}
}

// A list holds endpoints without an address, a cell or an id, and one in an unknown state. These are dropped or
// treated as draining; the others are kept.
func TestUnusableEndpointsDoNotInvalidateTheList(t *testing.T) {
	var list EndpointList
	if err := json.Unmarshal([]byte(`{"targets":[{"uid":"a","endpoint":"1:2","pod_group":3,"state":"ready"},
		{"uid":"b","endpoint":"1:2","pod_group":3,"state":"odd"},{"uid":"","state":"gone"},
		{"uid":"c","pod_group":3,"state":"ready"},{"uid":"d","endpoint":"1:2","state":"ready"},{"uid":"e","state":"gone"}]}`),
		&list); err != nil {
		t.Fatal(err)
	}
	unusable, got := list.DropUnusable(), ""
	for _, endpoint := range list.Endpoints {
		got += endpoint.UID + ":" + endpoint.State + " "
	}
	if got != "a:ready b:draining e:gone " || len(unusable) != 4 {
		t.Errorf("%s, unusable %q", got, unusable)
	}
}

// Lists do not depend on how their bytes are split.
func FuzzLists(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"rev\":1,\"all\":true,\"targets\":[]}", 4)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		if len(text) > 4096 {
			t.Skip()
		}
		if got, want := listsOf(text, 1+piece&0xff), listsOf(text, len(text)+1); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: %q in pieces, %q in one piece", text, got, want)
		}
	})
}
