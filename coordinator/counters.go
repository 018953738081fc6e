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

// Counts holds the counters since the start of the process. It belongs to the event loop.
//
// Queries is the sum of Succeeded, Rejected, Failed, Disconnected and the open queries. The published keys of these
// counters are older than the field names and differ from them; see Counts.line.
type Counts struct {
	QueryCounts
	AttemptCounts
	ReplicaConnCounts
	TwoPhaseCounts
	ProcessCounts
}

// QueryCounts counts queries.
type QueryCounts struct {
	Queries         int // that reached the event loop and are valid
	Succeeded       int
	Partial         int // of Succeeded: with some subqueries unanswered
	Rejected        int
	RejectedFull    int // of Rejected: too much was open
	RejectedExpired int // of Rejected: the deadline passed before the query was handled
	Failed          int
	Disconnected    int // closed because the client disconnected
	WaitedUnsent    int // rejected or failed after more than half of their timeout without a fully written attempt
	Malformed       int // refused as invalid or unsupported, or while too many large ones are read; not in Queries
}

// AttemptCounts counts attempts.
type AttemptCounts struct {
	Attempts    int // decided by the scheduler; some of them are never sent
	Retries     int // of Attempts: started after the earlier attempts of the subquery had ended
	Hedges      int // of Attempts: started while another attempt of the subquery was in flight
	Outcomes    [len(outcomeKeys)]int
	Refused     map[invariant.Reason]int // attempts not sent because of an invariant, without Violations
	Violations  int                      // decided actions that break an invariant; each is a fault of this program
	LateReplies int                      // replies to attempts that had already ended

	// UnconfirmedReplies counts replies that were withheld until their length was confirmed.
	UnconfirmedReplies int
}

// ReplicaConnCounts counts connections to replicas.
type ReplicaConnCounts struct {
	ConnsOpened          int
	ConnsFailed          int // failed to connect
	TLSFailed            int // of ConnsFailed: certificate or handshake failed
	ConnsDropped         int // broke with attempts in flight, or closed unexpectedly
	ConnsMalformed       int // closed because of malformed input
	PingTimeouts         int // closed because a ping was not answered
	GoingAway            int // the replica accepted no new attempts on them
	StreamLimitReached   int // times that attempts waited for the replica's stream limit
	CertificatesExpiring int // currently
}

// TwoPhaseCounts counts two-phase queries.
type TwoPhaseCounts struct {
	TwoPhaseQueries    int // ended
	CanMatchPhases     int // of TwoPhaseQueries: with a can-match phase
	ShardsPruned       int // of these queries: not fetched, because they cannot contribute or the query ended first
	MalformedSummaries int // unusable can-match replies
	TwoPhaseRejected   int // rejected because no complete answer was possible in time
}

// ProcessCounts counts events that concern the process as a whole.
type ProcessCounts struct {
	EndpointLists        int
	EndpointListFailures int
	Panics               int // in the event loop
	Reloads              int
	GossipReceived       int // messages received
	MalformedGossip      int
	ClientConnsClosed    server.CloseCounts
}

// addConnEvent counts an event of a connection to a replica.
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

// outcomeKeys are the keys of Counts.Outcomes, indexed by scheduler.Outcome. Trace lines use the same names.
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

// counterLine formats counters as key=value pairs separated by spaces.
type counterLine struct{ text strings.Builder }

func (line *counterLine) add(key string, value any) {
	if line.text.Len() > 0 {
		line.text.WriteByte(' ')
	}
	fmt.Fprintf(&line.text, "%s=%v", key, value)
}

// line formats the counters under their published keys; open is the number of open queries.
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
	line.add("unconfirmed", counts.UnconfirmedReplies)
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
