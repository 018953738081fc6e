package coordinator

import (
	"fmt"
	"strings"

	"terntray/connpool"
	"terntray/invariant"
	"terntray/replicaconn"
	"terntray/scheduler"
	"terntray/server"
)

// Counts counts what was received, sent and answered since the start. It belongs to the event loop.
//
// Queries is the sum of Succeeded, Rejected, Failed, Disconnected and the queries that are open. The keys under
// which operators read these counters are older than the names here; see Counts.line.
type Counts struct {
	QueryCounts
	AttemptCounts
	ReplicaConnCounts
	TwoPhaseCounts
	ProcessCounts
}

// QueryCounts counts queries.
type QueryCounts struct {
	Queries         int // received
	Succeeded       int
	Partial         int // of them, without some subqueries
	Rejected        int
	RejectedFull    int // of them, as too much was open
	RejectedExpired int // of them, as their deadline had passed before they could be read
	Failed          int
	Disconnected    int // ended as their clients disconnected
	WaitedUnsent    int // rejected or failed after half of their time, with no attempt written whole
	Malformed       int // requests that are no queries; not among Queries
}

// AttemptCounts counts attempts.
type AttemptCounts struct {
	Attempts    int
	Retries     int // of them, after another of the same subquery had ended
	Hedges      int // of them, beside another of the same subquery
	Outcomes    [len(outcomeKeys)]int
	Refused     map[invariant.Reason]int // not written, as an invariant forbade it then
	Violations  int                      // actions decided against an invariant; above 0: a fault of this program
	LateReplies int                      // replies to attempts that had ended
}

// ReplicaConnCounts counts connections to replicas.
type ReplicaConnCounts struct {
	ConnsOpened          int
	ConnsFailed          int // did not come up
	TLSFailed            int // of them, for their certificates or handshake
	ConnsDropped         int // broke with attempts out, or unasked
	ConnsMalformed       int // closed for what came
	PingTimeouts         int // closed as a ping was not answered
	GoingAway            int // the replica took nothing new on them
	StreamLimitReached   int // times that attempts waited for the replica's limit
	CertificatesExpiring int // now
}

// TwoPhaseCounts counts two-phase queries.
type TwoPhaseCounts struct {
	TwoPhaseQueries    int // ended
	CanMatchPhases     int // of them, with a can-match phase
	ShardsPruned       int // not asked, as their can-match reply proved that they cannot matter
	MalformedSummaries int // can-match replies that cannot be used
	TwoPhaseRejected   int // no complete answer could come in time
}

// ProcessCounts counts what concerns the process as a whole.
type ProcessCounts struct {
	EndpointLists        int
	EndpointListFailures int
	Panics               int // in the event loop
	Reloads              int
	GossipReceived       int // messages received
	MalformedGossip      int
	ClientConnsClosed    server.CloseCounts
}

// addConnEvent counts what happened to a connection to a replica.
func (counts *Counts) addConnEvent(event replicaconn.ConnEvent) {
	switch event.Kind {
	case connpool.ConnectFailed:
		counts.ConnsFailed++
	case connpool.Dropped:
		counts.ConnsDropped++
	case connpool.Malformed:
		counts.ConnsMalformed++
	case connpool.PingTimeout:
		counts.PingTimeouts++
	case connpool.GoingAway:
		counts.GoingAway++
	case connpool.StreamLimit:
		counts.StreamLimitReached++
	}
	if event.TLSFailed {
		counts.TLSFailed++
	}
}

// outcomeKeys are the keys of Counts.Outcomes, by scheduler.Outcome. Trace lines use the same words.
var outcomeKeys = [...]string{
	scheduler.Succeeded:       "ok",
	scheduler.Failed:          "erred",
	scheduler.Overloaded:      "turned_away",
	scheduler.TimedOut:        "timed_out",
	scheduler.Unreachable:     "unreachable",
	scheduler.ConnectionReset: "reset",
	scheduler.Cancelled:       "cancelled",
	scheduler.NeverSent:       "moot",
	scheduler.MalformedReply:  "spoilt",
}

// counterLine collects counters in the form that operators read: key=value, separated by spaces.
type counterLine struct{ text strings.Builder }

func (line *counterLine) add(key string, value any) {
	if line.text.Len() > 0 {
		line.text.WriteByte(' ')
	}
	fmt.Fprintf(&line.text, "%s=%v", key, value)
}

// line gives the counters under the keys that operators know, with how many queries are open.
func (counts *Counts) line(open int) string {
	line := &counterLine{}
	counts.addQueries(line, open)
	counts.addAttempts(line)
	counts.addConnections(line)
	counts.addProcess(line)
	return line.text.String() + counts.ClientConnsClosed.String()
}

func (counts *Counts) addQueries(line *counterLine, open int) {
	line.add("taken", counts.Queries)
	line.add("fulfilled", counts.Succeeded)
	line.add("partial", counts.Partial)
	line.add("turned_back", counts.Rejected)
	line.add("full", counts.RejectedFull)
	line.add("expired", counts.RejectedExpired)
	line.add("scrapped", counts.Failed)
	line.add("left", counts.Disconnected)
	line.add("open", open)
	line.add("held_back", counts.WaitedUnsent)
	line.add("bad", counts.Malformed)
}

func (counts *Counts) addAttempts(line *counterLine) {
	line.add("legs", counts.Attempts)
	line.add("retries", counts.Retries)
	line.add("hedges", counts.Hedges)
	line.add("violations", counts.Violations)
	for _, reason := range invariant.Reasons() {
		line.add("withheld_"+reason.String(), counts.Refused[reason])
	}
	for outcome, key := range outcomeKeys {
		line.add("legs_"+key, counts.Outcomes[outcome])
	}
	line.add("late", counts.LateReplies)
}

func (counts *Counts) addConnections(line *counterLine) {
	line.add("opened", counts.ConnsOpened)
	line.add("refused", counts.ConnsFailed)
	line.add("dropped", counts.ConnsDropped)
	line.add("spoilt", counts.ConnsMalformed)
	line.add("silent", counts.PingTimeouts)
	line.add("goes_away", counts.GoingAway)
	line.add("limit_reached", counts.StreamLimitReached)
	line.add("tls_failed", counts.TLSFailed)
	line.add("certificates_running_out", counts.CertificatesExpiring)
}

func (counts *Counts) addProcess(line *counterLine) {
	line.add("lists", counts.EndpointLists)
	line.add("list_failures", counts.EndpointListFailures)
	line.add("broken", counts.Panics)
	line.add("reloads", counts.Reloads)
	line.add("questions", counts.TwoPhaseQueries)
	line.add("two_phases", counts.CanMatchPhases)
	line.add("pruned", counts.ShardsPruned)
	line.add("bad_summaries", counts.MalformedSummaries)
	line.add("refused_questions", counts.TwoPhaseRejected)
	line.add("peer_messages", counts.GossipReceived)
	line.add("bad_peer_messages", counts.MalformedGossip)
}
