package http2

import (
	"slices"
	"testing"
)

// withholdReply makes the session withhold the reply to a call, of which a number of bytes are missing.
func withholdReply(t *testing.T, value string, missing int) *fakeReplica {
	t.Helper()
	replica := newFakeReplica(t)
	replica.expectEvents("ready")
	replica.queueCall(3, 4)
	replica.sentFrames()
	replica.respond(1, value[:len(value)-missing])
	replica.read()
	if _, withholds := replica.session.Withheld(); !withholds {
		t.Fatal("the reply is not withheld")
	}
	return replica
}

// A value that nothing follows would be delayed although the replica has sent all of it. The answer to a ping shows that:
// it is sent behind the value.
func TestAnswerToAPingConfirmsAWithheldReply(t *testing.T) {
	replica := withholdReply(t, "value", 0)
	if got := replica.sentFrames(); !slices.Contains(got, "ping") {
		t.Fatalf("the session sent %q", got)
	}
	replica.framer.WritePing(true, [8]byte{1})
	replica.read()
	replica.expectEvents("reply 1 0 value", "ping answered")
}

// The rest of a value that was cut short comes before the answer to the ping, at once or piece by piece. The value is not
// served, also where the rest looks like the header of a frame.
func TestRestOfAValueBeforeTheAnswerToAPingIsMalformed(t *testing.T) {
	for _, rest := range []string{"e", "value", "\x00\x00\x01\x00\x00\x00\x00\x00"} {
		replica := withholdReply(t, "a"+rest, len(rest))
		replica.toSession.WriteString(rest)
		replica.read()
		replica.framer.WritePing(true, [8]byte{1})
		replica.read()
		if len(replica.events) > 0 || replica.err == nil {
			t.Errorf("%q: events %+v, error %v", rest, replica.events, replica.err)
		}
	}
}

// Guards against a reply that is lost at the end of its connection because another one before it was withheld until then:
// a frame of an unknown type between them does not show that the first one is whole.
func TestAllWholeRepliesAreReturnedAtTheEndOfInput(t *testing.T) {
	const unknownType = 0x0c
	replica := newFakeReplica(t)
	replica.expectEvents("ready")
	replica.queueCall(3, 4)
	replica.queueCall(4, 4)
	replica.sentFrames()
	replica.respond(1, "first")
	replica.framer.WriteRawFrame(unknownType, 0, 0, []byte("extension"))
	replica.respond(3, "second")
	replica.read()
	replica.session.EndInput()
	replica.collectEvents()
	if len(replica.events) != 2 {
		t.Errorf("%d replies at the end of input, want 2", len(replica.events))
	}
	replica.expectEvents("reply 1 0 first", "reply 2 0 second")
}

// One ping at a time is enough, whatever replies are withheld: its answer follows all of them.
func TestOnePingConfirmsSeveralReplies(t *testing.T) {
	replica := newFakeReplica(t)
	replica.expectEvents("ready")
	replica.queueCall(3, 4)
	replica.queueCall(4, 4)
	replica.sentFrames()
	replica.respond(1, "first")
	replica.read()
	replica.respond(3, "second")
	replica.read()
	t.Logf("%+v err %v", replica.events, replica.err)
	pings := slices.DeleteFunc(replica.sentFrames(), func(frame string) bool { return frame != "ping" })
	if len(pings) != 1 {
		t.Errorf("%d pings", len(pings))
	}
	replica.framer.WritePing(true, [8]byte{1})
	replica.read()
	replica.expectEvents("reply 1 0 first", "reply 2 0 second", "ping answered")
}
