package scheduler

import (
	"time"
)

// What a co-ordinator keeps. Nothing here chooses anything.

// Scheduler makes the decisions of one co-ordinator.
type Scheduler struct {
	parameters

	host   Host
	random random

	classes                                            []class
	allowance                                          []float64 // per tenant: left of its quota
	subscribed                                         bool
	askAt, askWait                                     time.Duration
	now, lastTickAt, wakeupAt, stalled, lastRejectedAt time.Duration // shedAt: the last turning back
	readDelay, lastLoadReportAt                        time.Duration // own core's lateness, as told; last load report
	meanUtilization                                    float64       // learned from reports: share of the replicas' cores in use
	watched                                            *watcher      // counts what other settings would decide; nil: off
	gossip                                             gossip        // exchange with the other co-ordinators
	typicalSize                                        float64       // the mean size of those in use
	deadlineShares                                     []float64     // of their cut-offs that queries came with of late
	flow, warm, blank                                  float64       // answers of late from warm replicas, how many there are, share of that time before the start
	asked                                              []float64     // parts of late, by cell

	open            []*query // in order of arrival
	queriesByID     map[RequestID]*query
	queriesByNumber map[QueryNumber]*query
	subqueries      map[RequestID]*subquery     // those with attempts out or of open queries
	hedgeCredit     float64                     // second copies earned
	parallelism     float64                     // learned: parts a replica works on side by side
	taken, extras   []time.Duration             // within the attempt budget's span
	coldBefore      map[ReplicaID]time.Duration // of replicas not listed yet: coldAt as an earlier Coordinator left it

	replicas replicaSet
}
