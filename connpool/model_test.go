package connpool

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// model applies random events to a pool, and checks what the pool does with connections and attempts.
type model struct {
	*fakeHost
	random   *rand.Rand
	limits   Limits
	protocol replicaproto.Protocol

	draining bool
	removed  bool

	attempts          []*Attempt         // all, by id
	accepted          map[AttemptID]bool // by Send
	abandonedBySender map[AttemptID]bool // their sender no longer waits for them
	reportedNeverRan  map[AttemptID]bool // the replica stated that they never ran
	writes            map[AttemptID]int  // how often each was assigned to a connection
	streamLimit       map[ConnID]int     // as stated by the replica; absent if it has stated none
	established       map[ConnID]bool    // connections that were established
	ended             map[ConnID]bool    // connections whose end was reported
	subqueries        []string           // that attempts are made for
}

func newModel(t *testing.T, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, 7))
	m := &model{
		random:            random,
		accepted:          map[AttemptID]bool{},
		abandonedBySender: map[AttemptID]bool{},
		reportedNeverRan:  map[AttemptID]bool{},
		writes:            map[AttemptID]int{},
		streamLimit:       map[ConnID]int{},
		established:       map[ConnID]bool{},
		ended:             map[ConnID]bool{},
		subqueries:        []string{"q.1", "q.2", "q.3", "q.4", "q.5", "q.6"},
	}
	m.protocol = protocols[random.IntN(len(protocols))]
	m.limits = Limits{
		ConnectTimeout:     250 * time.Millisecond,
		IdleTimeout:        time.Duration(random.IntN(3)) * time.Second,
		MaxAttemptsPerConn: 1 + random.IntN(8),
		MaxConns:           2 + random.IntN(6),
		MaxStreamsPerConn:  1 + random.IntN(20),
		MaxSharedConns:     1 + random.IntN(2),
	}
	m.fakeHost = newFakeHost(t, m.limits)
	m.pool.host = m
	m.listReplica("a:1", m.protocol, false)
	return m
}

// Write checks an attempt that the pool assigns to a connection.
func (m *model) Write(conn ConnID, attempt *Attempt) {
	m.fakeHost.Write(conn, attempt)
	m.writes[attempt.ID]++
	multiplexed := m.protocol == replicaproto.HTTP2
	switch {
	case m.draining || m.removed:
		m.t.Errorf("attempt %d is assigned to a connection of a replica that accepts nothing new", attempt.ID)
	case m.ended[conn] || m.closed[conn]:
		m.t.Errorf("attempt %d is assigned to a connection that has ended", attempt.ID)
	case m.writes[attempt.ID] > 2 && !multiplexed:
		m.t.Errorf("attempt %d is assigned to a connection for the third time", attempt.ID)
	case multiplexed && m.hasEarlierWaiting(attempt):
		m.t.Errorf("attempt %d is assigned before an earlier one that is still waiting", attempt.ID)
	}
	outstanding := m.pool.conns[conn].outstanding
	limit, stated := m.streamLimit[conn]
	running := m.pool.conns[conn].unanswered() // the replica is done with the others, though they are outstanding
	if stated && multiplexed && m.carriesAttempts(conn) && running > limit {
		m.t.Errorf("%d attempts on a connection with stream limit %d", running, limit)
	}
	if multiplexed {
		return
	}
	for _, other := range outstanding {
		if other != attempt && other.Call.SubqueryID == attempt.Call.SubqueryID {
			m.t.Errorf("two attempts at %s share a connection", attempt.Call.SubqueryID)
		}
	}
}

// hasEarlierWaiting reports whether an attempt that was sent before the given one still waits for a connection.
func (m *model) hasEarlierWaiting(attempt *Attempt) bool {
	for _, other := range m.attempts {
		isWaiting := m.isAwaited(other) && other.conn == nil
		if other.ID < attempt.ID && isWaiting {
			return true
		}
	}
	return false
}

// isAwaited reports whether an attempt's end is still to be reported.
func (m *model) isAwaited(attempt *Attempt) bool {
	return m.accepted[attempt.ID] && !m.abandonedBySender[attempt.ID] && len(m.outcomes[attempt.ID]) == 0
}

// carriesAttempts reports whether any attempt is on a connection.
func (m *model) carriesAttempts(conn ConnID) bool {
	for _, attempt := range m.attempts {
		if connOf(attempt) == conn {
			return true
		}
	}
	return false
}

// Abandon checks a cancellation that is sent to the replica.
func (m *model) Abandon(_ ConnID, attempt *Attempt) {
	if attempt.Call.Stage == replicaproto.Waiting {
		m.t.Errorf("a cancellation is sent for attempt %d, which was never sent", attempt.ID)
	}
}

// Open checks the number of connections. Connections that are closed to make room end a moment later.
func (m *model) Open(conn ConnID, to scheduler.ReplicaID, addr string, protocol replicaproto.Protocol) {
	m.fakeHost.Open(conn, to, addr, protocol)
	open := 0
	for _, other := range m.liveConns() {
		if !m.closed[other] {
			open++
		}
	}
	if open > m.limits.MaxConns {
		m.t.Errorf("%d connections, limit %d", open, m.limits.MaxConns)
	}
}

// AttemptEnded checks the reported end of an attempt.
func (m *model) AttemptEnded(id AttemptID, outcome scheduler.Outcome, took time.Duration) {
	m.fakeHost.AttemptEnded(id, outcome, took)
	attempt := m.attempts[id-1]
	neverRan := outcome == scheduler.Overloaded || outcome == scheduler.Unreachable
	switch {
	case len(m.outcomes[id]) > 1 || m.abandonedBySender[id]:
		m.t.Errorf("attempt %d: outcomes %v, abandoned %t", id, m.outcomes[id], m.abandonedBySender[id])
	case neverRan && attempt.Call.Stage == replicaproto.Written && !m.reportedNeverRan[id]:
		m.t.Errorf("attempt %d was fully written and is reported as never run", id)
	}
}

// liveConns returns the connections whose end was not reported, in order of opening.
func (m *model) liveConns() []ConnID {
	var conns []ConnID
	for _, conn := range m.opened {
		if !m.ended[conn] {
			conns = append(conns, conn)
		}
	}
	return conns
}

// unfinishedOn returns the attempts on a connection whose end is not known.
func (m *model) unfinishedOn(conn ConnID) []*Attempt {
	var attempts []*Attempt
	for _, attempt := range m.attempts {
		if conn > 0 && connOf(attempt) == conn && !attempt.finished {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

// step applies one event, to one connection if there is any. The numbers divide a hundred steps among the kinds of
// events; a step whose kind does not apply becomes one of the next kind that does, if there is one.
func (m *model) step() {
	conn := ConnID(0)
	if conns := m.liveConns(); len(conns) > 0 {
		conn = conns[m.random.IntN(len(conns))]
	}
	unfinished := m.unfinishedOn(conn)
	isUp := m.established[conn]
	isOpen := conn > 0 && !m.closed[conn]
	multiplexed := m.protocol == replicaproto.HTTP2
	draw := m.random.IntN(100)
	switch {
	case draw < 35:
		m.sendOne()
	case draw < 45 && isUp && len(unfinished) > 0:
		m.advanceWrite(unfinished)
	case draw < 60 && isUp && len(unfinished) > 0:
		m.replyToOne(conn, unfinished)
	case draw < 66 && len(m.attempts) > 0:
		m.abandonOne()
	case draw < 74 && isOpen && !isUp:
		m.established[conn] = true
		m.connUp(conn)
	case draw < 78 && conn > 0:
		m.ended[conn] = true
		m.endConn(conn, errors.New("simulated"))
	case draw < 82 && isOpen && isUp && multiplexed:
		m.streamLimit[conn] = m.random.IntN(5)
		m.pool.StreamLimitChanged(m.now, conn, m.streamLimit[conn])
	case draw < 84 && isOpen && isUp && multiplexed:
		m.pool.GoingAway(m.now, conn, "simulated")
	case draw < 87 && isUp && multiplexed && len(unfinished) > 0:
		m.settleOne(conn, unfinished)
	case draw >= 87 && draw < 89:
		m.listOrRemove(draw == 87)
	case draw == 89 && isUp:
		m.pool.ReplicaRestarted(m.now, testReplica, m.now+time.Second)
	case draw < 95 && isUp:
		m.pool.BytesReceived(m.now, conn, m.now)
	case draw >= 95:
		m.advance(time.Duration(m.random.IntN(400)) * time.Millisecond)
	}
	m.endSomeClosed()
}

func (m *model) pick(attempts []*Attempt) *Attempt { return attempts[m.random.IntN(len(attempts))] }

func (m *model) sendOne() {
	attempt := m.newAttempt(m.subqueries[m.random.IntN(len(m.subqueries))])
	attempt.NonIdempotent = m.random.IntN(3) == 0
	m.attempts = append(m.attempts, attempt)
	m.accepted[attempt.ID] = true // before Send, which may report its end
	if !m.pool.Send(m.now, attempt, testReplica) {
		m.accepted[attempt.ID] = false
	}
}

func (m *model) advanceWrite(unfinished []*Attempt) {
	attempt := m.pick(unfinished)
	stage := replicaproto.Begun + replicaproto.Stage(m.random.IntN(2))
	attempt.Call.Stage = max(attempt.Call.Stage, stage)
}

func (m *model) replyToOne(conn ConnID, unfinished []*Attempt) {
	attempt := m.pick(unfinished)
	attempt.Call.Stage = replicaproto.Written
	if m.random.IntN(3) == 0 {
		m.withholdReply(conn, attempt)
		return
	}
	id := attempt.ID
	if m.protocol == replicaproto.Frames {
		id = 0
	}
	if ended, _ := m.pool.ReplyReceived(m.now, conn, id, attempt.Call.SubqueryID, m.now); ended != nil {
		m.AttemptEnded(ended.ID, scheduler.Succeeded, 0)
	}
}

// settleOne lets the replica end an attempt without an answer.
func (m *model) settleOne(conn ConnID, unfinished []*Attempt) {
	attempt := m.pick(unfinished)
	if attempt.Call.Stage != replicaproto.Waiting {
		m.reportedNeverRan[attempt.ID] = m.random.IntN(2) == 0
		m.pool.AttemptSettled(m.now, conn, attempt.ID, m.reportedNeverRan[attempt.ID], m.now)
	}
}

// abandonOne lets the sender of an attempt stop waiting for it.
func (m *model) abandonOne() {
	attempt := m.pick(m.attempts)
	if !m.isAwaited(attempt) {
		return
	}
	m.abandonedBySender[attempt.ID] = true
	m.pool.Abandon(m.now, attempt)
	if m.random.IntN(2) == 0 {
		m.pool.Forget(m.now, attempt)
	}
}

// listOrRemove adds the replica to the endpoint list, draining or not, or removes it.
func (m *model) listOrRemove(list bool) {
	if !list {
		m.removed = true
		m.pool.ReplicaRemoved(m.now, testReplica)
		return
	}
	m.draining = m.random.IntN(2) == 0
	m.removed = false
	m.listReplica("a:1", m.protocol, m.draining)
}

// endSomeClosed ends some of the connections that the pool has closed, as drivers do asynchronously.
func (m *model) endSomeClosed() {
	for _, conn := range m.liveConns() {
		if m.closed[conn] && m.random.IntN(2) == 0 {
			m.ended[conn] = true
			m.endConn(conn, errors.New("closed"))
		}
	}
}

// endAll ends all connections, and checks that each attempt has ended once and nothing is left.
func (m *model) endAll() {
	for len(m.liveConns()) > 0 {
		for _, conn := range m.liveConns() {
			m.ended[conn] = true
			m.endConn(conn, errors.New("end of history"))
		}
		m.advance(time.Second)
	}
	m.advance(time.Second)
	for _, attempt := range m.attempts {
		mustEnd := m.accepted[attempt.ID] && !m.abandonedBySender[attempt.ID]
		if mustEnd && len(m.outcomes[attempt.ID]) != 1 {
			m.t.Errorf("attempt %d of %d, stage %d: outcomes %v",
				attempt.ID, len(m.attempts), attempt.Call.Stage, m.outcomes[attempt.ID])
		}
	}
	if len(m.pool.conns)+len(m.pool.byAge)+len(m.pool.pendingResets) > 0 {
		m.t.Errorf("%d connections, %d pending resets are left", len(m.pool.conns), len(m.pool.pendingResets))
	}
}

// runHistory runs the random history of a seed.
func runHistory(t *testing.T, seed uint64) {
	m := newModel(t, seed)
	for range 300 {
		m.step()
		if t.Failed() {
			t.Fatalf("seed %d, after %d attempts: go test ./connpool -run TestAnyHistory", seed, len(m.attempts))
		}
	}
	m.endAll()
	if t.Failed() {
		t.Fatalf("seed %d at the end", seed)
	}
}

// The invariants of the package hold for any history of events.
func TestAnyHistory(t *testing.T) {
	for seed := range uint64(2000) {
		runHistory(t, seed)
	}
}

// FuzzHistories searches for histories that break an invariant.
func FuzzHistories(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(runHistory)
}
