// Package replicaproto is the vocabulary in which a connection to a replica is spoken of, whatever is said on it. A Session is
// a connection's state machine: it is given the calls to be made and the bytes that came, and gives the bytes to be
// written and what came of each call. It has no socket, no clock and no goroutine. The sessions themselves stand in
// packages of their own below this one.
package replicaproto

import "time"

// Protocol names a dialect, as the installation file does.
type Protocol string

// The dialects.
const (
	Frames Protocol = "frames" // docs/sockets.md
	HTTP2  Protocol = "http2"  // docs/http2.md
)

// Traits are what a choice of connections may rest on.
type Traits struct {
	Multiplexed   bool // many attempts on few connections: each is told of by itself, and a reply names its attempt
	Pings         bool // the far side answers a ping whatever its work is
	LimitsStreams bool // the far side may state how many attempts it takes at a time; giving one up frees its place
}

// TraitsOf gives a dialect's traits.
func TraitsOf(n Protocol) Traits {
	if n == HTTP2 {
		return Traits{Multiplexed: true, Pings: true, LimitsStreams: true}
	}
	return Traits{}
}

// Stage is how far a call has come on its connection.
type Stage int

// The stages of a call.
const (
	Waiting  Stage = iota // no byte of it was written: it can still be taken back
	Begun                 // some may have been
	Written               // its last byte has been handed to the machine
	Withheld              // Permit refused it as its first byte was about to be written: nothing of it ever goes
)

// Call is one attempt as it is put on a connection. Session alone changes its stage; what else it says stays.
type Call struct {
	Attempt    uint64 // names it in events
	Group      uint64 // calls of one group may share a message
	SubqueryID string // the part's id
	Shard      int
	Text       []byte

	// Deadline is when the answer stops being awaited, as time since the process' start. Replicas are told what is left
	// of it as the call's first byte is written.
	Deadline time.Duration
	// Permit is asked when the first byte is about to be written, under the connection's mutex; what it refuses is
	// never written. Nil permits everything that has a millisecond left.
	Permit func(now time.Duration) bool

	Stage  Stage
	Stream uint32 // where a dialect has streams; 0: none yet
}

// Begin tells whether a call's first byte may be written now and, if so, how many milliseconds the replica is told. The
// call's stage is changed accordingly.
func (c *Call) Begin(now time.Duration) (waitMS int64, permitted bool) {
	waitMS = (c.Deadline - now).Milliseconds()
	if c.Permit != nil && !c.Permit(now) || waitMS < 1 {
		c.Stage = Withheld
		return 0, false
	}
	c.Stage = Begun
	return waitMS, true
}

// Revocable tells whether no byte of a call was written and none is about to be.
func (c *Call) Revocable() bool { return c.Stage == Waiting || c.Stage == Withheld }

// Kind is what an Event says.
type Kind int

const (
	Reply        Kind = iota // End and Value say how
	NeverRan                 // Evidence says why
	MayHaveRun               // it ended without an answer and may have run
	CallLimit                // the far side takes Most calls at a time from now on
	GoingAway                // the far side takes nothing new on this connection
	PingAnswered             // it answered a ping
	Ready                    // calls may go
)

// End is how a replica says that a part ended.
type End int

const (
	OK       End = iota
	Error        // it may have run
	Rejected     // it never ran, and the dialect defines the word for that
)

// Evidence is what proves that a call never ran.
type Evidence string

// The kinds of evidence that a session has. That a call was not written whole is told by its stage.
const (
	AboveLast Evidence = "above the last stream that the far side took" // RFC 9113, 6.8
	Refused   Evidence = "the far side refused the stream"              // RFC 9113, 8.7
)

// Event is something that came. Where Attempt is 0 the dialect's replies name parts, and Wire says which.
type Event struct {
	Kind       Kind
	Attempt    uint64
	SubqueryID string
	End        End
	Value      []byte
	Busy       float64 // of an answer: the share of the far side's cores in use, below 0 if it tells none
	Evidence   Evidence
	MaxCalls   int
	Detail     string // for the log
}

// Session is one connection's state machine. Its methods are called by one goroutine at a time.
type Session interface {
	// Queue has a call wait to be written, after those before it.
	Queue(*Call)
	// Withdraw takes back a call of which no byte was written; it tells whether it could.
	Withdraw(*Call) bool
	// Abandon has the far side told that nobody waits for a call that was begun.
	Abandon(*Call)
	// Ping asks the far side for a sign of life; Alive follows. A dialect without pings does nothing.
	Ping()
	// Goodbye has the far side told that the connection ends now. Output gives the last word then, and nothing after it.
	Goodbye()
	// Output appends what is to be written now to b, about most bytes of it. What it begins, it marks as Begun; what its
	// Permit refuses is dropped. Wrote must be told before the next call of Output. Now is time since the process' start.
	Output(b []byte, most int, now time.Duration) []byte
	// Wrote tells how many bytes of the last output the machine took; less than all of them is the connection's end.
	Wrote(n int)
	// ReadBuffer gives space for what comes next; it may be called beside the other methods.
	ReadBuffer() []byte
	// Filled tells how many bytes came into it.
	Filled(n int)
	// Next gives the next event; none without an error means that more bytes must come in first. After an error the
	// connection is of no more use; what Output gives then is its last word.
	Next() (e Event, ok bool, err error)
	// MidMessage tells whether a message has begun to come that is not whole.
	MidMessage() bool
}
