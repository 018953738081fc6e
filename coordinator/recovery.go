package coordinator

import (
	"net/http"

	"terntray/scheduler"
	"terntray/server"
)

// recoverFromPanic is called after a panic in an iteration, whatever query, reply or endpoint list caused it. The
// state of the scheduler can no longer be trusted, and further iterations might panic as well. Therefore
// recoverFromPanic fails the open queries and the request that was being handled (500), abandons the attempts of the
// open queries' current subqueries, and starts a new scheduler with the known endpoint list. The connection pool is
// kept, with its connections and all other attempts. If recoverFromPanic itself panics, the loop just continues with
// the next iteration.
//
// The new scheduler starts without estimates, but takes over the ledger, so that earlier attempts still count against
// the retry budget and the slow start of replicas. If no new scheduler can be started, the old one stays.
func (c *Coordinator) recoverFromPanic(cause string) {
	c.counts.Panics++
	c.log.Printf("event=loop_panic cause=%q", cause)
	c.answerArriving()
	c.failAllQueries()
	notifications := c.loop.TakeNextIteration()
	ledger := c.scheduler.Ledger()
	if err := c.startScheduler(); err != nil {
		c.log.Printf("event=loop_panic cause=%q", err)
	}
	c.scheduler.Resume(ledger)
	// These notify of ended attempts that the old scheduler has not been notified of. The new one does not know these
	// attempts, but the notifications also release what the drivers hold for them. Steps of two-phase queries, which
	// are among them, do nothing, as their queries are closed.
	for _, notify := range notifications {
		notify()
	}
	clear(c.subqueries)
	c.discovery.Redeliver()
}

// answerArriving answers the request that was being handled, but not open yet, when the loop panicked.
func (c *Coordinator) answerArriving() {
	if c.arriving == nil {
		return
	}
	from := c.arriving
	c.arriving = nil
	from.Respond(server.Text(http.StatusInternalServerError, failedText))
}

func (c *Coordinator) failAllQueries() {
	for _, query := range c.queriesInOrder() {
		for _, subquery := range query.subqueries {
			for number := range subquery.attempts {
				c.CancelAttempt(subquery.id, scheduler.AttemptNumber(number))
			}
		}
		c.Fail(query.id)
	}
}
