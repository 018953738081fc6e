package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"terntray/invariant"
	"terntray/server"
)

// Counts is what was taken in, sent and answered. Taken is the sum of Fulfilled, TurnedBack, Scrapped, Left
// and what is open.
type Counts struct {
	Taken, Fulfilled, Partial, TurnedBack, Scrapped, Left int

	HeldBack   int                      // turned back or scrapped in the second half of their time, without an attempt that went
	Full       int                      // of those turned back: by the bound on what is open
	Expired    int                      // of those turned back: their time was over before they could be read
	Bad        int                      // requests that were none
	Attempts   int                      // sent
	Retries    int                      // of them, after another of the same subquery had ended
	Hedges     int                      // of them, beside another of the same subquery
	Withheld   map[invariant.Reason]int // of them, refused when decided or as they were about to be written
	Violations int                      // actions that a rule forbids and that were decided all the same: 0, or a fault of this program
	Outcomes   [9]int                   // of attempts, by how they ended
	Late       int                      // replies to attempts that had ended

	Opened, Refused, Dropped int // connections to replicas
	Spoilt                   int // of them, ended by what came
	Silent                   int // of them, ended as a ping had no answer
	Leaving                  int // of them, on which the far side took nothing new (GOAWAY)
	LimitReached             int // times that attempts had to wait for the far side's limit
	TLSFailed                int // of those that did not come up
	RunningOut               int // certificates that are about to run out, now
	Questions, TwoPhases     int // that ended; of them, asked in two phases
	Pruned                   int // blocks of those that were not asked
	BadSummaries             int // that could not be used
	RefusedQuestions         int // as no whole answer could come in time
	Lists, ListFailures      int
	Broken, Reloads          int
	PeerMessages             int                // from other co-ordinators
	Closed                   server.CloseCounts // clients' connections that ended
	BadPeerMessages          int                // that were none
}

var outcomeNames = [9]string{
	"ok", "erred", "turned_away", "timed_out", "unreachable", "reset", "cancelled", "moot", "spoilt",
}

// line tells the counters, with how many queries are open.
func (n *Counts) line(open int) string {
	s := fmt.Sprintf("taken=%d fulfilled=%d partial=%d turned_back=%d full=%d expired=%d scrapped=%d left=%d open=%d",
		n.Taken, n.Fulfilled, n.Partial, n.TurnedBack, n.Full, n.Expired, n.Scrapped, n.Left, open)
	s += fmt.Sprintf(" held_back=%d bad=%d legs=%d retries=%d hedges=%d violations=%d", n.HeldBack, n.Bad, n.Attempts, n.Retries, n.Hedges, n.Violations)
	for _, reason := range invariant.Reasons() {
		s += fmt.Sprintf(" withheld_%s=%d", reason, n.Withheld[reason])
	}
	for i, name := range outcomeNames {
		s += fmt.Sprintf(" legs_%s=%d", name, n.Outcomes[i])
	}
	return s + fmt.Sprintf(" late=%d opened=%d refused=%d dropped=%d spoilt=%d silent=%d goes_away=%d limit_reached=%d tls_failed=%d certificates_running_out=%d lists=%d list_failures=%d broken=%d reloads=%d questions=%d two_phases=%d pruned=%d bad_summaries=%d refused_questions=%d peer_messages=%d bad_peer_messages=%d",
		n.Late, n.Opened, n.Refused, n.Dropped, n.Spoilt, n.Silent, n.Leaving, n.LimitReached, n.TLSFailed, n.RunningOut,
		n.Lists, n.ListFailures, n.Broken, n.Reloads, n.Questions, n.TwoPhases, n.Pruned, n.BadSummaries, n.RefusedQuestions,
		n.PeerMessages, n.BadPeerMessages) + n.Closed.String()
}

// beliefs tells what the module believes of its tracks and replicas, for a person to read.
func (c *Coordinator) beliefs() string {
	var s strings.Builder
	believed := c.module.ClassEstimates()
	for _, name := range slices.Sorted(maps.Keys(c.tracks)) {
		b := believed[c.tracks[name]]
		if t := c.questions.learns[name]; t != nil {
			fmt.Fprintf(&s, "questions of track=%s %s\n", name, t)
		}
		fmt.Fprintf(&s, "track=%s work=%v hint=%.3g longer=%.2f trickle=%.0f\n", name, b.SubqueryWork, b.WorkPerHint, b.LatenessFactor, b.ProbeLimit)
	}
	fmt.Fprintf(&s, "share=%.2f core=%.2f\n%s", c.gate.Share(), c.core.used, c.module.DescribeReplicas())
	return s.String()
}
