package coordinator

import (
	"net/http"

	"terntray/scheduler"
	"terntray/server"
)

// recoverFromPanic is called after a panic in an iteration, by whatever query, reply or endpoint list caused it.
// The state of the scheduler can then not be trusted, and without more each further iteration might panic as well.
// So the open queries are failed (500), and so is the request that was looked at; the attempts of open queries'
// present subqueries are abandoned; and a new scheduler starts with the endpoint list as it is known. The connection
// pool is kept as it is, with its connections and all other attempts. After a second panic, in here, nothing is done
// beyond going on with the next iteration.
//
// The new scheduler has learned nothing. What limits count (attempts against the retry budget, work sent to
// starting replicas) goes on, as what was sent before counts for the same limits. If no new scheduler can be made,
// the old one goes on.
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
	// The ends of attempts that the old scheduler was still to be notified of. The new one knows none of these
	// attempts; the notifications release what the drivers hold for them.
	for _, notify := range notifications {
		notify()
	}
	clear(c.subqueries)
	c.discovery.Redeliver()
}

// answerArriving answers the request that was looked at when the panic came and was not open yet.
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
