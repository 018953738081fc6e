package replicaproto

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	Reply        Kind = iota // a reply; Attempt or SubqueryID, Status, Value and CPUUsage describe it
	NeverRan                 // the attempt ended and cannot have run; Evidence says why
	MayHaveRun               // the attempt ended without a reply and may have run
	CallLimit                // the replica accepts at most MaxCalls concurrent calls from now on
	GoingAway                // no new calls may be written to this connection
	PingAnswered             // the replica answered a ping
	Ready                    // calls may be written
	Unconfirmed              // a reply was received that Session withholds; it has no value yet
)

// ReplyStatus is the result of a subquery as its replica reports it.
type ReplyStatus int

// The statuses of a reply.
const (
	OK       ReplyStatus = iota
	Error                // the subquery may have run
	Rejected             // the subquery never ran; each protocol has its own encoding of this status
)

// Evidence is what proves that a call never ran, other than its Stage: a call that is not fully written never ran
// either.
type Evidence string

// The kinds of evidence.
const (
	AboveLastStreamID Evidence = "the stream ID is above the last one in the replica's GOAWAY" // RFC 9113, 6.8
	RefusedStream     Evidence = "the replica refused the stream"                              // RFC 9113, 8.7
)

// Event is what Session.Next reports about a connection.
type Event struct {
	Kind       Kind
	Attempt    uint64 // 0: the protocol's replies name subqueries; see SubqueryID
	SubqueryID string
	Status     ReplyStatus
	Value      []byte
	CPUUsage   float64 // of a reply: the fraction of the replica's cores in use; below 0: not reported
	Evidence   Evidence
	MaxCalls   int
	Detail     string // for the log
}
