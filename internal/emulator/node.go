package emulator

import (
	"fmt"
	"slices"
	"time"

	"terntray/scheduler"
)

// Coordinator is one co-ordinator: the module, and a core that its turns take up. What happens while a turn runs waits
// for the next, as it does on sockets; what a turn decides leaves at its end.
type Coordinator struct {
	Scheduler *scheduler.Scheduler
	Ledger    *Ledger
	Logs      []string

	world                                  *Simulation
	fleet                                  *Fleet
	IterationCost, EventCost, NetworkDelay time.Duration // of its core for a turn and for each thing told; from it to a replica
	inbox                                  []func()
	next                                   []func() // told at the start of the next turn
	freeAt                                 time.Duration
	planned                                bool
	leaving                                []func()
	lastID                                 scheduler.RequestID
	lastNumber                             scheduler.QueryNumber
	open                                   map[scheduler.RequestID]*Query
	parts                                  map[scheduler.RequestID]*part
}

// Query is a client's, with what became of it.
type Query struct {
	ID                  scheduler.RequestID
	Class               int
	ArrivedAt, Deadline time.Duration
	EndedAt             time.Duration // when its final answer came; 0: none yet
	Outcome             QueryOutcome
	FleetWasIdle        bool // no attempt waited or ran anywhere when it came
	parts               []*part
	agreed              time.Duration
	got                 int
}

// QueryOutcome is what a client is answered.
type QueryOutcome int

const (
	Unanswered QueryOutcome = iota
	Complete
	Partial
	Rejected
	Failed
)

// WithinObjective tells whether it was fulfilled whole within its agreed time.
func (q *Query) WithinObjective() bool {
	return q.Outcome == Complete && q.EndedAt <= q.ArrivedAt+q.agreed
}

type part struct {
	id       scheduler.RequestID
	of       *Query
	shard    int
	in       bool
	attempts []*attempt
}

type attempt struct {
	node       *Coordinator
	part       *part
	number     int
	at         *Replica
	sent       time.Duration
	work       time.Duration
	done       time.Duration // when its replica is done with it, as things are
	mayHaveRun bool          // the replica has begun it, or nobody can tell
	over       bool
	how        scheduler.Outcome
}

func newNode(f *Fleet, seed uint64, settings map[string]string) (*Coordinator, error) {
	n := &Coordinator{world: f.Simulation, fleet: f, NetworkDelay: hop, open: map[scheduler.RequestID]*Query{}, parts: map[scheduler.RequestID]*part{}}
	n.Ledger = newLedger(f)
	config, err := scheduler.ParseConfig(settings)
	if err != nil {
		return nil, err
	}
	module, err := scheduler.New(n, seed, config)
	if err != nil {
		return nil, err
	}
	n.Scheduler = module
	return n, nil
}

// happens has something told in the next turn.
func (n *Coordinator) happens(do func()) {
	n.inbox = append(n.inbox, do)
	n.plan()
}

func (n *Coordinator) plan() {
	if !n.planned {
		n.planned = true
		n.world.Schedule(n.freeAt, n.turn)
	}
}

func (n *Coordinator) turn() {
	n.planned = false
	told := append(n.next, n.inbox...)
	n.next, n.inbox, n.leaving = nil, nil, nil
	for _, do := range told {
		do()
	}
	n.Scheduler.Decide(n.world.Now)
	n.freeAt = n.world.Now + n.IterationCost + time.Duration(len(told))*n.EventCost
	out := n.leaving
	n.world.Schedule(n.freeAt, func() {
		for _, do := range out {
			do()
		}
	})
	if len(n.next) > 0 {
		n.plan()
	}
}

// SendEndpointList tells of all replicas as they are.
func (n *Coordinator) SendEndpointList(old bool) {
	n.happens(func() {
		n.Scheduler.EndpointListBegins(n.world.Now, true, old)
		for _, r := range n.fleet.Replicas {
			n.Scheduler.EndpointListed(n.world.Now, scheduler.Endpoint{ID: r.ID, State: scheduler.Ready, Started: r.StartedAt, Cell: r.Cell})
		}
	})
}

// ReceiveQuery has a client ask for shards, each part's work as given.
func (n *Coordinator) ReceiveQuery(track int, shards []int, work []time.Duration) *Query {
	t := n.fleet.Classes[track]
	n.lastID++
	q := &Query{ID: n.lastID, Class: track, ArrivedAt: n.world.Now, Deadline: n.world.Now + t.Deadline, agreed: t.Objective,
		FleetWasIdle: n.fleet.idle()}
	for i, s := range shards {
		n.lastID++
		q.parts = append(q.parts, &part{id: n.lastID, of: q, shard: s})
		n.fleet.work[n.lastID] = work[i]
	}
	n.Ledger.came(q)
	n.happens(func() {
		n.lastNumber++
		n.open[q.ID] = q
		left := max(0, q.Deadline-n.world.Now)
		n.Scheduler.QueryArrives(n.world.Now, scheduler.QueryArrival{ID: q.ID, Number: n.lastNumber, Class: scheduler.ClassIndex(track),
			TimeLeft: left, Subqueries: len(q.parts)})
		for _, p := range q.parts {
			n.parts[p.id] = p
			n.Scheduler.SubqueryArrives(n.world.Now, scheduler.SubqueryArrival{ID: p.id, Query: n.lastNumber, Shard: scheduler.ShardNumber(p.shard),
				Weight: 1 / float64(len(q.parts))})
		}
	})
	return q
}

// StartAttempt sends an attempt once the turn is over.
func (n *Coordinator) StartAttempt(id scheduler.RequestID, to scheduler.ReplicaID, timeout time.Duration) {
	p := n.parts[id]
	r := n.fleet.byID[to]
	if p == nil || r == nil {
		n.Ledger.breaks(1, "a leg of part %d to replica %d, one of which is not known", id, to)
		return
	}
	l := &attempt{node: n, part: p, number: len(p.attempts), at: r, sent: n.world.Now, work: n.fleet.work[id]}
	n.Ledger.sends(l)
	p.attempts = append(p.attempts, l)
	until := p.of.Deadline
	if timeout > 0 {
		until = min(until, n.world.Now+timeout)
	}
	n.leaving = append(n.leaving, func() {
		n.world.Schedule(n.world.Now+n.NetworkDelay, func() {
			if !l.over || !l.at.SupportsCancel {
				r.takes(l)
			}
		})
		n.world.Schedule(until, func() { l.ends(scheduler.TimedOut) })
	})
}

// outcome has the node hear of it after the way back.
func (l *attempt) outcome(how scheduler.Outcome) {
	l.node.world.Schedule(l.node.world.Now+l.node.NetworkDelay, func() { l.ends(how) })
}

// ends tells the node of the attempt's end, once.
func (l *attempt) ends(how scheduler.Outcome) {
	if l.over {
		return
	}
	n, took := l.node, l.node.world.Now-l.sent
	l.over, l.how = true, how
	n.happens(func() { n.told(l, took) })
}

func (n *Coordinator) told(l *attempt, took time.Duration) {
	if l.how == scheduler.Succeeded && !l.part.in && l.part.of.Outcome == Unanswered {
		l.part.in = true
		l.part.of.got++
	}
	n.Scheduler.AttemptEnds(n.world.Now, scheduler.AttemptResult{Subquery: l.part.id, Attempt: scheduler.AttemptNumber(l.number), Outcome: l.how, Took: took})
	n.clear(l.part)
}

// clear lets go of a part that nothing can be told of any more.
func (n *Coordinator) clear(p *part) {
	if p.of.Outcome != Unanswered && !slices.ContainsFunc(p.attempts, func(l *attempt) bool { return !l.over }) {
		delete(n.parts, p.id)
		delete(n.fleet.work, p.id)
	}
}

// CancelAttempt calls an attempt off; the module hears of it at the start of the next turn.
func (n *Coordinator) CancelAttempt(id scheduler.RequestID, number scheduler.AttemptNumber) {
	p := n.parts[id]
	if p == nil || int(number) >= len(p.attempts) || p.attempts[number].over {
		return
	}
	l := p.attempts[number]
	l.over, l.how = true, scheduler.Cancelled
	l.at.cancels(l)
	took := n.world.Now - l.sent
	n.next = append(n.next, func() { n.told(l, took) })
	n.plan()
}

func (n *Coordinator) final(id scheduler.RequestID, how QueryOutcome) {
	q := n.open[id]
	if q == nil {
		n.Ledger.breaks(1, "a second final answer to retrieval %d, or one to none", id)
		return
	}
	delete(n.open, id)
	q.Outcome, q.EndedAt = how, n.world.Now
	n.Ledger.ends(q)
	for _, p := range q.parts {
		n.clear(p)
	}
}

// Complete gives a query its final answer, as Reject and Fail do.
func (n *Coordinator) Complete(id scheduler.RequestID, whole bool) {
	how := Partial
	if whole {
		how = Complete
	}
	n.final(id, how)
}

// Reject is a final answer.
func (n *Coordinator) Reject(id scheduler.RequestID, _ time.Duration) { n.final(id, Rejected) }

// Fail is a final answer.
func (n *Coordinator) Fail(id scheduler.RequestID) { n.final(id, Failed) }

// ScheduleWakeup has the module told when a time has passed.
func (n *Coordinator) ScheduleWakeup(name string, in time.Duration) {
	n.world.Schedule(n.world.Now+in, func() {
		n.happens(func() { n.Scheduler.Wakeup(n.world.Now, name) })
	})
}

// PollEndpoints is answered by the whole list.
func (n *Coordinator) PollEndpoints() { n.SendEndpointList(false) }

// Broadcast carries out decide.Host; nodes here send each other nothing.
func (n *Coordinator) Broadcast([]byte) {}

// Log keeps the newest lines.
func (n *Coordinator) Log(text string) {
	const kept = 200
	if len(n.Logs) == kept {
		n.Logs = n.Logs[1:]
	}
	n.Logs = append(n.Logs, fmt.Sprintf("%v %s", n.world.Now, text))
}
