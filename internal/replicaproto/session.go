package replicaproto

import "time"

// Session is one connection's state machine. Its methods are called by one goroutine at a time, except ReadBuffer.
type Session interface {
	// Queue has a call wait to be written, after those queued before it.
	Queue(call *Call)
	// Withdraw takes back a call of which no byte was written, and tells whether it could.
	Withdraw(call *Call) bool
	// Abandon has the replica told that nobody waits for a call that was begun.
	Abandon(call *Call)
	// Ping asks the replica for a sign of life; PingAnswered follows. Protocols without pings do nothing.
	Ping()
	// AnnounceClose has the replica told that the connection is about to be closed, where the protocol has a message
	// for that. Output gives that message, and nothing after it.
	AnnounceClose()

	// Output appends about maxBytes of what is to be written now to a buffer. It asks the Permit of each call that it
	// begins, and drops what that refuses. Wrote must be called before the next Output. Now is the time since the
	// process' start.
	Output(buffer []byte, maxBytes int, now time.Duration) []byte
	// Wrote tells how many bytes of the last output the operating system took. Less than all of them is the end of the
	// connection.
	Wrote(bytes int)

	// ReadBuffer gives space for what is read next. It may be called beside the other methods.
	ReadBuffer() []byte
	// Filled tells how many bytes were read into it.
	Filled(bytes int)
	// Next gives the next event. If there is none and no error, more bytes must be read first. After an error the
	// connection is of no more use, and Output gives its last message.
	Next() (event Event, ok bool, err error)
	// HasPartialMessage tells whether a message has begun to come that is not whole.
	HasPartialMessage() bool
}
