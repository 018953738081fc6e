package soak

import (
	"net/http"
	"time"
)

const (
	// lostAnswerDelay is from when on, beyond the deadline, an answer counts as lost and no longer as late.
	lostAnswerDelay = 500 * time.Millisecond

	// acceptsAfterSIGTERM is how long after SIGTERM a request must still get its answer; what comes later may go without.
	acceptsAfterSIGTERM = 700 * time.Millisecond

	// shareSlack is for the rounding of shares.
	shareSlack = 0.0001
)

// mayGoUnanswered tells whether a request's process was killed, or the request came too late after SIGTERM.
func (r *request) mayGoUnanswered() bool {
	if r.process.killedAt > 0 {
		return true
	}
	terminated := r.process.terminatedAt
	return terminated > 0 && r.sentAt > terminated+acceptsAfterSIGTERM
}

// checkAnswer judges that a client that stays gets one final answer in time, and nothing behind it.
func (c *checker) checkAnswer(request *request) {
	if request.disconnectedAt > 0 || request.mayGoUnanswered() {
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
		c.violated(RuleAnswer, request.id, "%d answers of %s", len(request.answers), name)
	case request.answers[0].receivedAt > end+lostAnswerDelay+slack:
		c.violated(RuleAnswer, request.id, "answered %v after its deadline by %s", request.answers[0].receivedAt-end, name)
	case request.trailingBytes > 0:
		c.violated(RuleAnswer, request.id, "%d bytes behind the answer of %s", request.trailingBytes, name)
	case request.answers[0].receivedAt > end+slack:
		c.result.Counts[countAnsweredLate]++
	}
	for _, answer := range request.answers {
		c.result.Counts[answer.outcome()]++
	}
}

// outcome is the key under which an answer is counted.
func (a answer) outcome() string {
	switch a.status {
	case http.StatusOK:
		return countServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return countRefused
	}
	return countFailed
}

// checkAnswerContent judges that an answer's parts are as replicas gave them, and as many as it says.
func (c *checker) checkAnswerContent(request *request) {
	for _, answer := range request.answers {
		if answer.status != http.StatusOK {
			continue
		}
		c.countCheck(RuleAnswerContent, request.coordinator.name, request.sentAt, answer.receivedAt)
		if !answer.hasRequiredShards(request) {
			c.violated(RuleAnswerContent, request.id, "whole %t with %d of %d parts",
				answer.complete, len(answer.matches), len(request.shards))
		}
		for shard, value := range answer.matches {
			if !c.ledger.replyValues[subqueryID(request.id, shard)][value] {
				c.violated(RuleAnswerContent, request.id, "shard %d has %q, which no replica gave", shard, value)
			}
		}
	}
}

// hasRequiredShards tells whether an answer holds its class's least share, and all shards if it says that it is complete.
func (a answer) hasRequiredShards(request *request) bool {
	share := float64(len(a.matches)) / float64(len(request.shards))
	if share < request.class.minShare-shareSlack {
		return false
	}
	return !a.complete || len(a.matches) >= len(request.shards)
}
