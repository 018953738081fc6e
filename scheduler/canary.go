package scheduler

// Queries of death: how few subqueries of a query go ahead of the others, and when it is given up as deadly.

import (
	"math"
	"time"
)

const (
	scoutsMany   = 12                    // parts; a query of more sends one ahead in any case
	scoutStep    = 60 * time.Millisecond // to the next parts; what kills mostly does so in one
	scoutGrow    = 8.0                   // times as many parts are out after each step
	answersDeath = 2.0                   // answers that a query must have for each death under it
)

// suspectedDeadly tells whether a query may kill what works on it: at a second death it ends; after one it goes
// on only where it has been. Guards against: deadly queries. Could hurt: those caught early in a crash.
func (q *query) suspectedDeadly() bool {
	return q.suspectedCrashes > 0 && q.answered < answersDeath*q.suspectedCrashes
}

// canaryHoldsBack tells whether a large query's next part waits: until an answer is in one goes, then eight
// times as many in each step. Guards against: deadly queries, where one of many co-ordinators sees too few
// deaths to be warned. Could hurt: by some steps while replicas are busy.
func (c *Scheduler) canaryHoldsBack(q *query) bool {
	return q.answered < 1+2*q.suspectedCrashes && len(q.subqueries) > scoutsMany && c.unseenLoadFactor > 1 && q.attemptsSent > 0 &&
		q.attemptsSent >= math.Pow(scoutGrow, math.Floor(float64(c.now-q.arrivedAt)/float64(scoutStep)))
}
