package http2

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"terntray/internal/replicaproto"
)

// peer is the far side of a session, made of the library's framer alone.
type peer struct {
	t      *testing.T
	s      *Session
	from   bytes.Buffer // what the session has written
	to     bytes.Buffer // what goes to it
	framer *http2.Framer
	heads  *hpack.Decoder
	block  bytes.Buffer
	coder  *hpack.Encoder
	calls  []*replicaproto.Call
	got    []replicaproto.Event
	err    error
}

func newPeer(t *testing.T, settings ...http2.Setting) *peer {
	p := &peer{t: t, s: New("http", "a:1"), heads: hpack.NewDecoder(4096, nil)}
	p.framer = http2.NewFramer(&p.to, &p.from)
	p.framer.AllowIllegalWrites = true
	p.coder = hpack.NewEncoder(&p.block)
	p.writes()
	if got := string(p.from.Next(len(preface))); got != preface {
		t.Fatalf("preface %q", got)
	}
	p.framer.WriteSettings(settings...)
	p.feeds()
	return p
}

// writes has the session write all that it has now.
func (p *peer) writes() {
	for {
		b := p.s.Output(nil, 1<<20, 0)
		if p.from.Write(b); len(b) == 0 {
			return
		}
		p.s.Wrote(len(b))
	}
}

// feeds gives the session what was written to it, in one byte after the other, and takes its events.
func (p *peer) feeds() {
	for _, b := range p.to.Bytes() {
		p.s.ReadBuffer()[0] = b
		p.s.Filled(1)
		for p.err == nil {
			e, ok, err := p.s.Next()
			if p.err = err; !ok {
				break
			}
			p.got = append(p.got, e)
		}
	}
	p.to.Reset()
}

func (p *peer) call(shard, size int) *replicaproto.Call {
	c := &replicaproto.Call{Attempt: uint64(len(p.calls) + 1), SubqueryID: fmt.Sprint("q.", shard), Shard: shard, Deadline: time.Second,
		Text: bytes.Repeat([]byte("x"), size)}
	p.calls = append(p.calls, c)
	p.s.Queue(c)
	return c
}

// frames reads the frames that the session wrote, as words.
func (p *peer) frames() (all []string) {
	p.writes()
	for p.from.Len() > 0 {
		f, err := p.framer.ReadFrame()
		if err != nil {
			p.t.Fatal(err)
		}
		switch f := f.(type) {
		case *http2.HeadersFrame:
			fields, err := p.heads.DecodeFull(f.HeaderBlockFragment())
			if err != nil {
				p.t.Fatal(err)
			}
			all = append(all, fmt.Sprint("head ", f.StreamID, " ", fields[3].Value))
		case *http2.DataFrame:
			all = append(all, fmt.Sprintf("data %d %d %t", f.StreamID, len(f.Data()), f.StreamEnded()))
		case *http2.RSTStreamFrame:
			all = append(all, fmt.Sprint("reset ", f.StreamID, " ", f.ErrCode))
		case *http2.GoAwayFrame:
			all = append(all, fmt.Sprint("goaway ", f.ErrCode))
		case *http2.WindowUpdateFrame:
			all = append(all, fmt.Sprint("window ", f.StreamID, " ", f.Increment))
		default:
			all = append(all, strings.ToLower(f.Header().Type.String()))
		}
	}
	return all
}

func (p *peer) head(stream uint32, ends bool, fields ...string) {
	p.block.Reset()
	for n := 0; n < len(fields); n += 2 {
		p.coder.WriteField(hpack.HeaderField{Name: fields[n], Value: fields[n+1]})
	}
	p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: p.block.Bytes(), EndStream: ends, EndHeaders: true})
}

func (p *peer) answer(stream uint32, value string) {
	p.head(stream, false, ":status", "200", PartEnd, EndOK)
	p.framer.WriteData(stream, true, []byte(value))
}

// expect feeds what was written and checks the events since the last look.
func (p *peer) expect(want ...string) {
	p.t.Helper()
	p.feeds()
	var got []string
	for _, e := range p.got {
		switch e.Kind {
		case replicaproto.Reply:
			got = append(got, fmt.Sprintf("answered %d %d %s", e.Attempt, e.End, e.Value))
		case replicaproto.NeverRan:
			got = append(got, fmt.Sprintf("never %d %s", e.Attempt, e.Evidence))
		case replicaproto.MayHaveRun:
			got = append(got, fmt.Sprintf("may %d", e.Attempt))
		case replicaproto.CallLimit:
			got = append(got, fmt.Sprintf("room %d", e.MaxCalls))
		default:
			got = append(got, []string{replicaproto.GoingAway: "leaving", replicaproto.PingAnswered: "alive", replicaproto.Ready: "ready"}[e.Kind])
		}
	}
	if p.got = nil; !slices.Equal(got, want) {
		p.t.Errorf("events %q, want %q (error %v)", got, want, p.err)
	}
}

func TestCallAndAnswer(t *testing.T) {
	p := newPeer(t)
	p.expect("ready")
	c := p.call(3, 4)
	if got := p.frames(); !slices.Equal(got, []string{"settings", "window 0 458753", "settings", "head 1 /part", "data 1 4 true"}) {
		t.Errorf("%q", got)
	}
	if c.Stage != replicaproto.Written || c.Stream != 1 {
		t.Errorf("%+v", c)
	}
	p.head(1, true, ":status", "103", "link", "x")
	p.expect("may 1") // an interim head cannot be the last
	p.call(4, 4)
	p.frames()
	p.head(3, false, ":status", "100")
	p.head(3, false, ":status", "200", PartEnd, EndOK, "content-length", "5", PartLoad, "util=0.5")
	p.framer.WriteDataPadded(3, false, []byte("va"), []byte{0, 0, 0})
	p.framer.WriteRawFrame(0x77, 0, 3, []byte("unknown"))
	p.framer.WriteData(3, false, []byte("lue"))
	p.head(3, true, PartLoad, "inflight=1,cpu=0.25")
	p.framer.WriteRSTStream(3, http2.ErrCodeNo)
	p.feeds()
	if e := p.got; len(e) != 1 || e[0].Busy != 0.25 {
		t.Errorf("load reports in head and trailers: events %+v", e)
	}
	p.expect("answered 2 0 value")
	if p.err != nil || len(p.s.streams) > 0 {
		t.Errorf("error %v, streams %v", p.err, p.s.streams)
	}
}

// Only the words of the mapping say that a part ran well, or never.
func TestEndsOfTheMapping(t *testing.T) {
	p := newPeer(t)
	for n, fields := range [][]string{
		{":status", "200"}, {":status", "503"}, {":status", "503", PartEnd, EndTurned}, {":status", "429", PartEnd, EndTurned},
		{":status", "500", PartEnd, EndTurned}, {":status", "204", PartEnd, EndOK}, {":status", "200", PartEnd, EndError},
	} {
		p.call(n, 1)
		p.frames()
		p.head(uint32(2*n+1), true, fields...)
	}
	p.expect("ready", "answered 1 1 ", "answered 2 1 ", "answered 3 2 ", "answered 4 2 ", "answered 5 1 ", "answered 6 1 ", "answered 7 1 ")
}

// Malformed answers cost their own stream and nothing else.
func TestMalformedAnswersCostTheirOwnStream(t *testing.T) {
	p := newPeer(t)
	bad := [][]string{
		{"x", "y"}, {":status", "abc"}, {":status", "101"}, {":status", "200", ":path", "/"}, {"x", "y", ":status", "200"},
		{":status", "200", "Upper", "y"}, {":status", "200", "connection", "close"}, {":status", "200", "x", "a\nb"},
		{":status", "200", "content-length", "x"}, {":status", "200", "content-length", "7"}, {":status", "200", ":status", "200"},
		{":status", "200", "x", strings.Repeat("y", mostHeaders)}, {":status", "200", PartEnd, EndOK, PartEnd, EndOK},
	}
	want := []string{"ready"}
	for n, fields := range bad {
		p.call(n, 1)
		p.frames()
		p.head(uint32(2*n+1), true, fields...)
		want = append(want, fmt.Sprint("may ", n+1))
	}
	p.expect(want...)
	if got := strings.Join(p.frames(), ","); strings.Count(got, "reset") != len(bad) || p.err != nil {
		t.Errorf("%s, error %v", got, p.err)
	}
}

// What breaks the connection says so by its code.
func TestErrorsOfTheConnection(t *testing.T) {
	for name, test := range map[string]struct {
		send func(p *peer)
		code http2.ErrCode
	}{
		"no stream":      {func(p *peer) { p.framer.WriteData(9, true, []byte("x")) }, http2.ErrCodeProtocol},
		"an even stream": {func(p *peer) { p.head(2, true, ":status", "200") }, http2.ErrCodeProtocol},
		"a push": {func(p *peer) {
			p.framer.WritePushPromise(http2.PushPromiseParam{StreamID: 1, PromiseID: 2, EndHeaders: true})
		}, http2.ErrCodeProtocol},
		"pushes on":          {func(p *peer) { p.framer.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 1}) }, http2.ErrCodeProtocol},
		"a window too large": {func(p *peer) { p.framer.WriteWindowUpdate(0, mostWindow) }, http2.ErrCodeFlowControl},
		"a window of settings too large": {func(p *peer) {
			p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 31})
		}, http2.ErrCodeFlowControl},
		"a window grown by nothing": {func(p *peer) { p.framer.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, make([]byte, 4)) }, http2.ErrCodeProtocol},
		"a huge frame":              {func(p *peer) { p.framer.WriteRawFrame(http2.FrameData, 0, 1, make([]byte, leastFrame+1)) }, http2.ErrCodeFrameSize},
		"a continuation of nothing": {func(p *peer) { p.framer.WriteContinuation(1, true, nil) }, http2.ErrCodeProtocol},
		"a head that is broken into": {func(p *peer) {
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			p.framer.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol},
		"garbage in a head": {func(p *peer) {
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0xff, 0xff, 0xff, 0xff, 0xff}, EndHeaders: true})
		}, http2.ErrCodeCompression},
		"a head without end": {func(p *peer) {
			p.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: []byte{0x88}})
			for range 4 {
				p.framer.WriteContinuation(1, false, bytes.Repeat([]byte{0x88}, leastFrame-1))
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"a flood of settings": {func(p *peer) {
			for range 2 * mostIdle {
				p.framer.WriteSettings()
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"a flood of pings": {func(p *peer) {
			for range 2 * mostIdle {
				p.framer.WritePing(false, [8]byte{})
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"a flood of resets": {func(p *peer) {
			for range 2 * mostIdle {
				p.framer.WriteRSTStream(1, http2.ErrCodeCancel)
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"a flood of empty frames": {func(p *peer) {
			p.head(1, false, ":status", "200")
			for range 2 * mostIdle {
				p.framer.WriteData(1, false, nil)
			}
		}, http2.ErrCodeEnhanceYourCalm},
		"more than its window": {func(p *peer) {
			p.s.own = 10 // as if it had used it up
			p.framer.WriteData(1, false, make([]byte, 11))
		}, http2.ErrCodeFlowControl},
	} {
		p := newPeer(t)
		p.call(0, 1)
		p.frames()
		test.send(p)
		p.feeds()
		p.s.Goodbye()
		if got := p.frames(); p.err == nil || len(got) == 0 || got[len(got)-1] != fmt.Sprint("goaway ", test.code) {
			t.Errorf("%s: error %v, last words %q", name, p.err, got)
		}
	}
	p := &peer{t: t, s: New("http", "a:1")}
	p.framer = http2.NewFramer(&p.to, &p.from)
	p.framer.WritePing(false, [8]byte{})
	if p.feeds(); p.err == nil {
		t.Error("a first frame that is no settings passes")
	}
}

// The limit on streams holds back what is not begun, also when it is lowered under open streams, or is 0.
func TestLimitOnStreams(t *testing.T) {
	p := newPeer(t, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 2})
	for n := range 5 {
		p.call(n, 1)
	}
	p.frames()
	if got := len(p.s.streams); got != 2 {
		t.Fatalf("%d streams", got)
	}
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0})
	p.answer(1, "a")
	p.answer(3, "b")
	p.expect("room 2", "ready", "room 0", "answered 1 0 a", "answered 2 0 b")
	p.frames()
	if !p.s.Withdraw(p.calls[3]) || p.s.Withdraw(p.calls[0]) || len(p.s.streams) != 0 {
		t.Error("what was not begun cannot be taken back, or what was can")
	}
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 9})
	p.expect("room 9")
	if p.frames(); p.calls[2].Stream != 5 || p.calls[4].Stream != 7 || p.calls[3].Stage != replicaproto.Waiting {
		t.Errorf("streams %d, %d", p.calls[2].Stream, p.calls[4].Stream)
	}
}

// Windows shrink below zero under open streams; large texts take turns, and small ones do not wait for them.
func TestWindowsAndTurns(t *testing.T) {
	p := newPeer(t)
	large := []*replicaproto.Call{p.call(0, 60000), p.call(1, 60000)}
	p.frames()
	small := p.call(2, 100)
	if p.frames(); small.Stage == replicaproto.Written || large[0].Stage == replicaproto.Written {
		t.Fatal("more was sent than the connection's window")
	}
	p.framer.WriteWindowUpdate(0, 200)
	p.feeds()
	if p.frames(); small.Stage != replicaproto.Written {
		t.Error("the small one waits behind the large ones")
	}
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1000})
	p.framer.WriteWindowUpdate(0, 1<<20)
	p.feeds()
	if got := p.frames(); len(got) != 1 || p.s.streams[1].window >= 0 {
		t.Errorf("%q sent with a window of %d", got, p.s.streams[1].window)
	}
	p.framer.WriteWindowUpdate(1, 70000)
	p.framer.WriteWindowUpdate(3, 70000)
	p.feeds()
	var turns []string
	for _, f := range p.frames() {
		turns = append(turns, strings.Fields(f)[1])
	}
	if !strings.Contains(strings.Join(turns, ""), "1313") && !strings.Contains(strings.Join(turns, ""), "3131") {
		t.Errorf("turns %v", turns)
	}
	if large[0].Stage != replicaproto.Written || large[1].Stage != replicaproto.Written {
		t.Error("not all was sent in the end")
	}
}

// GOAWAY in two steps: streams above the last never ran, those below go on.
func TestGoAwayInTwoSteps(t *testing.T) {
	p := newPeer(t)
	for n := range 4 {
		p.call(n, 1)
	}
	p.frames()
	p.framer.WriteGoAway(mostStreamID, http2.ErrCodeNo, nil)
	p.expect("ready", "leaving")
	held := p.call(9, 1)
	p.frames()
	p.framer.WriteGoAway(3, http2.ErrCodeNo, nil)
	p.answer(1, "a")
	p.framer.WriteRSTStream(3, http2.ErrCodeInternal)
	p.expect("never 3 "+string(replicaproto.AboveLast), "never 4 "+string(replicaproto.AboveLast), "answered 1 0 a", "may 2")
	if held.Stage != replicaproto.Waiting {
		t.Error("a stream was begun after GOAWAY")
	}
}

// A refused stream never ran, unless its answer had begun; any other reset may have.
func TestResets(t *testing.T) {
	p := newPeer(t)
	for n := range 3 {
		p.call(n, 1)
	}
	p.frames()
	p.head(3, false, ":status", "200", PartEnd, EndOK)
	for _, id := range []uint32{1, 3} {
		p.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
	}
	p.framer.WriteRSTStream(5, http2.ErrCodeCancel)
	p.expect("ready", "never 1 "+string(replicaproto.Refused), "may 2", "may 3")
}

// Credit is given back for answers, also of streams that are over; an answer that is too large ends its stream.
func TestCreditIsGivenBack(t *testing.T) {
	p := newPeer(t)
	c := p.call(0, 1)
	p.frames()
	p.s.Abandon(c)
	if got := p.frames(); !slices.Equal(got, []string{"reset 1 CANCEL"}) {
		t.Errorf("%q", got)
	}
	p.head(1, false, ":status", "200")
	for range ownWindow/2/leastFrame + 1 {
		p.framer.WriteData(1, false, make([]byte, leastFrame))
	}
	p.expect("ready")
	if got := p.frames(); len(got) != 1 || !strings.HasPrefix(got[0], "window 0") {
		t.Errorf("%q", got)
	}
	p.call(1, 1)
	p.frames()
	p.head(3, false, ":status", "200", PartEnd, EndOK)
	for range mostValue/leastFrame + 1 {
		p.framer.WriteData(3, false, make([]byte, leastFrame))
		p.feeds()
	}
	if p.expect("may 2"); p.err != nil {
		t.Error(p.err)
	}
}

// Once the stream ids are used up the connection takes nothing new.
func TestStreamIDsUsedUp(t *testing.T) {
	p := newPeer(t)
	p.s.lastID = mostStreamID - 2
	a, b := p.call(0, 1), p.call(1, 1)
	p.writes()
	if a.Stage != replicaproto.Written || b.Stage != replicaproto.Waiting {
		t.Errorf("stages %d %d", a.Stage, b.Stage)
	}
	p.expect("ready")
	p.framer.WritePing(true, [8]byte{})
	p.expect("leaving", "alive")
}

// A call of which not all bytes went is not written.
func TestCutOutputIsNotWritten(t *testing.T) {
	p := newPeer(t)
	p.frames()
	a, b := p.call(0, 10), p.call(1, 10)
	out := p.s.Output(nil, 1<<20, 0)
	p.s.Wrote(len(out) - 1)
	if a.Stage != replicaproto.Written || b.Stage != replicaproto.Begun {
		t.Errorf("stages %d %d", a.Stage, b.Stage)
	}
}

// Whatever comes, a session neither breaks nor loses or doubles a call's end, and keeps its tables bounded.
func FuzzSession(f *testing.F) {
	p := newPeer(&testing.T{})
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 2})
	p.answer(1, "value")
	p.framer.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	p.framer.WriteGoAway(3, http2.ErrCodeNo, nil)
	f.Add(p.to.Bytes(), uint8(3))
	p.to.Reset()
	p.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 3}, http2.Setting{ID: http2.SettingHeaderTableSize, Val: 0})
	p.framer.WriteWindowUpdate(1, 5)
	p.head(1, true, ":status", "200", PartEnd, EndOK)
	p.framer.WritePing(false, [8]byte{1})
	f.Add(p.to.Bytes(), uint8(9))
	f.Fuzz(func(t *testing.T, b []byte, calls uint8) {
		s := New("http", "a:1")
		ends := map[uint64]int{}
		for n := range int(calls % 16) {
			s.Queue(&replicaproto.Call{Attempt: uint64(n + 1), SubqueryID: "q.1", Text: bytes.Repeat([]byte("x"), n*1000), Deadline: time.Second})
		}
		for len(b) > 0 {
			n := copy(s.ReadBuffer(), b[:min(len(b), 7)])
			s.Filled(n)
			b = b[n:]
			for {
				e, ok, err := s.Next()
				if err != nil {
					s.Goodbye()
					s.Output(nil, 1<<20, 0)
					return
				}
				if !ok {
					break
				}
				if e.Kind == replicaproto.Reply || e.Kind == replicaproto.NeverRan || e.Kind == replicaproto.MayHaveRun {
					if ends[e.Attempt]++; ends[e.Attempt] > 1 || e.Attempt == 0 {
						t.Fatalf("leg %d ended %d times", e.Attempt, ends[e.Attempt])
					}
				}
			}
			s.Wrote(len(s.Output(nil, 1<<20, 0)))
			if int64(len(s.streams)) > 16 || len(s.sending) > len(s.streams) || len(s.control) > mostControl {
				t.Fatalf("%d streams, %d sending, %d bytes of control", len(s.streams), len(s.sending), len(s.control))
			}
		}
	})
}
