package replicaproto

// Kind is what an Event says.
type Kind int

// The kinds of events.
const (
	Reply        Kind = iota // Attempt or SubqueryID, End, Value and Busy say what it is
	NeverRan                 // the attempt ended, and Evidence says why it cannot have run
	MayHaveRun               // the attempt ended without a reply and may have run
	CallLimit                // the replica takes MaxCalls at a time from now on
	GoingAway                // the replica takes nothing new on this connection
	PingAnswered             // the replica answered a ping
	Ready                    // calls may be written
)

// ReplyStatus is how a replica says that a subquery ended.
type ReplyStatus int

// The ends of a subquery.
const (
	OK       ReplyStatus = iota
	Error                // it may have run
	Rejected             // it never ran; the protocol defines the word for that
)

// Evidence is what proves that a call never ran, other than that it was not written whole (Stage).
type Evidence string

// The kinds of evidence.
const (
	AboveLastStreamID Evidence = "above the last stream that the replica took" // RFC 9113, 6.8
	RefusedStream     Evidence = "the replica refused the stream"              // RFC 9113, 8.7
)

// Event is something that came on a connection.
type Event struct {
	Kind       Kind
	Attempt    uint64 // 0: replies name subqueries, and SubqueryID says which
	SubqueryID string
	Status     ReplyStatus
	Value      []byte
	CPUUsage   float64 // of a reply: the share of the replica's cores in use; below 0: it tells none
	Evidence   Evidence
	MaxCalls   int
	Detail     string // for the log
}
