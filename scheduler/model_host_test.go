package scheduler

// The model as the scheduler's host: checks on each call.

import (
	"maps"
	"slices"
	"time"
)

func (m *model) fail(format string, args ...any) {
	m.t.Helper()
	m.t.Fatalf("at %v: "+format, append([]any{m.now}, args...)...)
}

func (m *model) StartAttempt(id RequestID, to ReplicaID, timeout time.Duration) {
	subquery, replica := m.subqueries[id], m.replicas[to]
	if subquery == nil || replica == nil {
		m.fail("rule 1: attempt of subquery %d at replica %d, one of them unknown", id, to)
	}
	m.checkWanted(subquery)
	m.checkReplica(subquery, to, replica)
	if len(subquery.attempts) == 0 {
		m.checkFirstAttempt(subquery)
	} else {
		m.checkRetryBudget()
	}
	m.checkEffect(subquery)
	m.checkSlowStart(to, replica)
	subquery.attempts = append(subquery.attempts, &modelAttempt{to: to, timeout: timeout, sentAt: m.now})
	m.sent = append(m.sent, id)
}

// checkWanted checks that the subquery's answer is still needed and that it has an attempt left.
func (m *model) checkWanted(subquery *modelSubquery) {
	if subquery.query.ended || subquery.answered || m.now >= subquery.query.deadlineAt {
		m.fail("rule 1: attempt of subquery %d after its end", subquery.id)
	}
	for number, attempt := range subquery.attempts {
		if attempt.unconfirmed && !attempt.ended {
			m.fail("attempt of subquery %d, though the reply to attempt %d is unconfirmed", subquery.id, number)
		}
	}
	if len(subquery.attempts) >= m.maxAttempts {
		m.fail("attempt %d of subquery %d exceeds the limit", len(subquery.attempts)+1, subquery.id)
	}
}

// checkReplica checks that the replica holds the subquery's shard and is not draining or removed.
func (m *model) checkReplica(subquery *modelSubquery, to ReplicaID, replica *modelReplica) {
	distance := (replica.cell - subquery.shard%m.cells + m.cells) % m.cells
	if distance >= m.cellsPerShard {
		m.fail("replica %d does not hold shard %d", to, subquery.shard)
	}
	if replica.state != Ready && m.now > replica.listedAt+modelGrace {
		m.fail("rule 3: attempt at replica %d, listed as draining or removed at %v", to, replica.listedAt)
	}
}

// checkFirstAttempt checks that queries are served in order of arrival within an iteration, and that the query has time
// left for an answer.
func (m *model) checkFirstAttempt(subquery *modelSubquery) {
	query := subquery.query
	if query.id < m.lastFirstAttempt {
		m.fail("order: first attempt of query %d after one of %d in the same iteration", query.id, m.lastFirstAttempt)
	}
	m.lastFirstAttempt = query.id
	if query.deadlineAt-m.now < modelWork/4 {
		m.fail("late: first attempt of subquery %d with %v left", subquery.id, query.deadlineAt-m.now)
	}
}

// checkEffect checks that a further attempt cannot repeat an effect.
func (m *model) checkEffect(subquery *modelSubquery) {
	running, mayHaveRun := 0, time.Duration(-1)
	for _, attempt := range subquery.attempts {
		if !attempt.ended {
			running++
		}
		if !attempt.provablyNeverRan() && mayHaveRun < 0 {
			mayHaveRun = attempt.sentAt
		}
	}
	if running > 0 && !m.hedgeAllowed {
		m.fail("rule 2: two concurrent attempts of subquery %d", subquery.id)
	}
	switch m.effects[subquery.query.class] {
	case "side_effect":
		if mayHaveRun >= 0 {
			m.fail("rule 2: further attempt of non-idempotent subquery %d", subquery.id)
		}
	case "token":
		if mayHaveRun >= 0 && m.now > mayHaveRun+modelKeyWindow {
			m.fail("rule 2: further attempt of keyed subquery %d after its window", subquery.id)
		}
	}
}

// checkRetryBudget counts a further attempt and checks that it is within the retry budget.
func (m *model) checkRetryBudget() {
	if m.retryShare == 0 {
		return
	}
	m.retries = append(m.retries, m.now)
	retries, arrivals := m.within(m.retries, modelBudgetSpan), m.within(m.arrivals, modelBudgetSpan)
	if float64(retries) > modelFreeRetries+m.retryShare*float64(arrivals) {
		m.fail("rule 6: %d further attempts for %d arrivals", retries, arrivals)
	}
}

// within counts the times that are more recent than a span.
func (m *model) within(times []time.Duration, span time.Duration) (count int) {
	for _, at := range times {
		if at > m.now-span {
			count++
		}
	}
	return count
}

// checkSlowStart checks this co-ordinator's share of the budget of a replica that started recently. Warm replicas of
// the model process two subqueries concurrently, each of modelWork.
func (m *model) checkSlowStart(to ReplicaID, replica *modelReplica) {
	age := m.now - replica.startedAt
	if replica.startedAt == StartUnknown || age >= modelWarmUpTime {
		return
	}
	replica.sentWhileWarmingUp = append(replica.sentWhileWarmingUp, m.now)
	recent := m.within(replica.sentWhileWarmingUp, modelOverloadTime)
	capacity := 0.2 + 0.8*max(0, age.Seconds())/modelWarmUpTime.Seconds()
	budget := 3 * 2 * capacity * modelOverloadTime.Seconds() / modelCoordinators
	if float64(recent)*modelWork.Seconds() > budget {
		m.fail("rule 4: %d subqueries sent to starting replica %d of age %v", recent, to, age)
	}
}

func (m *model) CancelAttempt(id RequestID, number AttemptNumber) {
	subquery := m.subqueries[id]
	if subquery == nil || int(number) >= len(subquery.attempts) || !m.cancelAllowed {
		m.fail("invalid cancellation of attempt %d of subquery %d", number, id)
	}
}

// endQuery records a query's only final outcome.
func (m *model) endQuery(id RequestID) *modelQuery {
	query := m.queries[id]
	if query == nil || query.ended {
		m.fail("rule 1: final outcome for query %d, which has ended or is unknown", id)
	}
	if m.now > query.deadlineAt+modelSlack {
		m.fail("rule 1: query %d ended %v after its deadline", id, m.now-query.deadlineAt)
	}
	query.ended = true
	return query
}

// checkAllEndInTime checks that each query whose deadline has passed has a final outcome.
func (m *model) checkAllEndInTime() {
	for _, id := range slices.Sorted(maps.Keys(m.queries)) {
		query := m.queries[id]
		if !query.ended && m.now > query.deadlineAt+modelSlack {
			m.fail("rule 1: query %d has no final outcome", id)
		}
	}
}

func (m *model) Complete(id RequestID, complete bool) {
	query := m.endQuery(id)
	weight, answered := 0.0, 0
	for _, subquery := range query.subqueries {
		if subquery.answered {
			weight += subquery.weight
			answered++
		}
	}
	completeWeight, minimum := m.requiredWeights(query)
	falselyComplete := complete && (weight < completeWeight-0.0001 || query.phase == 1 && !query.firstPhaseComplete)
	if weight < minimum-0.0001 || falselyComplete {
		m.fail("rule 5: query %d answered with weight %.3f, complete %v, phase %d", id, weight, complete, query.phase)
	}
	if fetch := min(m.fetch[query.class], answered-m.fewerFetched); fetch > 0 && query.phase == 0 {
		m.startSecondPhase(query, complete, fetch)
	}
}

// requiredWeights returns the weights that a complete answer and any answer need in the current phase.
func (m *model) requiredWeights(query *modelQuery) (complete, minimum float64) {
	complete, minimum = m.completeWeight[query.class], m.minimumWeight[query.class]
	if query.phase == 1 {
		if minimum >= complete {
			minimum = 1
		}
		complete = 1
	}
	return complete, minimum
}

// startSecondPhase reopens a query; the subqueries of its second phase arrive before the next iteration.
func (m *model) startSecondPhase(query *modelQuery, complete bool, subqueries int) {
	query.ended = false
	query.phase = 1
	query.firstPhaseComplete = complete
	query.subqueries = nil
	m.nextIteration = append(m.nextIteration, func() {
		for shard := range subqueries {
			m.newSubquery(query, shard, 1/float64(subqueries))
		}
	})
}

func (m *model) Reject(id RequestID, retryAfter time.Duration) {
	query := m.endQuery(id)
	m.rejected++
	for _, subquery := range query.subqueries {
		for _, attempt := range subquery.attempts {
			if m.effects[query.class] == "side_effect" && !attempt.provablyNeverRan() {
				m.fail("rule 2: non-idempotent query %d rejected after an attempt that may have run", id)
			}
		}
	}
}

func (m *model) Fail(id RequestID) { m.endQuery(id) }

func (m *model) ScheduleWakeup(name string, after time.Duration) {
	m.wakeups = append(m.wakeups, m.now+after)
}

func (m *model) PollEndpoints() { m.polls = append(m.polls, m.now) }

func (m *model) Broadcast(message []byte) { m.broadcasts = append(m.broadcasts, message) }

func (m *model) Log(text string) { m.logs = append(m.logs, text) }
