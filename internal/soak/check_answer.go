package soak

import (
	"net/http"
	"time"

	"terntray/valuecheck"
)

const (
	// lostAnswerDelay is how long after the deadline an answer counts as late; after that it counts as lost.
	lostAnswerDelay = 500 * time.Millisecond

	// acceptsAfterSIGTERM is how long after SIGTERM a process must still answer new requests.
	acceptsAfterSIGTERM = 700 * time.Millisecond

	// shareSlack is the tolerance for rounding errors of shares.
	shareSlack = 0.0001
)

// mayGoUnanswered reports whether a request without an answer is not lost: its process was killed, or it was closed unread as
// it came too late after SIGTERM. SIGKILL after SIGTERM finds no request unanswered whose time is over, and none that came
// when the process was to take no more.
func (c *checker) mayGoUnanswered(request *request) bool {
	process := request.process
	wasLate := process.terminatedAt > 0 && request.sentAt > process.terminatedAt+acceptsAfterSIGTERM
	diedOpen := process.killedAt > 0 && request.closedAt >= process.killedAt
	switch {
	case len(request.answers) > 0:
		return false
	case process.terminatedAt == 0:
		return process.killedAt > 0
	case diedOpen && !wasLate:
		slack := socketSlack + c.stoppedTime(request.coordinator.name, request.sentAt, process.killedAt) + measurementSlack
		return request.sentAt+request.deadline+slack >= process.killedAt
	case diedOpen:
		return request.sentAt >= process.killedAt
	}
	return wasLate && !c.reached[request.id]
}

// checkAnswer checks that a client that stays connected gets exactly one answer in time, and no bytes after it.
func (c *checker) checkAnswer(request *request) {
	if request.disconnectedAt > 0 || c.mayGoUnanswered(request) {
		return
	}
	end := request.sentAt + request.deadline
	name := request.coordinator.name
	c.countCheck(RuleAnswer, name, request.sentAt, end)
	slack := socketSlack + c.stoppedTime(name, request.sentAt, end+lostAnswerDelay) + measurementSlack
	switch {
	case request.closedAt > 0:
		c.violated(RuleAnswer, request.id,
			"closed without an answer %v after it was sent to %s (reused %t, SIGTERM at %v, sent at %v)",
			request.closedAt-request.sentAt, name, request.reused, request.process.terminatedAt, request.sentAt)
	case len(request.answers) != 1:
		c.violated(RuleAnswer, request.id, "%d answers from %s", len(request.answers), name)
	case request.answers[0].receivedAt > end+lostAnswerDelay+slack:
		c.violated(RuleAnswer, request.id, "answered %v after its deadline by %s",
			request.answers[0].receivedAt-end, name)
	case request.trailingBytes > 0:
		c.violated(RuleAnswer, request.id, "%d bytes after the answer from %s", request.trailingBytes, name)
	case request.answers[0].receivedAt > end+slack:
		c.result.Counts[countAnsweredLate]++
	}
	for _, answer := range request.answers {
		c.result.Counts[answer.outcome()]++
	}
}

// checkReplyLost checks that a query does not fail if all of its subqueries were answered, and long enough before for each
// reply to be confirmed. A co-ordinator that loses a reply shows by that where it must not send the subquery again.
func (c *checker) checkReplyLost(request *request) {
	if request.disconnectedAt > 0 || c.options.ExpectPanics {
		return
	}
	answeredAt, all := c.lastSubqueryAnswered(request)
	if !all {
		return
	}
	name := request.coordinator.name
	for _, answer := range request.answers {
		c.countCheck(RuleReplyLost, name, answeredAt, answer.receivedAt)
		slack := socketSlack + c.stoppedTime(name, answeredAt, answer.receivedAt) + measurementSlack
		after := answer.receivedAt - answeredAt
		if answer.outcome() == countFailed && after > valuecheck.ConfirmationWait+slack {
			c.violated(RuleReplyLost, request.id, "failed at %s %v after all %d subqueries were answered",
				name, after, len(request.shards))
		}
	}
}

// lastSubqueryAnswered returns when the last subquery of a request had its first answer, and whether all had one.
func (c *checker) lastSubqueryAnswered(request *request) (last time.Duration, all bool) {
	for _, shard := range request.shards {
		first, answered := firstAnswer(c.subqueries[subqueryID(request.id, shard)])
		if !answered {
			return 0, false
		}
		last = max(last, first)
	}
	return last, true
}

// firstAnswer returns when the first of a subquery's attempts was answered, and whether any was.
func firstAnswer(attempts []*arrival) (first time.Duration, answered bool) {
	for _, attempt := range attempts {
		if attempt.couldBeRead() && (!answered || attempt.answeredAt < first) {
			first, answered = attempt.answeredAt, true
		}
	}
	return first, answered
}

// outcome returns the key in Result.Counts under which an answer is counted.
func (a answer) outcome() string {
	switch a.status {
	case http.StatusOK:
		return countServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return countRefused
	}
	return countFailed
}

// checkAnswerContent checks that a successful answer has enough shards, and only values that replicas returned.
func (c *checker) checkAnswerContent(request *request) {
	for _, answer := range request.answers {
		if answer.status != http.StatusOK {
			continue
		}
		c.countCheck(RuleAnswerContent, request.coordinator.name, request.sentAt, answer.receivedAt)
		if !answer.hasRequiredShards(request) {
			c.violated(RuleAnswerContent, request.id, "complete %t with %d of %d shards",
				answer.complete, len(answer.matches), len(request.shards))
		}
		for shard, value := range answer.matches {
			if !c.ledger.replyValues[subqueryID(request.id, shard)][value] {
				c.violated(RuleAnswerContent, request.id, "shard %d has %q, which no replica returned", shard, value)
			}
		}
	}
}

// hasRequiredShards reports whether an answer has the minimum share of its class, and all shards if it is marked
// complete.
func (a answer) hasRequiredShards(request *request) bool {
	share := float64(len(a.matches)) / float64(len(request.shards))
	if share < request.class.minShare-shareSlack {
		return false
	}
	return !a.complete || len(a.matches) >= len(request.shards)
}
