package http2

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"terntray/internal/replicaproto"
)

// A call and its response, with interim responses, padding, trailers and frames of unknown types. An interim response
// that ends its stream is malformed.
func TestCallAndResponse(t *testing.T) {
	replica := newFakeReplica(t)
	replica.expectEvents("ready")
	c := replica.queueCall(3, 4)
	want := []string{"settings", "window 0 458753", "settings", "headers 1 /part", "data 1 4 true"}
	if got := replica.sentFrames(); !slices.Equal(got, want) {
		t.Errorf("the session sent %q", got)
	}
	if c.Stage != replicaproto.Written || c.Stream != 1 {
		t.Errorf("call %+v", c)
	}
	replica.writeHeaders(1, true, ":status", "103", "link", "x")
	replica.expectEvents("may have run 1") // an interim response must not end the stream
	replica.queueCall(4, 4)
	replica.sentFrames()
	replica.writeHeaders(3, false, ":status", "100")
	replica.writeHeaders(3, false, ":status", "200", headerEnd, endOK, "content-length", "5", headerLoad, "util=0.5")
	replica.framer.WriteDataPadded(3, false, []byte("va"), []byte{0, 0, 0})
	replica.framer.WriteRawFrame(0x77, 0, 3, []byte("unknown"))
	replica.framer.WriteData(3, false, []byte("lue"))
	replica.writeHeaders(3, true, headerLoad, "inflight=1,cpu=0.25")
	replica.framer.WriteRSTStream(3, http2.ErrCodeNo)
	replica.feed()
	if e := replica.events; len(e) != 1 || e[0].CPUUsage != 0.25 {
		t.Errorf("load reports in headers and trailers: events %+v", e)
	}
	replica.expectEvents("reply 2 0 value")
	if replica.err != nil || len(replica.session.streams) > 0 {
		t.Errorf("error %v, streams %v", replica.err, replica.session.streams)
	}
}

// Only the statuses and end headers of the mapping mean that a subquery succeeded or never ran. Any other combination
// is an error.
func TestReplyStatusMapping(t *testing.T) {
	replica := newFakeReplica(t)
	for index, fields := range [][]string{
		{":status", "200"},
		{":status", "503"},
		{":status", "503", headerEnd, endRejected},
		{":status", "429", headerEnd, endRejected},
		{":status", "500", headerEnd, endRejected},
		{":status", "204", headerEnd, endOK},
		{":status", "200", headerEnd, endError},
	} {
		replica.queueCall(index, 1)
		replica.sentFrames()
		replica.writeHeaders(uint32(2*index+1), true, fields...)
	}
	replica.expectEvents("ready", "reply 1 1 ", "reply 2 1 ", "reply 3 2 ", "reply 4 2 ", "reply 5 1 ",
		"reply 6 1 ", "reply 7 1 ")
}

// A replica sends malformed responses. Each resets its own stream, whose call may have run, and affects nothing else.
func TestMalformedResponseResetsOnlyItsStream(t *testing.T) {
	replica := newFakeReplica(t)
	bad := [][]string{
		{"x", "y"},
		{":status", "abc"},
		{":status", "101"},
		{":status", "200", ":path", "/"},
		{"x", "y", ":status", "200"},
		{":status", "200", "Upper", "y"},
		{":status", "200", "connection", "close"},
		{":status", "200", "x", "a\nb"},
		{":status", "200", "content-length", "x"},
		{":status", "200", "content-length", "7"},
		{":status", "200", ":status", "200"},
		{":status", "200", "x", strings.Repeat("y", maxHeaderList)},
		{":status", "200", headerEnd, endOK, headerEnd, endOK},
	}
	want := []string{"ready"}
	for n, fields := range bad {
		replica.queueCall(n, 1)
		replica.sentFrames()
		replica.writeHeaders(uint32(2*n+1), true, fields...)
		want = append(want, fmt.Sprint("may have run ", n+1))
	}
	replica.expectEvents(want...)
	if got := strings.Join(replica.sentFrames(), ","); strings.Count(got, "reset") != len(bad) || replica.err != nil {
		t.Errorf("%s, error %v", got, replica.err)
	}
}

// A replica lowers its stream limit to 0 while streams are open. Calls not yet started wait until it raises the limit,
// and can be withdrawn meanwhile.
func TestStreamLimit(t *testing.T) {
	replica := newFakeReplica(t, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 2})
	for n := range 5 {
		replica.queueCall(n, 1)
	}
	replica.sentFrames()
	if got := len(replica.session.streams); got != 2 {
		t.Fatalf("%d streams with a limit of 2", got)
	}
	replica.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 0})
	replica.respond(1, "a")
	replica.respond(3, "b")
	replica.expectEvents("call limit 2", "ready", "call limit 0", "reply 1 0 a", "reply 2 0 b")
	replica.sentFrames()
	session, calls := replica.session, replica.calls
	if !session.Withdraw(calls[3]) || session.Withdraw(calls[0]) || len(session.streams) != 0 {
		t.Error("a waiting call cannot be withdrawn, or a written one can, or a stream is open")
	}
	replica.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 9})
	replica.expectEvents("call limit 9")
	replica.sentFrames()
	if calls[2].Stream != 5 || calls[4].Stream != 7 || calls[3].Stage != replicaproto.Waiting {
		t.Errorf("the waiting calls have streams %d and %d", calls[2].Stream, calls[4].Stream)
	}
}

// A replica shrinks the windows of open streams below zero and then raises them. Large calls are sent in turn, and
// small ones do not wait for them.
func TestFlowControlAndRoundRobin(t *testing.T) {
	replica := newFakeReplica(t)
	large := []*replicaproto.Call{replica.queueCall(0, 60000), replica.queueCall(1, 60000)}
	replica.sentFrames()
	small := replica.queueCall(2, 100)
	if replica.sentFrames(); small.Stage == replicaproto.Written || large[0].Stage == replicaproto.Written {
		t.Fatal("more was sent than the connection's window allows")
	}
	replica.framer.WriteWindowUpdate(0, 200)
	replica.feed()
	if replica.sentFrames(); small.Stage != replicaproto.Written {
		t.Error("the small call waits behind the large ones")
	}
	replica.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1000})
	replica.framer.WriteWindowUpdate(0, 1<<20)
	replica.feed()
	if got := replica.sentFrames(); len(got) != 1 || replica.session.streams[1].sendWindow >= 0 {
		t.Errorf("the session sent %q; the window is %d", got, replica.session.streams[1].sendWindow)
	}
	replica.framer.WriteWindowUpdate(1, 70000)
	replica.framer.WriteWindowUpdate(3, 70000)
	replica.feed()
	var turns []string
	for _, f := range replica.sentFrames() {
		turns = append(turns, strings.Fields(f)[1])
	}
	if !strings.Contains(strings.Join(turns, ""), "1313") && !strings.Contains(strings.Join(turns, ""), "3131") {
		t.Errorf("the large calls are not sent in turn: streams %v", turns)
	}
	if large[0].Stage != replicaproto.Written || large[1].Stage != replicaproto.Written {
		t.Error("the large calls were not sent completely")
	}
}

// A replica sends GOAWAY twice, first with the highest stream ID, then with the actual last one. Streams above it never
// ran, those below continue, and no stream is opened after the first GOAWAY.
func TestGoAwayInTwoSteps(t *testing.T) {
	replica := newFakeReplica(t)
	for n := range 4 {
		replica.queueCall(n, 1)
	}
	replica.sentFrames()
	replica.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	replica.expectEvents("ready", "going away")
	waiting := replica.queueCall(9, 1)
	replica.sentFrames()
	replica.framer.WriteGoAway(3, http2.ErrCodeNo, nil)
	replica.respond(1, "a")
	replica.framer.WriteRSTStream(3, http2.ErrCodeInternal)
	aboveLast := string(replicaproto.AboveLastStreamID)
	replica.expectEvents("never ran 3 "+aboveLast, "never ran 4 "+aboveLast, "reply 1 0 a", "may have run 2")
	if waiting.Stage != replicaproto.Waiting {
		t.Error("a stream was opened after GOAWAY")
	}
}

// A replica resets streams. A refused stream never ran, unless its response had started; any other may have run.
func TestStreamResets(t *testing.T) {
	replica := newFakeReplica(t)
	for n := range 3 {
		replica.queueCall(n, 1)
	}
	replica.sentFrames()
	replica.writeHeaders(3, false, ":status", "200", headerEnd, endOK)
	for _, id := range []uint32{1, 3} {
		replica.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
	}
	replica.framer.WriteRSTStream(5, http2.ErrCodeCancel)
	replica.expectEvents("ready", "never ran 1 "+string(replicaproto.RefusedStream), "may have run 2", "may have run 3")
}

// The connection's window is replenished for all response data, including that of ended streams; otherwise the
// connection would eventually stall. A response that is too large ends its stream.
func TestFlowControlWindowIsReplenished(t *testing.T) {
	replica := newFakeReplica(t)
	c := replica.queueCall(0, 1)
	replica.sentFrames()
	replica.session.Abandon(c)
	if got := replica.sentFrames(); !slices.Equal(got, []string{"reset 1 CANCEL"}) {
		t.Errorf("after Abandon the session sent %q", got)
	}
	replica.writeHeaders(1, false, ":status", "200")
	for range connWindow/2/maxFrameSize + 1 {
		replica.framer.WriteData(1, false, make([]byte, maxFrameSize))
	}
	replica.expectEvents("ready")
	if got := replica.sentFrames(); len(got) != 1 || !strings.HasPrefix(got[0], "window 0") {
		t.Errorf("after data on an ended stream the session sent %q", got)
	}
	replica.queueCall(1, 1)
	replica.sentFrames()
	replica.writeHeaders(3, false, ":status", "200", headerEnd, endOK)
	for range maxValue/maxFrameSize + 1 {
		replica.framer.WriteData(3, false, make([]byte, maxFrameSize))
		replica.feed()
	}
	if replica.expectEvents("may have run 2"); replica.err != nil {
		t.Error(replica.err)
	}
}

// A long-lived connection has used all stream IDs. After that it accepts no new calls.
func TestStreamIDExhaustion(t *testing.T) {
	replica := newFakeReplica(t)
	replica.session.lastStreamID = maxStreamID - 2
	a, b := replica.queueCall(0, 1), replica.queueCall(1, 1)
	replica.collectOutput()
	if a.Stage != replicaproto.Written || b.Stage != replicaproto.Waiting {
		t.Errorf("stages %d %d", a.Stage, b.Stage)
	}
	replica.expectEvents("ready")
	replica.framer.WritePing(true, [8]byte{})
	replica.expectEvents("going away", "ping answered")
}

// The operating system accepts all but the last byte of a write. The call that this byte belongs to is not Written.
func TestPartialWriteLeavesCallUnwritten(t *testing.T) {
	replica := newFakeReplica(t)
	replica.sentFrames()
	a, b := replica.queueCall(0, 10), replica.queueCall(1, 10)
	output := replica.session.Output(nil, 1<<20, 0)
	replica.session.Wrote(len(output) - 1)
	if a.Stage != replicaproto.Written || b.Stage != replicaproto.Begun {
		t.Errorf("stages %d %d", a.Stage, b.Stage)
	}
}

// Whatever input it reads, a session does not panic, ends each call at most once, and keeps its tables bounded.
func FuzzSession(f *testing.F) {
	replica := newFakeReplica(&testing.T{})
	replica.framer.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 2})
	replica.respond(1, "value")
	replica.framer.WriteRSTStream(3, http2.ErrCodeRefusedStream)
	replica.framer.WriteGoAway(3, http2.ErrCodeNo, nil)
	f.Add(replica.toSession.Bytes(), uint8(3))
	replica.toSession.Reset()
	replica.framer.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 3},
		http2.Setting{ID: http2.SettingHeaderTableSize, Val: 0})
	replica.framer.WriteWindowUpdate(1, 5)
	replica.writeHeaders(1, true, ":status", "200", headerEnd, endOK)
	replica.framer.WritePing(false, [8]byte{1})
	f.Add(replica.toSession.Bytes(), uint8(9))
	f.Fuzz(func(t *testing.T, b []byte, calls uint8) {
		session := New("http", "a:1", nil)
		ends := map[uint64]int{}
		for n := range int(calls % 16) {
			text := bytes.Repeat([]byte("x"), n*1000)
			session.Queue(&replicaproto.Call{
				Attempt: uint64(n + 1), SubqueryID: "q.1", Text: text, Deadline: time.Second,
			})
		}
		for len(b) > 0 {
			n := copy(session.ReadBuffer(), b[:min(len(b), 7)])
			session.Filled(n)
			b = b[n:]
			for {
				e, ok, err := session.Next()
				if err != nil {
					session.AnnounceClose()
					session.Output(nil, 1<<20, 0)
					return
				}
				if !ok {
					break
				}
				switch e.Kind {
				case replicaproto.Reply, replicaproto.NeverRan, replicaproto.MayHaveRun:
					ends[e.Attempt]++
					if ends[e.Attempt] > 1 || e.Attempt == 0 {
						t.Fatalf("attempt %d ended %d times", e.Attempt, ends[e.Attempt])
					}
				}
			}
			session.Wrote(len(session.Output(nil, 1<<20, 0)))
			streams, sending, control := len(session.streams), len(session.sending), len(session.control)
			if streams > 16 || sending > streams || control > maxPendingControl {
				t.Fatalf("%d streams, %d sending, %d bytes of control frames", streams, sending, control)
			}
		}
	})
}
