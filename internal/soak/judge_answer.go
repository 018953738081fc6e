package soak

import (
	"net/http"
	"time"
)

const (
	// lostAfter is from when on, beyond the deadline, an answer counts as lost and no longer as late.
	lostAfter = 500 * time.Millisecond

	// acceptedAfterTerm is how long after SIGTERM a request must still get its answer; what comes later may go without.
	acceptedAfterTerm = 700 * time.Millisecond

	// shareSlack is for the rounding of shares.
	shareSlack = 0.0001
)

// mayGoUnanswered tells whether a request's process was killed, or the request came too late after SIGTERM.
func (r *request) mayGoUnanswered() bool {
	if r.process.killed > 0 {
		return true
	}
	terminated := r.process.terminated
	return terminated > 0 && r.sent > terminated+acceptedAfterTerm
}

// judgeAnswer judges that a client that stays gets one final answer in time, and nothing behind it.
func (j *judgement) judgeAnswer(request *request) {
	if request.left > 0 || request.mayGoUnanswered() {
		return
	}
	end := request.sent + request.deadline
	name := request.coordinator.name
	j.judged(RuleAnswer, name, request.sent, end)
	slack := socketSlack + j.stoppedTime(name, request.sent, end+lostAfter) + measurementSlack
	switch {
	case request.closed > 0:
		j.violated(RuleAnswer, request.id,
			"closed without an answer %v after it was sent to %s (reused %t, SIGTERM at %v, sent at %v)",
			request.closed-request.sent, name, request.reused, request.process.terminated, request.sent)
	case len(request.answers) != 1:
		j.violated(RuleAnswer, request.id, "%d answers of %s", len(request.answers), name)
	case request.answers[0].at > end+lostAfter+slack:
		j.violated(RuleAnswer, request.id, "answered %v after its deadline by %s", request.answers[0].at-end, name)
	case request.trailingBytes > 0:
		j.violated(RuleAnswer, request.id, "%d bytes behind the answer of %s", request.trailingBytes, name)
	case request.answers[0].at > end+slack:
		j.result.Counts[countAnsweredLate]++
	}
	for _, answer := range request.answers {
		j.result.Counts[answer.outcome()]++
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

// judgeHonesty judges that an answer's parts are as replicas gave them, and as many as it says.
func (j *judgement) judgeHonesty(request *request) {
	for _, answer := range request.answers {
		if answer.status != http.StatusOK {
			continue
		}
		j.judged(RuleAnswerContent, request.coordinator.name, request.sent, answer.at)
		if !answer.holdsWhatItSays(request) {
			j.violated(RuleAnswerContent, request.id, "whole %t with %d of %d parts",
				answer.complete, len(answer.matches), len(request.shards))
		}
		for shard, value := range answer.matches {
			if !j.ledger.values[subqueryID(request.id, shard)][value] {
				j.violated(RuleAnswerContent, request.id, "shard %d has %q, which no replica gave", shard, value)
			}
		}
	}
}

// holdsWhatItSays tells whether an answer holds its class's least share, and all shards if it says that it is complete.
func (a answer) holdsWhatItSays(request *request) bool {
	share := float64(len(a.matches)) / float64(len(request.shards))
	if share < request.class.leastShare-shareSlack {
		return false
	}
	return !a.complete || len(a.matches) >= len(request.shards)
}
