package emulator

import (
	"fmt"
	"slices"
	"time"

	"terntray/scheduler"
)

// Coordinator simulates one co-ordinator: the real Scheduler, and an event loop whose iterations take up the time of a
// core. Events that occur during an iteration wait for the next, as they do on sockets. What an iteration sends leaves
// at its end.
type Coordinator struct {
	Scheduler *scheduler.Scheduler
	Ledger    *Ledger
	Logs      []string // the latest lines

	simulation *Simulation
	fleet      *Fleet

	// IterationCost and EventCost are the core time that an iteration takes, and the additional time for each event.
	// NetworkDelay is the one-way delay to a replica.
	IterationCost, EventCost, NetworkDelay time.Duration

	events             []func() // received for the next iteration
	ownEvents          []func() // caused by the co-ordinator itself; handled first in the next iteration
	coreFreeAt         time.Duration
	iterationScheduled bool
	outputs            []func() // attempts that leave at the end of the iteration
	lastRequestID      scheduler.RequestID
	lastQueryNumber    scheduler.QueryNumber
	openQueries        map[scheduler.RequestID]*Query
	subqueries         map[scheduler.RequestID]*subquery
}

// Query is a client's query and its result.
type Query struct {
	ID                  scheduler.RequestID
	Class               int
	ArrivedAt, Deadline time.Duration
	EndedAt             time.Duration // when it was answered; 0: not yet
	Outcome             QueryOutcome
	FleetWasIdle        bool // no replica had an attempt waiting or running when it arrived
	subqueries          []*subquery
	objective           time.Duration
	answered            int // subqueries
}

// QueryOutcome is the kind of answer that a client received.
type QueryOutcome int

// The outcomes of a query.
const (
	Unanswered QueryOutcome = iota
	Complete
	Partial
	Rejected
	Failed
)

// WithinObjective reports whether the query was answered completely within its latency objective.
func (query *Query) WithinObjective() bool {
	return query.Outcome == Complete && query.EndedAt <= query.ArrivedAt+query.objective
}

type subquery struct {
	id       scheduler.RequestID
	query    *Query
	shard    int
	answered bool
	attempts []*attempt
}

type attempt struct {
	coordinator *Coordinator
	subquery    *subquery
	number      int
	replica     *Replica
	sentAt      time.Duration
	work        time.Duration
	endsAt      time.Duration // when its replica will have finished it, at its present speed
	mayHaveRun  bool          // the replica has started it, or whether it did is unknown
	ended       bool
	outcome     scheduler.Outcome
}

func newCoordinator(fleet *Fleet, seed uint64, settings map[string]string) (*Coordinator, error) {
	coordinator := &Coordinator{simulation: fleet.Simulation, fleet: fleet, NetworkDelay: networkDelay,
		openQueries: map[scheduler.RequestID]*Query{}, subqueries: map[scheduler.RequestID]*subquery{}}
	coordinator.Ledger = newLedger(fleet)
	config, err := scheduler.ParseConfig(settings)
	if err != nil {
		return nil, err
	}
	scheduler, err := scheduler.New(coordinator, seed, config)
	if err != nil {
		return nil, err
	}
	coordinator.Scheduler = scheduler
	return coordinator, nil
}

// enqueue queues an event for the next iteration.
func (coordinator *Coordinator) enqueue(event func()) {
	coordinator.events = append(coordinator.events, event)
	coordinator.scheduleIteration()
}

// scheduleIteration schedules an iteration for when the core is free, unless one is scheduled already.
func (coordinator *Coordinator) scheduleIteration() {
	if !coordinator.iterationScheduled {
		coordinator.iterationScheduled = true
		coordinator.simulation.Schedule(coordinator.coreFreeAt, coordinator.runIteration)
	}
}

func (coordinator *Coordinator) runIteration() {
	coordinator.iterationScheduled = false
	events := append(coordinator.ownEvents, coordinator.events...)
	coordinator.ownEvents, coordinator.events, coordinator.outputs = nil, nil, nil
	for _, handle := range events {
		handle()
	}
	coordinator.Scheduler.Decide(coordinator.simulation.Now)
	coordinator.coreFreeAt = coordinator.simulation.Now + coordinator.IterationCost +
		time.Duration(len(events))*coordinator.EventCost
	outputs := coordinator.outputs
	coordinator.simulation.Schedule(coordinator.coreFreeAt, func() {
		for _, send := range outputs {
			send()
		}
	})
	if len(coordinator.ownEvents) > 0 {
		coordinator.scheduleIteration()
	}
}

// SendEndpointList gives the Scheduler the full endpoint list. A restored list counts as one that was kept from before
// the Scheduler was created.
func (coordinator *Coordinator) SendEndpointList(restored bool) {
	coordinator.enqueue(func() {
		coordinator.Scheduler.EndpointListBegins(coordinator.simulation.Now, true, restored)
		for _, replica := range coordinator.fleet.Replicas {
			coordinator.Scheduler.EndpointListed(coordinator.simulation.Now, scheduler.Endpoint{ID: replica.ID,
				State: scheduler.Ready, Started: replica.StartedAt, Cell: replica.Cell})
		}
	})
}

// ReceiveQuery simulates the arrival of a client's query with one subquery for each shard. The work of a subquery has
// the index of its shard.
func (coordinator *Coordinator) ReceiveQuery(classIndex int, shards []int, work []time.Duration) *Query {
	class := coordinator.fleet.Classes[classIndex]
	coordinator.lastRequestID++
	query := &Query{ID: coordinator.lastRequestID, Class: classIndex, ArrivedAt: coordinator.simulation.Now,
		Deadline: coordinator.simulation.Now + class.Deadline, objective: class.Objective,
		FleetWasIdle: coordinator.fleet.idle()}
	for i, shard := range shards {
		coordinator.lastRequestID++
		query.subqueries = append(query.subqueries, &subquery{id: coordinator.lastRequestID, query: query,
			shard: shard})
		coordinator.fleet.workBySubquery[coordinator.lastRequestID] = work[i]
	}
	coordinator.Ledger.addQuery(query)
	coordinator.enqueue(func() {
		coordinator.lastQueryNumber++
		coordinator.openQueries[query.ID] = query
		timeLeft := max(0, query.Deadline-coordinator.simulation.Now)
		coordinator.Scheduler.QueryArrives(coordinator.simulation.Now, scheduler.QueryArrival{ID: query.ID,
			Number: coordinator.lastQueryNumber, Class: scheduler.ClassIndex(classIndex), TimeLeft: timeLeft,
			Subqueries: len(query.subqueries)})
		for _, subquery := range query.subqueries {
			coordinator.subqueries[subquery.id] = subquery
			coordinator.Scheduler.SubqueryArrives(coordinator.simulation.Now, scheduler.SubqueryArrival{ID: subquery.id,
				Query: coordinator.lastQueryNumber, Shard: scheduler.ShardNumber(subquery.shard),
				Weight: 1 / float64(len(query.subqueries))})
		}
	})
	return query
}

// StartAttempt implements scheduler.Host. The attempt leaves at the end of the iteration.
func (coordinator *Coordinator) StartAttempt(subqueryID scheduler.RequestID, replicaID scheduler.ReplicaID,
	timeout time.Duration) {
	subquery := coordinator.subqueries[subqueryID]
	replica := coordinator.fleet.replicaByID[replicaID]
	if subquery == nil || replica == nil {
		coordinator.Ledger.addViolation(1, "attempt at subquery %d on replica %d: one of them is unknown", subqueryID,
			replicaID)
		return
	}
	attempt := &attempt{coordinator: coordinator, subquery: subquery, number: len(subquery.attempts), replica: replica,
		sentAt: coordinator.simulation.Now, work: coordinator.fleet.workBySubquery[subqueryID]}
	coordinator.Ledger.checkAttempt(attempt)
	subquery.attempts = append(subquery.attempts, attempt)
	until := subquery.query.Deadline
	if timeout > 0 {
		until = min(until, coordinator.simulation.Now+timeout)
	}
	coordinator.outputs = append(coordinator.outputs, func() {
		coordinator.simulation.Schedule(coordinator.simulation.Now+coordinator.NetworkDelay, func() {
			if !attempt.ended || !attempt.replica.SupportsCancel {
				replica.receive(attempt)
			}
		})
		coordinator.simulation.Schedule(until, func() { attempt.end(scheduler.TimedOut) })
	})
}

// endAfterDelay ends the attempt once its outcome has crossed the network to the co-ordinator.
func (attempt *attempt) endAfterDelay(outcome scheduler.Outcome) {
	attempt.coordinator.simulation.Schedule(attempt.coordinator.simulation.Now+attempt.coordinator.NetworkDelay,
		func() { attempt.end(outcome) })
}

// end records the outcome and reports it to the Scheduler, unless the attempt has already ended.
func (attempt *attempt) end(outcome scheduler.Outcome) {
	if attempt.ended {
		return
	}
	coordinator, took := attempt.coordinator, attempt.coordinator.simulation.Now-attempt.sentAt
	attempt.ended, attempt.outcome = true, outcome
	coordinator.enqueue(func() { coordinator.reportEnd(attempt, took) })
}

// reportEnd notifies the Scheduler that an attempt has ended.
func (coordinator *Coordinator) reportEnd(attempt *attempt, took time.Duration) {
	if attempt.outcome == scheduler.Succeeded && !attempt.subquery.answered &&
		attempt.subquery.query.Outcome == Unanswered {
		attempt.subquery.answered = true
		attempt.subquery.query.answered++
	}
	coordinator.Scheduler.AttemptEnds(coordinator.simulation.Now, scheduler.AttemptResult{Subquery: attempt.subquery.id,
		Attempt: scheduler.AttemptNumber(attempt.number), Outcome: attempt.outcome, Took: took})
	coordinator.forgetEnded(attempt.subquery)
}

// forgetEnded forgets a subquery whose query is answered and whose attempts have all ended.
func (coordinator *Coordinator) forgetEnded(subquery *subquery) {
	if subquery.query.Outcome != Unanswered &&
		!slices.ContainsFunc(subquery.attempts, func(attempt *attempt) bool { return !attempt.ended }) {
		delete(coordinator.subqueries, subquery.id)
		delete(coordinator.fleet.workBySubquery, subquery.id)
	}
}

// CancelAttempt implements scheduler.Host. The Scheduler is notified of the attempt's end at the start of the next
// iteration.
func (coordinator *Coordinator) CancelAttempt(subqueryID scheduler.RequestID, number scheduler.AttemptNumber) {
	subquery := coordinator.subqueries[subqueryID]
	if subquery == nil || int(number) >= len(subquery.attempts) || subquery.attempts[number].ended {
		return
	}
	attempt := subquery.attempts[number]
	attempt.ended, attempt.outcome = true, scheduler.Cancelled
	attempt.replica.cancel(attempt)
	took := coordinator.simulation.Now - attempt.sentAt
	coordinator.ownEvents = append(coordinator.ownEvents, func() { coordinator.reportEnd(attempt, took) })
	coordinator.scheduleIteration()
}

func (coordinator *Coordinator) answer(id scheduler.RequestID, outcome QueryOutcome) {
	query := coordinator.openQueries[id]
	if query == nil {
		coordinator.Ledger.addViolation(1, "query %d answered, but it is unknown or already answered", id)
		return
	}
	delete(coordinator.openQueries, id)
	query.Outcome, query.EndedAt = outcome, coordinator.simulation.Now
	coordinator.Ledger.checkAnswer(query)
	for _, subquery := range query.subqueries {
		coordinator.forgetEnded(subquery)
	}
}

// Complete implements scheduler.Host.
func (coordinator *Coordinator) Complete(id scheduler.RequestID, complete bool) {
	outcome := Partial
	if complete {
		outcome = Complete
	}
	coordinator.answer(id, outcome)
}

// Reject implements scheduler.Host.
func (coordinator *Coordinator) Reject(id scheduler.RequestID, _ time.Duration) {
	coordinator.answer(id, Rejected)
}

// Fail implements scheduler.Host.
func (coordinator *Coordinator) Fail(id scheduler.RequestID) { coordinator.answer(id, Failed) }

// ScheduleWakeup implements scheduler.Host.
func (coordinator *Coordinator) ScheduleWakeup(name string, after time.Duration) {
	coordinator.simulation.Schedule(coordinator.simulation.Now+after, func() {
		coordinator.enqueue(func() { coordinator.Scheduler.Wakeup(coordinator.simulation.Now, name) })
	})
}

// PollEndpoints implements scheduler.Host. The full list follows.
func (coordinator *Coordinator) PollEndpoints() { coordinator.SendEndpointList(false) }

// Broadcast implements scheduler.Host. The message is discarded, as no other co-ordinator is simulated.
func (coordinator *Coordinator) Broadcast([]byte) {}

// Log implements scheduler.Host. Only the latest lines are kept.
func (coordinator *Coordinator) Log(text string) {
	const maxLines = 200
	if len(coordinator.Logs) == maxLines {
		coordinator.Logs = coordinator.Logs[1:]
	}
	coordinator.Logs = append(coordinator.Logs, fmt.Sprintf("%v %s", coordinator.simulation.Now, text))
}
