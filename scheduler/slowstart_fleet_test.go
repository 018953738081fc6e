package scheduler

import (
	"testing"
	"time"
)

// Each of many co-ordinators has too small a share of a starting replica's budget for one subquery. In each window some
// of them still send one, and all together stay within the budget.
func TestManyCoordinatorsShareAStartingReplica(t *testing.T) {
	const coordinators = 40
	var sent []time.Duration
	from, until := 2*time.Second, 8*time.Second
	for self := range coordinators {
		m := newModel(t, 0)
		m.restartAsOneOf(coordinators, self)
		m.keepOnly(102)
		m.replicas[102].startedAt = m.now
		m.list(false, false, 102)
		for m.now < until {
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.advance(100 * ms)
			for _, flight := range m.inFlight() {
				if m.now-flight.attempt().sentAt >= 100*ms {
					m.answer(flight)
				}
			}
		}
		for _, subquery := range m.subqueries {
			for _, attempt := range subquery.attempts {
				sent = append(sent, attempt.sentAt)
			}
		}
	}
	for windowEnd := from; windowEnd < until; windowEnd += 100 * ms {
		inWindow := 0
		for _, s := range sent {
			if s >= windowEnd-modelOverloadTime && s < windowEnd {
				inWindow++
			}
		}
		share := 0.2 + 0.8*(windowEnd-modelOverloadTime-time.Second).Seconds()/modelWarmUpTime.Seconds()
		if budget := 3 * 2 * share * modelOverloadTime.Seconds(); float64(inWindow)*modelWork.Seconds() > budget ||
			inWindow == 0 {
			t.Fatalf("%d subqueries in the window before %v, with a budget of %.2f s of work",
				inWindow, windowEnd, budget)
		}
	}
}

// A starting replica must not be idle while the warm ones work, or they would carry its load until it is warm. It is
// sent work in proportion to what the warm replicas do.
func TestStartingReplicaGetsItsShareFromManyCoordinators(t *testing.T) {
	const coordinators = 40
	starting, warm, queries := 0, 0, 0
	for self := range coordinators {
		m := newModel(t, 0)
		m.restartAsOneOf(coordinators, self)
		m.keepOnly(102, 104, 105) // 104 is the only holder of shard 0
		for m.now < 7*time.Second {
			if m.now >= 3*time.Second && m.replicas[104].startedAt == StartUnknown {
				m.replicas[104].startedAt = m.now
				m.list(false, false, 104)
			}
			m.nextShard = queries % 3
			queries++
			m.newQuery(0, 1, 3*time.Second)
			m.iterate()
			m.advance(400 * ms)
			for _, flight := range m.inFlight() {
				m.answer(flight)
			}
		}
		for _, subquery := range m.subqueries {
			for _, attempt := range subquery.attempts {
				switch {
				case attempt.sentAt < 3*time.Second:
				case attempt.to == 104:
					starting++
				default:
					warm++
				}
			}
		}
	}
	t.Logf("subqueries: starting replica %d, each warm one %d", starting, warm/2)
	if share := float64(2*starting) / float64(warm); share < 0.4 || share > 1 {
		t.Errorf("subqueries: starting replica %d, each warm one %d", starting, warm/2)
	}
}
