package wire

import (
	"fmt"
	"strings"
	"testing"
)

// repliesOf feeds frames in pieces of a size and returns the replies read, with "error" last after an error.
func repliesOf(b []byte, piece int) (got []string) {
	var reader ReplyReader
	for len(b) > 0 {
		size := min(piece, len(b))
		reader.Feed(b[:size])
		b = b[size:]
		for {
			reply, err := reader.Next()
			if err != nil {
				return append(got, "error")
			}
			if reply == nil {
				break
			}
			got = append(got, fmt.Sprintf("%s %s %q", reply.ID, reply.Status, reply.Value))
		}
	}
	return got
}

// frameOf returns a frame with a letter and some content.
func frameOf(letter byte, content string) []byte {
	frame := append(beginFrame(nil, letter), content...)
	return endFrame(frame, 0)
}

// Frames are read in pieces of several sizes. The replies must not depend on the pieces; nothing is read after a
// malformed frame.
func TestRepliesWholeAndSplit(t *testing.T) {
	ok := frameOf('Y', "9b1f.3 OK 1840277719 inflight=7,util=0.61\n5b\ne2")
	for name, test := range map[string]struct {
		input []byte
		want  string
	}{
		"two":             {append(ok, frameOf('Y', "a.1 REJECTED 0 -\n")...), `[9b1f.3 OK "5b\ne2" a.1 REJECTED ""]`},
		"an error":        {frameOf('Y', "a.1 ERROR 0 -\n"), `[a.1 ERROR ""]`},
		"a partial frame": {ok[:len(ok)-1], "[]"},
		"no end of line":  {frameOf('Y', "a.1 OK 0 -"), "[error]"},
		"a prose report":  {frameOf('Y', "a.1 OK 0 busy, very\nx"), `[a.1 OK "x"]`},
		"three words":     {frameOf('Y', "a.1 OK 0\nx"), "[error]"},
		"no id":           {frameOf('Y', " OK 0 -\nx"), "[error]"},
		"unknown status":  {frameOf('Y', "a.1 FINE 0 -\nx"), "[error]"},
		"a refusal":       {frameOf('N', "what is this"), "[error]"},
		"unknown type":    {frameOf('Q', ""), "[error]"},
		"length 0":        {make([]byte, 4), "[error]"},
		"a huge length":   {[]byte{0xff, 0xff, 0xff, 0xff}, "[error]"},
	} {
		for _, piece := range []int{1, 3, 1 << 20} {
			if got := fmt.Sprint(repliesOf(test.input, piece)); got != test.want {
				t.Errorf("%s in pieces of %d: %s, want %s", name, piece, got, test.want)
			}
		}
	}
}

// Replies do not depend on how their bytes are split.
func FuzzReplies(f *testing.F) {
	f.Add(frameOf('Y', "a.1 OK 0 -\nx"), 2)
	f.Add([]byte{0, 0, 0, 1, 'N'}, 1)
	f.Fuzz(func(t *testing.T, b []byte, piece int) {
		if got, want := repliesOf(b, 1+piece&0xff), repliesOf(b, len(b)+1); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%q: %q in pieces, %q in one piece", b, got, want)
		}
	})
}

// Call and abandon frames have the format that replicas expect.
func TestFramesSent(t *testing.T) {
	b := AppendCall(nil,
		SubqueryCall{ID: "9b1f.3", Shard: 3, WaitMS: 240, Text: []byte("c41e77d0")},
		SubqueryCall{ID: "9b1f.4", Shard: 4, WaitMS: 240, Text: []byte("x")})
	b = AppendAbandon(b, "9b1f.3")
	want := "\x00\x00\x00\x36R9b1f.3 3 d=240 8\nc41e77d09b1f.4 4 d=240 1\nx" + "\x00\x00\x00\x07A9b1f.3"
	want = strings.Replace(want, "\x36", string(rune(len("R9b1f.3 3 d=240 8\nc41e77d09b1f.4 4 d=240 1\nx"))), 1)
	if string(b) != want {
		t.Errorf("%q, want %q", b, want)
	}
}
