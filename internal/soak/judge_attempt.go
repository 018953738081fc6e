package soak

import "time"

const (
	// timeoutSlack is how much more time than is left a replica may be given: the frame's way there, and rounding.
	timeoutSlack = 150 * time.Millisecond

	// disconnectSlack is how long after its client has left an attempt may begin: the close's way, and the frame's.
	disconnectSlack = 100 * time.Millisecond
)

// checkTimeout judges that a replica is given no more time than the query has left.
func (c *checker) checkTimeout(request *request, arrival *arrival) {
	if arrival.delayed {
		return
	}
	name := request.coordinator.name
	c.countCheck(RuleTimeout, name, arrival.firstByteAt, arrival.lastByteAt)
	remaining := request.sentAt + request.deadline - arrival.firstByteAt
	slack := timeoutSlack + c.stoppedTime(name, request.sentAt, arrival.lastByteAt) + measurementSlack
	if arrival.timeout > max(0, remaining)+slack {
		c.violated(RuleTimeout, request.id, "%s was told %v with %v left (%s)",
			arrival.subquery, arrival.timeout, remaining, arrival.replica.uid)
	}
}

// checkClientConnected judges that nothing begins for a client that has left.
func (c *checker) checkClientConnected(request *request, arrival *arrival) {
	countsAsNotSent := request.disconnectedAt == request.sentAt
	if request.disconnectedAt == 0 || countsAsNotSent || arrival.delayed {
		return
	}
	name := request.coordinator.name
	c.countCheck(RuleClientConnected, name, request.disconnectedAt, arrival.firstByteAt)
	after := arrival.firstByteAt - request.disconnectedAt
	if after > disconnectSlack+c.stoppedTime(name, request.disconnectedAt, arrival.firstByteAt)+measurementSlack {
		c.violated(RuleClientConnected, request.id, "%s begins at %s %v after its client has gone",
			arrival.subquery, arrival.replica.uid, after)
	}
}

// checkDrain judges that a replica gets nothing new once the grace has passed since the coordinator was notified that
// it drains or was removed. A process knows nothing from before its own start.
func (c *checker) checkDrain(request *request, arrival *arrival) {
	if arrival.delayed {
		return
	}
	notified, draining := drainingSince(c.notifications[request.coordinator], arrival.replica.uid, arrival.firstByteAt)
	if !draining {
		return
	}
	name := request.coordinator.name
	since := max(notified, request.process.startedAt)
	c.countCheck(RuleDrain, name, since, arrival.firstByteAt)
	slack := socketSlack + c.stoppedTime(name, since, arrival.firstByteAt) + measurementSlack
	if arrival.firstByteAt > since+drainGrace+slack {
		c.violated(RuleDrain, request.id, "%s sends %s to %s %v after it was told to stop",
			name, arrival.subquery, arrival.replica.uid, arrival.firstByteAt-since)
	}
}

// checkAttempts judges all attempts of a subquery: their number, and that what is not idempotent runs once at most, and
// never when its query was rejected.
func (c *checker) checkAttempts(subquery string, attempts []*arrival) {
	request := c.requests[attempts[0].query]
	name := request.coordinator.name
	from := attempts[0].firstByteAt
	to := attempts[len(attempts)-1].lastByteAt
	c.countCheck(RuleNonIdempotent, name, from, to)
	if len(attempts) > 1 {
		c.countCheck(RuleMultipleAttempts, name, from, to)
	}
	if len(attempts) > maxAttempts {
		c.violated(RuleAttempts, request.id, "%s has %d attempts", subquery, len(attempts))
	}
	if request.class.idempotent {
		return
	}
	ran := countRan(attempts)
	if ran > 1 {
		c.violated(RuleNonIdempotent, request.id, "%s ran %d times", subquery, ran)
	}
	for _, answer := range request.answers {
		if ran > 0 && answer.outcome() == countRefused {
			c.violated(RuleNonIdempotent, request.id, "refused, and %s ran", subquery)
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
