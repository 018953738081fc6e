package wire

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"terntray/valuecheck"
)

// repliesOf feeds frames in pieces of a size and returns the replies read, with "error" last after an error. Nothing
// follows the last piece: a reply that is still withheld then is released.
func repliesOf(b []byte, piece int) []string {
	return repliesAfter(b, piece, nil)
}

// repliesAfter does so on a connection that carries the subqueries a.1 and a.2, after the values in a history.
func repliesAfter(b []byte, piece int, before *valuecheck.History) (got []string) {
	reader := ReplyReader{Values: before, Sent: sentIDs{"a.1", "a.2"}}
	for ended := false; ; {
		reply, err := reader.Next()
		switch {
		case err != nil:
			return append(got, "error")
		case reply != nil:
			got = append(got, fmt.Sprintf("%s %s %q", reply.ID, reply.Status, reply.Value))
		case len(b) > 0:
			size := min(piece, len(b))
			reader.Feed(b[:size])
			b = b[size:]
		case ended:
			return got
		default:
			reader.Release()
			ended = true
		}
	}
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

// resized returns a frame whose length is too large by some bytes, or too small if that is negative.
func resized(frame []byte, excess int) []byte {
	frame = slices.Clone(frame)
	binary.BigEndian.PutUint32(frame, uint32(int(binary.BigEndian.Uint32(frame))+excess))
	return frame
}

// A frame whose length is too small looks like a good one with a shorter value: that value must not be returned,
// however many bytes of it are missing, however the input is split, and whatever was received before.
func TestValueCutShortByItsLengthIsMalformed(t *testing.T) {
	const value = "5be2a07c19f04d63"
	whole := frameOf('Y', "a.1 OK 0 -\n"+value)
	next := frameOf('Y', "a.2 OK 0 -\n"+value)
	longNext := frameOf('Y', "a.2 OK 0 -\n"+strings.Repeat(value, 9)) // its length is not text
	for before, sizes := range map[string]func() *valuecheck.History{
		"no value": historyOf(), "few values": historyOf(of(3, 16)), "values of one size": historyOf(of(100, 16)),
		"values of several sizes": historyOf(of(1, 7), of(100, 16)), "a longer value": historyOf(of(1, 17)),
		"values of two sizes": historyOf(of(100, 40), of(100, 16)),
	} {
		for missing := 1; missing <= len(value); missing++ {
			cut := resized(whole, -missing)
			for name, input := range map[string][]byte{
				"alone": cut, "a reply follows": slices.Concat(cut, next), "a long reply follows": slices.Concat(cut, longNext),
			} {
				for _, piece := range []int{1, 3, len(cut) - missing, 1 << 20} {
					got := fmt.Sprint(repliesAfter(input, piece, sizes()))
					if got != "[error]" {
						t.Errorf("%s, after %s, %d missing, in pieces of %d: %s", name, before, missing, piece, got)
					}
				}
			}
		}
	}
}

// A length that is too large takes in the start of the next reply. The value with these bytes must not be returned.
func TestValueWithBytesOfTheNextReplyIsMalformed(t *testing.T) {
	const value = "5be2a07c19f04d63"
	frame := frameOf('Y', "a.1 OK 0 -\n"+value)
	next := frameOf('Y', "a.2 OK 0 -\n"+value)
	for _, sizes := range []func() *valuecheck.History{
		historyOf(), historyOf(of(100, 16)), historyOf(of(1, 7), of(100, 16)),
	} {
		for excess := 1; excess < len(next); excess++ {
			input := slices.Concat(resized(frame, excess), next)
			for _, piece := range []int{1, 3, len(frame) + excess, 1 << 20} {
				if got := fmt.Sprint(repliesAfter(input, piece, sizes())); got != "[error]" {
					t.Errorf("%d too large, in pieces of %d: %s", excess, piece, got)
				}
			}
		}
	}
}

// A reply that claims not to have run is malformed too if bytes that are not a frame follow it: a malformed reply
// proves nothing. A value is returned before bytes that cannot be its rest, as they are no text; they end the connection.
func TestStatusFollowedByOtherBytesIsMalformed(t *testing.T) {
	const notText = "tL\xdc\x7f"
	for _, status := range []string{"OK", "ERROR", "REJECTED"} {
		reply := frameOf('Y', "a.1 "+status+" 0 -\n")
		for _, following := range []string{"x", "\x00\x03", "\x00\x00\x00\x00", "\x00\x00\x00\x09Q", "tL", notText} {
			want := "[error]"
			if status == "OK" && following == notText {
				want = `[a.1 OK "" error]`
			}
			if got := fmt.Sprint(repliesOf(append(reply, following...), 1<<20)); got != want {
				t.Errorf("%s followed by %q: %s, want %s", status, following, got, want)
			}
		}
	}
}

// Guards against a sound reply that is thrown away for a reply behind it whose header cannot be read: that names a subquery
// that was sent, so it is not the rest of the value. The rest of a value names none.
func TestValueBeforeAReplyWithABadHeaderIsReturned(t *testing.T) {
	first := frameOf('Y', "a.1 OK 0 -\nvalue")
	for name, test := range map[string]struct{ following, want string }{
		"an unknown letter":             {"\x00\x00\x00\x0cQa.2 OK 0 -\n", `[a.1 OK "value" error]`},
		"a length of zero":              {"\x00\x00\x00\x00Ya.2 OK 0 -\n", `[a.1 OK "value" error]`},
		"an ID that was not sent":       {"\x00\x00\x00\x0cQb.2 OK 0 -\n", "[error]"},
		"an ID that may go on":          {"\x00\x00\x00\x0cQa.2", "[error]"},
		"a length that is far too long": {"\x00\x7f\x00\x0cQa.2 OK 0 -\n", "[error]"},
	} {
		if got := fmt.Sprint(repliesOf(slices.Concat(first, []byte(test.following)), 1<<20)); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}

// Guards against the value of another subquery being served behind the own one: a length that is too large takes in whole
// replies behind it, once or twice, and perhaps the start of a further one, and nothing follows them. Nor may values of the
// size that this makes have been usual.
func TestValueThatContainsRepliesIsMalformed(t *testing.T) {
	const value = "5be2a07c19f04d63"
	frame := frameOf('Y', "a.1 OK 0 -\n"+value)
	for _, status := range []string{"OK", "ERROR", "REJECTED"} {
		first := frameOf('Y', "a.1 "+status+" 0 -\n")
		next := frameOf('Y', "a.2 OK 0 inflight=7,util=0.61\n"+value)
		headWithID := frameHeaderSize + 1
		for name, added := range map[string][]byte{
			"one": next, "twice": slices.Concat(next, next), "itself": frame, "a refusal": frameOf('N', "what is this"),
			"one and the start of another": slices.Concat(next, frame[:headWithID]), "a start with an ID": next[:headWithID],
		} {
			input := resized(slices.Concat(first, added), len(added))
			size := len(added)
			for _, before := range []func() *valuecheck.History{historyOf(), historyOf(of(100, 16)), historyOf(of(100, size))} {
				for _, piece := range []int{1, 7, 1 << 20} {
					if got := fmt.Sprint(repliesAfter(input, piece, before())); got != "[error]" {
						t.Errorf("%s, %s in pieces of %d: %s", status, name, piece, got)
					}
				}
			}
		}
	}
}

// Guards against values being delayed or rejected for bytes that only resemble frames: values in binary, of zeros, with
// lines that are no replies.
func TestValuesThatResembleFramesAreReturned(t *testing.T) {
	for _, value := range []string{
		"\x00\x00\x00\x05Yabcd", "\x00\x00\x00\x05Yab c\nd", strings.Repeat("\x00", 5000),
		strings.Repeat("\x00\x00\x00\x09Y", 500) + "x", "\x00\x00\x00\x02Na-", "\x00\x01\x00\x00Yb.7 OK",
	} {
		got := repliesAfter(frameOf('Y', "a.1 OK 0 -\n"+value), 1<<20, historyOf(of(100, 16))())
		if want := fmt.Sprintf("a.1 OK %q", value); len(got) != 1 || got[0] != want {
			t.Errorf("%.40q: %.80q", value, got)
		}
	}
}

// A value of the largest size so far is returned at once, also if noise follows it, and one of a smaller size that is
// frequent unless noise follows it.
func TestValueOfKnownSizeIsNotWithheld(t *testing.T) {
	reply := frameOf('Y', "a.1 OK 0 -\n5be2a07c19f04d63")
	for _, test := range []struct {
		name         string
		before       func() *valuecheck.History
		alone, noise bool // returned alone, and with noise behind it
	}{
		{"too few", historyOf(of(2, 16)), false, false},
		{"enough", historyOf(of(3, 16)), true, true},
		{"enough of another size", historyOf(of(100, 17)), false, false},
		{"two sizes", historyOf(of(200, 40), of(200, 16)), true, false},
		{"two sizes, few values", historyOf(of(5, 40), of(5, 16)), false, false},
	} {
		for _, following := range []string{"", "noise"} {
			want := test.alone
			if following != "" {
				want = test.noise
			}
			reader := ReplyReader{Values: test.before()}
			reader.Feed(append(reply, following...))
			got, err := reader.Next()
			if returned := got != nil && err == nil; returned != want {
				t.Errorf("%s, followed by %q: reply %v, error %v", test.name, following, got, err)
			}
		}
	}
}

// A JSON object or array is returned at once, as no part of it is one. A part of it, or any other value, is withheld.
func TestSelfDelimitingValueIsNotWithheld(t *testing.T) {
	const object = `{"version":"a}","count":3,"upper":1.5}`
	values := map[string]bool{object: true, `[1,{"a":[]}]`: true, "17": false, `"a"`: false, "": false}
	for size := range len(object) {
		values[object[:size]] = false
	}
	for value, want := range values {
		reader := ReplyReader{Values: historyOf(jsonValues)()}
		reader.Feed(frameOf('Y', "a.1 OK 0 -\n"+value))
		if reply, err := reader.Next(); (reply != nil) != want || err != nil {
			t.Errorf("%q: reply %v, error %v", value, reply, err)
		}
	}
}

// sentIDs are the IDs of the subqueries of a connection.
type sentIDs []string

func (ids sentIDs) HasPrefix(prefix []byte) bool {
	return slices.ContainsFunc(ids, func(id string) bool { return strings.HasPrefix(id, string(prefix)) })
}

// historyOf returns a function that returns a new history of values.
func historyOf(groups ...[]string) func() *valuecheck.History {
	return func() *valuecheck.History {
		history := &valuecheck.History{}
		for _, value := range slices.Concat(groups...) {
			history.Withhold([]byte(value), valuecheck.NoMessage).Decide(valuecheck.FollowedByMessage)
		}
		return history
	}
}

// of returns a number of values of a size.
func of(count, size int) []string { return slices.Repeat([]string{strings.Repeat("x", size)}, count) }

var jsonValues = []string{"{}", "[]", `{"a":1}`}

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
