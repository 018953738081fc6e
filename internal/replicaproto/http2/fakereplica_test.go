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

// fakeReplica is the replica at the other end of a session. It uses the library's framer directly.
type fakeReplica struct {
	t           *testing.T
	session     *Session
	fromSession bytes.Buffer // bytes that the session wrote
	toSession   bytes.Buffer // bytes for the session to read
	framer      *http2.Framer
	decoder     *hpack.Decoder
	block       bytes.Buffer
	encoder     *hpack.Encoder
	calls       []*replicaproto.Call
	events      []replicaproto.Event
	err         error
}

func newFakeReplica(t *testing.T, settings ...http2.Setting) *fakeReplica {
	replica := &fakeReplica{t: t, session: New("http", "a:1", nil), decoder: hpack.NewDecoder(4096, nil)}
	replica.framer = http2.NewFramer(&replica.toSession, &replica.fromSession)
	replica.framer.AllowIllegalWrites = true
	replica.encoder = hpack.NewEncoder(&replica.block)
	replica.collectOutput()
	if got := string(replica.fromSession.Next(len(http2.ClientPreface))); got != http2.ClientPreface {
		t.Fatalf("preface %q", got)
	}
	replica.framer.WriteSettings(settings...)
	replica.feed()
	return replica
}

// collectOutput collects all pending output of the session.
func (replica *fakeReplica) collectOutput() {
	for {
		b := replica.session.Output(nil, 1<<20, 0)
		if replica.fromSession.Write(b); len(b) == 0 {
			return
		}
		replica.session.Wrote(len(b))
	}
}

// read passes the bytes for the session to it one at a time and collects its events.
func (replica *fakeReplica) read() {
	for _, b := range replica.toSession.Bytes() {
		replica.session.ReadBuffer()[0] = b
		replica.session.Filled(1)
		replica.collectEvents()
	}
	replica.toSession.Reset()
}

// feed passes the bytes for the session to it. Nothing follows these bytes: a reply that the session still withholds is
// released.
func (replica *fakeReplica) feed() {
	replica.read()
	if _, withholds := replica.session.Withheld(); withholds {
		replica.session.ReleaseReply()
		replica.collectEvents()
	}
}

func (replica *fakeReplica) collectEvents() {
	for replica.err == nil {
		e, ok, err := replica.session.Next()
		if replica.err = err; !ok {
			break
		}
		replica.events = append(replica.events, e)
	}
}

func (replica *fakeReplica) queueCall(shard, size int) *replicaproto.Call {
	call := &replicaproto.Call{
		Attempt:    uint64(len(replica.calls) + 1),
		SubqueryID: fmt.Sprint("q.", shard),
		Shard:      shard,
		Deadline:   time.Second,
		Text:       bytes.Repeat([]byte("x"), size),
	}
	replica.calls = append(replica.calls, call)
	replica.session.Queue(call)
	return call
}

// sentFrames describes each frame that the session wrote since the last call.
func (replica *fakeReplica) sentFrames() (all []string) {
	replica.collectOutput()
	for replica.fromSession.Len() > 0 {
		f, err := replica.framer.ReadFrame()
		if err != nil {
			replica.t.Fatal(err)
		}
		switch f := f.(type) {
		case *http2.HeadersFrame:
			fields, err := replica.decoder.DecodeFull(f.HeaderBlockFragment())
			if err != nil {
				replica.t.Fatal(err)
			}
			all = append(all, fmt.Sprint("headers ", f.StreamID, " ", fields[3].Value))
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

func (replica *fakeReplica) writeHeaders(stream uint32, ends bool, fields ...string) {
	replica.block.Reset()
	for n := 0; n < len(fields); n += 2 {
		replica.encoder.WriteField(hpack.HeaderField{Name: fields[n], Value: fields[n+1]})
	}
	replica.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID: stream, BlockFragment: replica.block.Bytes(), EndStream: ends, EndHeaders: true,
	})
}

func (replica *fakeReplica) respond(stream uint32, value string) {
	replica.writeHeaders(stream, false, ":status", "200", headerEnd, endOK)
	replica.framer.WriteData(stream, true, []byte(value))
}

// connEventNames are the names that expectEvents uses for events that concern no call.
var connEventNames = map[replicaproto.Kind]string{
	replicaproto.GoingAway: "going away", replicaproto.PingAnswered: "ping answered", replicaproto.Ready: "ready",
}

// expectEvents feeds the session and checks the events since the last check.
func (replica *fakeReplica) expectEvents(want ...string) {
	replica.t.Helper()
	replica.feed()
	var got []string
	for _, e := range replica.events {
		switch e.Kind {
		case replicaproto.Reply:
			got = append(got, fmt.Sprintf("reply %d %d %s", e.Attempt, e.Status, e.Value))
		case replicaproto.NeverRan:
			got = append(got, fmt.Sprintf("never ran %d %s", e.Attempt, e.Evidence))
		case replicaproto.MayHaveRun:
			got = append(got, fmt.Sprintf("may have run %d", e.Attempt))
		case replicaproto.CallLimit:
			got = append(got, fmt.Sprintf("call limit %d", e.MaxCalls))
		default:
			got = append(got, connEventNames[e.Kind])
		}
	}
	if replica.events = nil; !slices.Equal(got, want) {
		replica.t.Errorf("events %q, want %q (error %v)", got, want, replica.err)
	}
}
