package soak

import "time"

const (
	// timeoutSlack is how far the timeout that a replica is given may exceed the time left, for the frame's network
	// delay and for rounding.
	timeoutSlack = 150 * time.Millisecond

	// disconnectSlack is how long after its client's disconnect an attempt may begin, for the network delay of the
	// close and of the frame.
	disconnectSlack = 100 * time.Millisecond

	// sentAgainSlack is how long after a replica's answer another attempt may begin, for the network delay of both.
	sentAgainSlack = 100 * time.Millisecond
)

// checkTimeout checks that the timeout given to a replica is within the time that the query has left.
func (c *checker) checkTimeout(request *request, arrival *arrival) {
	if arrival.delayed {
		return
	}
	name := request.coordinator.name
	c.countCheck(RuleTimeout, name, arrival.firstByteAt, arrival.lastByteAt)
	remaining := request.sentAt + request.deadline - arrival.firstByteAt
	slack := timeoutSlack + c.stoppedTime(name, request.sentAt, arrival.lastByteAt) + measurementSlack
	if arrival.timeout > max(0, remaining)+slack {
		c.violated(RuleTimeout, request.id, "%s was given a timeout of %v with %v left (%s at %v, connection accepted at %v, "+
			"%v after the replica resumed accepting)", arrival.subquery, arrival.timeout, remaining, arrival.replica.uid,
			arrival.firstByteAt, arrival.conn.acceptedAt, arrival.conn.resumedFor)
	}
}

// checkClientConnected checks that no attempt begins after the client has disconnected.
func (c *checker) checkClientConnected(request *request, arrival *arrival) {
	countsAsNotSent := request.disconnectedAt == request.sentAt
	if request.disconnectedAt == 0 || countsAsNotSent || arrival.delayed {
		return
	}
	name := request.coordinator.name
	c.countCheck(RuleClientConnected, name, request.disconnectedAt, arrival.firstByteAt)
	after := arrival.firstByteAt - request.disconnectedAt
	if after > disconnectSlack+c.stoppedTime(name, request.disconnectedAt, arrival.firstByteAt)+measurementSlack {
		c.violated(RuleClientConnected, request.id, "%s began at %s %v after its client disconnected",
			arrival.subquery, arrival.replica.uid, after)
	}
}

// checkDrain checks that a replica gets no attempts once drainGrace has passed since the co-ordinator was notified that
// the replica is draining or was removed. If the process started after the notification, the grace period begins at its
// start.
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
		c.violated(RuleDrain, request.id, "%s sent %s to %s %v after the notification of its drain or removal",
			name, arrival.subquery, arrival.replica.uid, arrival.firstByteAt-since)
	}
}

// checkSentAgain checks that no attempt begins after a replica has answered: the subquery is over. What ends the
// connection afterwards makes no difference, as an answer that was written in full is read before any end of its
// connection.
func (c *checker) checkSentAgain(attempts []*arrival) {
	name := c.requests[attempts[0].query].coordinator.name
	for _, answered := range attempts {
		if !answered.couldBeRead() {
			continue
		}
		for _, later := range attempts {
			if later.delayed || later.firstByteAt <= answered.answeredAt {
				continue
			}
			c.countCheck(RuleSentAgain, name, answered.answeredAt, later.firstByteAt)
			after := later.firstByteAt - answered.answeredAt
			slack := c.stoppedTime(name, answered.answeredAt, later.firstByteAt) + measurementSlack
			if after > sentAgainSlack+slack {
				c.violated(RuleSentAgain, later.query, "%s reached %s %v after %s had answered it",
					later.subquery, later.replica.uid, after, answered.replica.uid)
			}
		}
	}
}

// couldBeRead reports whether the attempt was answered while the co-ordinator had not closed the connection. The replica
// sees a close up to measurementSlack late.
func (a *arrival) couldBeRead() bool {
	if a.answeredAt == 0 {
		return false
	}
	closedAt := a.conn.closedByPeerAt
	return closedAt == 0 || closedAt > a.answeredAt+measurementSlack
}

// checkAttempts checks the number of attempts of a subquery, and that a non-idempotent subquery runs at most once, and
// never if its query was rejected.
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
			c.violated(RuleNonIdempotent, request.id, "rejected, but %s ran", subquery)
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
