package replicaproto

import (
	"time"

	"terntray/valuecheck"
)

// WithheldReply is a reply that has arrived and is withheld until its length is confirmed.
type WithheldReply struct {
	Unconfirmed Event // of kind Unconfirmed
	Judgement   valuecheck.Judgement
}

// NewWithheldReply returns what is known of a reply that is withheld.
func NewWithheldReply(reply Event, judgement valuecheck.Judgement) WithheldReply {
	reply.Kind = Unconfirmed
	reply.Value = nil
	return WithheldReply{Unconfirmed: reply, Judgement: judgement}
}

// Session is the state machine of one connection. Its methods must not be called concurrently, except ReadBuffer.
type Session interface {
	// Queue appends a call to the calls that wait to be written.
	Queue(call *Call)
	// Withdraw removes a call that is Revocable from the queue and reports whether it could.
	Withdraw(call *Call) bool
	// Abandon queues a message that notifies the replica that the result of a call in stage Begun or Written is no
	// longer needed.
	Abandon(call *Call)
	// Ping queues a ping; a PingAnswered event reports the answer. It does nothing in protocols without pings.
	Ping()
	// AnnounceClose notifies the session that the connection is about to be closed. It reports whether there are last
	// messages for the replica: the protocol's own, if it has one, and those about abandoned calls. Output writes these
	// and begins no call any more; calls that wait can still be withdrawn.
	AnnounceClose() (hasLastMessages bool)

	// Output appends up to about maxBytes of pending output to a buffer. It calls the Permit of each call that it
	// begins and drops those that are refused. Wrote must be called before the next Output. The time now is relative to
	// process start.
	Output(buffer []byte, maxBytes int, now time.Duration) []byte
	// Wrote records how many bytes of the last output the operating system accepted. After a partial write the
	// connection must be closed.
	Wrote(bytes int)

	// ReadBuffer returns space for the next read. It may be called concurrently with the other methods.
	ReadBuffer() []byte
	// Filled records how many bytes were read into the space that ReadBuffer returned.
	Filled(bytes int)
	// Next returns the next event. If it returns neither an event nor an error, more input is needed. After an error
	// the connection is unusable, and Output returns its last message.
	Next() (event Event, ok bool, err error)
	// Withheld returns the reply that Next withholds because a length in it may be wrong, and false if there is none.
	// Next returns the reply once another message follows it or it is judged otherwise, or an error if other bytes follow
	// it.
	Withheld() (withheld WithheldReply, exists bool)
	// ReleaseReply lets Next return the withheld reply, as nothing has followed it for long enough.
	ReleaseReply()
	// EndInput notifies the session that no more input will follow, whatever the reason. Next then returns the withheld
	// reply, unless the size of its value says that it was cut short.
	EndInput()
	// HasPartialMessage reports whether an incomplete message has been received.
	HasPartialMessage() bool
}
