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
	poller                                             endpointPoller
	now, lastTickAt, wakeupAt, stalled, lastRejectedAt time.Duration // shedAt: the last turning back
	readDelay, lastLoadReportAt                        time.Duration // own core's lateness, as told; last load report
	meanUtilization                                    float64       // learned from reports: share of the replicas' cores in use
	shadow                                             *shadow       // another configuration to compare with; nil: none
	gossip                                             gossip        // exchange with the other co-ordinators
	typicalSize                                        float64       // the mean size of those in use
	deadlineShares                                     []float64     // of their cut-offs that queries came with of late
	slowStart                                          slowStart

	open            []*query // in order of arrival
	queriesByID     map[RequestID]*query
	queriesByNumber map[QueryNumber]*query
	subqueries      map[RequestID]*subquery // those with attempts out or of open queries
	hedgeCredit     float64                 // second copies earned
	parallelism     float64                 // learned: parts a replica works on side by side
	taken, extras   []time.Duration         // within the attempt budget's span

	replicas replicaSet
}
