package scheduler

// The model checks six rules, implemented simply and independently of how the scheduler decides. It acts as the
// scheduler's host and checks each call (model_host_test.go). The rules:
//
//  1. A query gets exactly one final outcome, in time, and no attempt after it. Every id in a call is known.
//  2. A subquery gets a further attempt only if it may be repeated: an idempotent subquery, a keyed one within its
//     window, or a non-idempotent one of which no attempt can have run. A non-idempotent query is not rejected after
//     an attempt that may have run.
//  3. A replica that is listed as draining or removed gets no attempt.
//  4. A starting replica is sent no more than slow start allows.
//  5. An answer is given, or marked complete, only with the required weight.
//  6. Further attempts stay within the retry budget.

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

type modelAttempt struct {
	to      ReplicaID
	timeout time.Duration // 0: until the client's deadline
	sentAt  time.Duration
	ended   bool
	outcome Outcome

	unconfirmed bool // its reply was reported as unconfirmed
}

// provablyNeverRan reports whether the attempt's outcome proves that the replica did not run it.
func (a *modelAttempt) provablyNeverRan() bool {
	return a.ended && (a.outcome == Overloaded || a.outcome == Unreachable || a.outcome == NeverSent)
}

type modelSubquery struct {
	id       RequestID
	query    *modelQuery
	shard    int
	weight   float64
	attempts []*modelAttempt
	answered bool
}

type modelQuery struct {
	id                 RequestID
	number             QueryNumber
	class              int
	phase              int
	deadlineAt         time.Duration
	subqueries         []*modelSubquery
	ended              bool
	firstPhaseComplete bool
}

type modelReplica struct {
	state              EndpointState
	listedAt           time.Duration // when its state last changed in the list
	startedAt          time.Duration
	cell               int
	sentWhileWarmingUp []time.Duration // when subqueries were sent to it in slow start
}

type model struct {
	t         testing.TB
	scheduler *Scheduler
	now       time.Duration
	settings  map[string]string

	// Settings that the rules depend on.
	effects        []string  // by class
	completeWeight []float64 // by class
	minimumWeight  []float64 // by class
	fetch          []int     // by class: subqueries of the second phase
	hedgeAllowed   bool
	cancelAllowed  bool
	maxAttempts    int
	cells          int
	cellsPerShard  int
	retryShare     float64 // of the retry budget; 0: no budget

	// Replicas and queries.
	replicas     map[ReplicaID]*modelReplica
	order        []ReplicaID // the initial replicas, in order
	queries      map[RequestID]*modelQuery
	subqueries   map[RequestID]*modelSubquery
	lastID       RequestID
	nextShard    int // shard of the next query's first subquery
	fewerFetched int // subqueries of a second phase that do not arrive

	// Recorded events and calls.
	arrivals         []time.Duration
	retries          []time.Duration
	wakeups          []time.Duration
	polls            []time.Duration
	broadcasts       [][]byte
	logs             []string
	sent             []RequestID
	rejected         int
	lastFirstAttempt RequestID // query of the last first attempt in this iteration
	nextIteration    []func()  // events to deliver before the next iteration
}

const (
	modelWork         = 100 * ms        // of each subquery
	modelKeyWindow    = 900 * ms        // during which a keyed subquery may be repeated
	modelBudgetSpan   = 5 * time.Second // of the retry budget
	modelFreeRetries  = 3               // retries allowed in addition to the share
	modelGrace        = 500 * ms        // during which attempts may still be sent to a replica that is no longer ready
	modelWarmUpTime   = 8 * time.Second
	modelOverloadTime = 1500 * ms
	modelSlack        = 20 * ms // allowed delay of final outcomes after the deadline
	modelCoordinators = 2
)

// Bits for newModel that select settings.
const (
	modelNoHedges = 1 << iota
	modelNoCancels
	modelRetryBudget
	modelSecondPhases
	modelSubscribes
	modelQuota
	modelManyWithGossip
)

// newModel starts a scheduler with the settings that the bits select.
func newModel(t testing.TB, bits int) *model {
	m := &model{
		t:              t,
		now:            time.Second,
		effects:        []string{"pure", "token", "side_effect", "pure"},
		completeWeight: []float64{1, 1, 1, 0.8},
		minimumWeight:  []float64{1, 1, 1, 0.5},
		fetch:          []int{0, 0, 0, 0},
		hedgeAllowed:   bits&modelNoHedges == 0,
		cancelAllowed:  bits&modelNoCancels == 0,
		maxAttempts:    3,
		cells:          3,
		cellsPerShard:  2,
		replicas:       map[ReplicaID]*modelReplica{},
		queries:        map[RequestID]*modelQuery{},
		subqueries:     map[RequestID]*modelSubquery{},
	}
	if bits&modelRetryBudget != 0 {
		m.retryShare = 0.1
	}
	if bits&modelSecondPhases != 0 {
		m.fetch = []int{2, 0, 0, 1}
	}
	m.settings = m.newSettings(bits)
	for id := ReplicaID(100); id < 106; id++ {
		m.replicas[id] = &modelReplica{startedAt: StartUnknown, cell: int(id) % 3}
		m.order = append(m.order, id)
	}
	m.start(uint64(bits))
	return m
}

// newSettings returns scheduler settings that match the model's rules.
func (m *model) newSettings(bits int) map[string]string {
	settings := map[string]string{
		"balancers":                fmt.Sprint(modelCoordinators),
		"lanes.count":              "4",
		"familyInfo.cells":         "3",
		"familyInfo.span":          "2",
		"familyInfo.classNeed":     "1.0,1.0,1.0,0.8",
		"familyInfo.leastShare":    "1.0,1.0,1.0,0.5",
		"familyInfo.partialEarns":  "0,0,0,0.9",
		"familyInfo.classFetch":    fmt.Sprintf("%d,0,0,%d", m.fetch[0], m.fetch[3]),
		"bounds.maxAttempts":       "3",
		"bounds.mayCancel":         fmt.Sprint(m.cancelAllowed),
		"bounds.secondCopies":      fmt.Sprint(m.hedgeAllowed),
		"discovery":                "automatic",
		"guarantees.tipMultiple":   "3",
		"guarantees.startCapacity": "0.2",
		"guarantees.warmAfter":     "8000000",
		"guarantees.overloadFor":   "1500000",
		"goal.worstClass":          "0.2",
	}
	for class, effect := range m.effects {
		path := fmt.Sprintf("lanes.%d.", class)
		settings[path+"aim"] = "1000000"
		settings[path+"deadline"] = "3000000"
		settings[path+"effect"] = effect
		settings[path+"window"] = fmt.Sprint(modelKeyWindow.Microseconds())
		settings[path+"lateWorth"] = "0.2"
	}
	if m.retryShare > 0 {
		settings["guarantees.minExtra"] = fmt.Sprint(modelFreeRetries)
		settings["guarantees.extraRatio"] = "0.1"
		settings["guarantees.ratioSpan"] = fmt.Sprint(modelBudgetSpan.Microseconds())
	}
	if bits&modelSubscribes != 0 {
		settings["discovery"] = "subscribe"
	}
	if bits&modelQuota != 0 {
		settings["orgs.count"] = "1"
		settings["orgs.0.quotaPerS"] = "4"
	}
	if bits&modelManyWithGossip != 0 {
		settings["balancers"] = "40"
		settings["bounds.peers"] = "true"
		settings["weightKind"] = "nominal"
	}
	return settings
}

// start starts a new scheduler and discards the open queries of the previous one.
func (m *model) start(seed uint64) {
	m.queries = map[RequestID]*modelQuery{}
	m.subqueries = map[RequestID]*modelSubquery{}
	m.arrivals = nil
	m.retries = nil
	m.wakeups = nil
	m.polls = nil
	m.nextIteration = nil
	scheduler, err := New(m, seed, configOf(m.t, m.settings))
	if err != nil {
		m.t.Fatal(err)
	}
	m.scheduler = scheduler
	m.list(true, true, m.order...)
	m.iterate()
}

// restartAsOneOf starts a new scheduler as one of several co-ordinators.
func (m *model) restartAsOneOf(coordinators, self int) {
	m.settings["balancers"] = fmt.Sprint(coordinators)
	m.settings["selfIndex"] = fmt.Sprint(self)
	m.start(1)
}

// list sends the scheduler an endpoint list with the given replicas.
func (m *model) list(full, restored bool, ids ...ReplicaID) {
	m.scheduler.EndpointListBegins(m.now, full, restored)
	for _, id := range ids {
		replica := m.replicas[id]
		m.scheduler.EndpointListed(m.now, Endpoint{
			ID:      id,
			State:   replica.state,
			Started: replica.startedAt,
			Cell:    CellNumber(replica.cell),
			Zone:    ZoneIndex(id % 2),
		})
	}
}

// keepOnly removes all replicas except the given ones.
func (m *model) keepOnly(ids ...ReplicaID) {
	for _, id := range m.order {
		if !slices.Contains(ids, id) {
			m.replicas[id].state = Removed
		}
	}
	m.list(true, false, ids...)
}

// holdersOf returns the model's replicas that hold a shard.
func (m *model) holdersOf(shard int) (all []ReplicaID) {
	for _, id := range m.order {
		if (m.replicas[id].cell-shard%m.cells+m.cells)%m.cells < m.cellsPerShard {
			all = append(all, id)
		}
	}
	return all
}

// replica returns the scheduler's state of a replica.
func (m *model) replica(id ReplicaID) *replicaState { return m.scheduler.replicas.byID[id] }

// ejected reports whether the scheduler has ejected a replica for all classes.
func (m *model) ejected(id ReplicaID) bool { return m.replica(id).ejectedForAll() }

// iterate delivers the events of the next iteration and calls Decide.
func (m *model) iterate() {
	events := m.nextIteration
	m.nextIteration = nil
	for _, deliver := range events {
		deliver()
	}
	m.lastFirstAttempt = 0
	m.scheduler.Decide(m.now)
}

// newQuery sends the scheduler a query with this number of subqueries.
func (m *model) newQuery(class, subqueries int, left time.Duration) *modelQuery {
	query := m.newEmptyQuery(class, subqueries, left)
	for n := range subqueries {
		m.newSubquery(query, m.nextShard+n, 1/float64(subqueries))
	}
	return query
}

// newEmptyQuery sends the scheduler a query whose subqueries are still to arrive.
func (m *model) newEmptyQuery(class, subqueries int, left time.Duration) *modelQuery {
	m.lastID++
	query := &modelQuery{id: m.lastID, number: QueryNumber(m.lastID), class: class, deadlineAt: m.now + left}
	m.queries[query.id] = query
	m.arrivals = append(m.arrivals, m.now)
	m.scheduler.QueryArrives(m.now, QueryArrival{
		ID:         query.id,
		Number:     query.number,
		Class:      ClassIndex(class),
		TimeLeft:   left,
		Subqueries: subqueries,
	})
	return query
}

// newSubquery sends the scheduler a subquery.
func (m *model) newSubquery(query *modelQuery, shard int, weight float64) {
	m.lastID++
	subquery := &modelSubquery{id: m.lastID, query: query, shard: shard, weight: weight}
	query.subqueries = append(query.subqueries, subquery)
	m.subqueries[subquery.id] = subquery
	m.arrivals = append(m.arrivals, m.now)
	m.scheduler.SubqueryArrives(m.now, SubqueryArrival{
		ID:     subquery.id,
		Query:  query.number,
		Shard:  ShardNumber(shard),
		Weight: weight,
	})
}

// endAttempt reports the end of an attempt to the scheduler.
func (m *model) endAttempt(subquery *modelSubquery, number int, outcome Outcome) {
	attempt := subquery.attempts[number]
	attempt.ended = true
	attempt.outcome = outcome
	if outcome == Succeeded && !subquery.query.ended {
		subquery.answered = true
	}
	m.scheduler.AttemptEnds(m.now, AttemptResult{
		Subquery: subquery.id,
		Attempt:  AttemptNumber(number),
		Outcome:  outcome,
		Took:     m.now - attempt.sentAt,
	})
}

// withholdReply reports an unconfirmed reply to an attempt to the scheduler.
func (m *model) withholdReply(attempt flight) {
	attempt.attempt().unconfirmed = true
	m.scheduler.ReplyUnconfirmed(m.now, UnconfirmedReply{
		Subquery: attempt.subquery.id,
		Attempt:  AttemptNumber(attempt.number),
		Took:     m.now - attempt.attempt().sentAt,
	})
}

// flight identifies an attempt in flight.
type flight struct {
	subquery *modelSubquery
	number   int
}

func (f flight) attempt() *modelAttempt { return f.subquery.attempts[f.number] }

// inFlight returns the attempts in flight, in a fixed order.
func (m *model) inFlight() (all []flight) {
	for _, id := range slices.Sorted(maps.Keys(m.subqueries)) {
		for number, attempt := range m.subqueries[id].attempts {
			if !attempt.ended {
				all = append(all, flight{m.subqueries[id], number})
			}
		}
	}
	return all
}

// answer ends an attempt in flight as Succeeded.
func (m *model) answer(attempt flight) { m.endAttempt(attempt.subquery, attempt.number, Succeeded) }

// answerAllAfter advances time, then answers all attempts in flight.
func (m *model) answerAllAfter(after time.Duration) {
	m.advance(after)
	for _, attempt := range m.inFlight() {
		m.answer(attempt)
	}
	m.iterate()
}

// advance advances time by d: it delivers wakeups when due, and attempts time out at the deadlines of their queries.
func (m *model) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		next := min(end, m.now+50*ms)
		for _, at := range m.wakeups {
			next = min(next, max(at, m.now+ms))
		}
		m.now = next
		before := len(m.wakeups)
		m.wakeups = slices.DeleteFunc(m.wakeups, func(at time.Duration) bool { return at <= m.now })
		if len(m.wakeups) < before {
			m.scheduler.Wakeup(m.now, wakeupName)
			m.iterate()
		}
		for _, attempt := range m.inFlight() {
			if m.now >= attempt.subquery.query.deadlineAt {
				m.endAttempt(attempt.subquery, attempt.number, TimedOut)
				m.iterate()
			}
		}
		m.checkAllEndInTime()
	}
}
