package scheduler

import (
	"time"

	"terntray/invariant"
)

// What a co-ordinator keeps. Nothing here chooses anything.

type class struct {
	index                                           int
	objective, deadline, keyWindow                  time.Duration
	objectivePerHint, completeWeight, minimumWeight float64
	effect                                          invariant.Effect
	lastJudgedAt                                    time.Duration // the last query that counted
	fetchSubqueries                                 int
	subqueryWork                                    time.Duration // learned: work of a part
	workPerHint                                     float64       // learned: expected work for each unit of hint
	latenessFactor                                  float64       // learned: times the expected that queries may take
	probeLimit                                      float64       // let in at a time against what is learned
	lastRejectedAt                                  time.Duration // last turning back
	nextProbeAt, probeInterval                      time.Duration // when one may be let in against it; from a late one to that
}

type attempt struct {
	subquery          *subquery
	replica           *replicaState
	sentAt            time.Duration
	expected, work    time.Duration // expected time at pace 1, and the part's own share of it
	ended, mayHaveRun bool          // ran: it may have, as far as its end tells
	overtaken         int           // answers from there to later attempts
	shadowCounted     bool          // watching has counted that others would copy it
}

type subquery struct {
	id                          RequestID
	query                       *query
	shard                       ShardNumber
	weight                      float64
	work                        time.Duration
	workPerHint                 float64       // the track's when the work was told from it
	replica                     *replicaState // where it is held; nil: nowhere
	queued, answered, abandoned bool          // gone: abandoned, it gets no further attempt
	attemptsUsed                int           // attempts of its allowance that other steps have had, or are to have
	isRetry                     bool          // an earlier step had some: its first attempt is a further one
	attempts                    []*attempt
}

type query struct {
	id                                                     RequestID
	number                                                 QueryNumber
	class                                                  *class
	arrivedAt, objectiveAt, deadlineAt                     time.Duration
	subqueries                                             []*subquery
	expectedSubqueries, phase                              int
	answeredWeight                                         float64 // weight of the parts that are in
	answered, latenessSum, attemptsSent                    float64 // parts in, their times over the expected, attempts
	firstPhaseComplete, overQuota, admitted, ended, judged bool
	tenant                                                 TenantIndex
	objectivePassed                                        bool // a later try whose agreed time was over when it came
	touched                                                bool // something came in for it in this turn
	admittedAsProbe                                        bool // against what is learned of its track
	callerEndsPhases, reservesAttempt                      bool // NextStep ends its steps; the first leaves an attempt
	attemptsUsed                                           map[ShardNumber]int
	suspectedCrashes                                       float64       // times that a replica seemed to die under it
	suspectedCrashAt                                       time.Duration // the last of them
	suspectedReplica                                       *replicaState // where
}

// Scheduler makes the decisions of one co-ordinator.
type Scheduler struct {
	parameters

	host        Host
	seed, draws uint64

	classes                                            []class
	allowance                                          []float64 // per tenant: left of its quota
	subscribed                                         bool
	askAt, askWait                                     time.Duration
	now, lastTickAt, wakeupAt, stalled, lastRejectedAt time.Duration         // shedAt: the last turning back
	readDelay, lastLoadReportAt                        time.Duration         // own core's lateness, as told; last load report
	meanUtilization                                    float64               // learned from reports: share of the replicas' cores in use
	watched                                            *watcher              // counts what other settings would decide; nil: off
	peersAt                                            time.Duration         // last message from one
	tallies                                            [kindsOfAttempt]tally // attempts that the others are to be told of
	typicalSize                                        float64               // the mean size of those in use
	deadlineShares                                     []float64             // of their cut-offs that queries came with of late
	flow, warm, blank                                  float64               // answers of late from warm replicas, how many there are, share of that time before the start
	asked                                              []float64             // parts of late, by cell

	open            []*query // in order of arrival
	queriesByID     map[RequestID]*query
	queriesByNumber map[QueryNumber]*query
	subqueries      map[RequestID]*subquery     // those with attempts out or of open queries
	hedgeCredit     float64                     // second copies earned
	parallelism     float64                     // learned: parts a replica works on side by side
	taken, extras   []time.Duration             // within the attempt budget's span
	coldBefore      map[ReplicaID]time.Duration // of replicas not listed yet: coldAt as an earlier Coordinator left it

	replicas      []*replicaState // in the order in which they were first listed
	replicasByID  map[ReplicaID]*replicaState
	holdersByCell [][]*replicaState // the holders of a cell's shards; nil: to be made from the list
}

// lastInFlight is the last attempt of a part that is out; a copy that came back with nothing must not hide the one that
// goes on.
func (p *subquery) lastInFlight() (last *attempt) {
	for _, l := range p.attempts {
		if !l.ended {
			last = l
		}
	}
	return last
}

// interchangeable tells whether two parts not sent yet can go to the same replicas at the same cost.
func (p *subquery) interchangeable(o *subquery, cells int) bool {
	return p.work == o.work && int(p.shard)%cells == int(o.shard)%cells && len(p.attempts)+len(o.attempts) == 0
}

func (q *query) reachesMinimum(pass func(*subquery) bool) bool {
	within := 0.0
	for _, p := range q.subqueries {
		if pass(p) {
			within += p.weight
		}
	}
	_, floor := q.requiredWeights()
	return within >= floor
}

func (q *query) unanswered() float64 { return float64(len(q.subqueries)) - q.answered }

// awaitsSubqueries tells whether parts are still to come. A second step's come in one turn, as many as were counted.
func (q *query) awaitsSubqueries() bool {
	return q.ended || q.expectedSubqueries > len(q.subqueries) && (q.phase == 0 || q.callerEndsPhases || len(q.subqueries) == 0)
}

// requiredWeights are the weights that a whole answer and any answer need at the present step.
func (q *query) requiredWeights() (need, floor float64) {
	need, floor = q.class.completeWeight, q.class.minimumWeight
	if q.callerEndsPhases {
		need, floor = 1, 1
	}
	if q.phase > 0 {
		if floor >= need {
			floor = 1
		}
		need = 1
	}
	return need - rounding, floor - rounding
}
