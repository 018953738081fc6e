package soak

import "time"

const (
	// timeoutSlack is how much more time than is left a replica may be given: the frame's way there, and rounding.
	timeoutSlack = 150 * time.Millisecond

	// leftSlack is how long after its client has left an attempt may begin: the close's way, and the frame's.
	leftSlack = 100 * time.Millisecond
)

// judgeTimeout judges that a replica is given no more time than the query has left.
func (j *judgement) judgeTimeout(request *request, arrival *arrival) {
	if arrival.late {
		return
	}
	name := request.coordinator.name
	j.judged(RuleTimeout, name, arrival.begun, arrival.complete)
	remaining := request.sent + request.deadline - arrival.begun
	slack := timeoutSlack + j.stoppedTime(name, request.sent, arrival.complete) + measurementSlack
	if arrival.timeout > max(0, remaining)+slack {
		j.violated(RuleTimeout, request.id, "%s was told %v with %v left (%s)",
			arrival.subquery, arrival.timeout, remaining, arrival.replica.uid)
	}
}

// judgeClientThere judges that nothing begins for a client that has left.
func (j *judgement) judgeClientThere(request *request, arrival *arrival) {
	countsAsNotSent := request.left == request.sent
	if request.left == 0 || countsAsNotSent || arrival.late {
		return
	}
	name := request.coordinator.name
	j.judged(RuleClientConnected, name, request.left, arrival.begun)
	after := arrival.begun - request.left
	if after > leftSlack+j.stoppedTime(name, request.left, arrival.begun)+measurementSlack {
		j.violated(RuleClientConnected, request.id, "%s begins at %s %v after its client has gone",
			arrival.subquery, arrival.replica.uid, after)
	}
}

// judgeDrain judges that a replica gets nothing new once the grace has passed since the coordinator was notified that
// it drains or was removed. A process knows nothing from before its own start.
func (j *judgement) judgeDrain(request *request, arrival *arrival) {
	if arrival.late {
		return
	}
	notified, draining := drainingSince(j.notifications[request.coordinator], arrival.replica.uid, arrival.begun)
	if !draining {
		return
	}
	name := request.coordinator.name
	since := max(notified, request.process.started)
	j.judged(RuleDrain, name, since, arrival.begun)
	slack := socketSlack + j.stoppedTime(name, since, arrival.begun) + measurementSlack
	if arrival.begun > since+drainGrace+slack {
		j.violated(RuleDrain, request.id, "%s sends %s to %s %v after it was told to stop",
			name, arrival.subquery, arrival.replica.uid, arrival.begun-since)
	}
}

// judgeAttempts judges all attempts of a subquery: their number, and that what is not idempotent runs once at most, and
// never when its query was rejected.
func (j *judgement) judgeAttempts(subquery string, attempts []*arrival) {
	request := j.requests[attempts[0].query]
	name := request.coordinator.name
	from := attempts[0].begun
	to := attempts[len(attempts)-1].complete
	j.judged(RuleNonIdempotent, name, from, to)
	if len(attempts) > 1 {
		j.judged(RuleMultipleAttempts, name, from, to)
	}
	if len(attempts) > maxAttempts {
		j.violated(RuleAttempts, request.id, "%s has %d attempts", subquery, len(attempts))
	}
	if request.class.idempotent {
		return
	}
	ran := countRan(attempts)
	if ran > 1 {
		j.violated(RuleNonIdempotent, request.id, "%s ran %d times", subquery, ran)
	}
	for _, answer := range request.answers {
		if ran > 0 && answer.outcome() == countRefused {
			j.violated(RuleNonIdempotent, request.id, "refused, and %s ran", subquery)
		}
	}
}

func countRan(attempts []*arrival) (ran int) {
	for _, attempt := range attempts {
		if attempt.ran {
			ran++
		}
	}
	return ran
}
