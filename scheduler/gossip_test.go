package scheduler

import (
	"testing"
	"time"
)

// newGossipModel returns a model of one of 40 co-ordinators with gossip enabled.
func newGossipModel(t *testing.T, bits int) *model {
	m := newModel(t, bits)
	m.settings["bounds.peers"] = "true"
	m.restartAsOneOf(40, 0)
	return m
}

// receive passes messages from a peer to the Scheduler. All of them must be valid.
func (m *model) receive(messages ...[]byte) {
	for _, message := range messages {
		if err := m.scheduler.GossipReceived(m.now, 7, message); err != nil {
			m.t.Fatal(err)
		}
	}
}

// Work that peers report delays a replica like this co-ordinator's own, so a subquery goes where less is in flight. It
// decays with time.
func TestWorkOfPeersCountsAsInFlight(t *testing.T) {
	m := newGossipModel(t, 0)
	m.keepOnly(102, 105)
	busy := m.replicas[102]
	var attempts []CellNumber
	for range 8 {
		attempts = append(attempts, CellNumber(busy.cell))
	}
	m.replicas[105].cell = busy.cell + 1 // both hold the shard of that cell
	m.list(false, false, 105)
	m.receive(gossipOf(attemptsSent, attempts, 100*ms, 1, nil, 3)...)
	backlog := m.replica(102).peerBacklog(m.scheduler.now)
	m.nextShard = busy.cell
	q := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	if backlog < 700*ms || len(q.subqueries[0].attempts) != 1 || q.subqueries[0].attempts[0].to != 105 {
		t.Errorf("%v in flight; attempts of the subquery: %+v", backlog, q.subqueries[0].attempts)
	}
	if len(m.broadcasts) != 1 {
		t.Errorf("%d messages broadcast for one attempt", len(m.broadcasts))
	}
	m.advance(6 * time.Second)
	if m.iterate(); m.replica(102).peerBacklog(m.scheduler.now) > backlog/10 {
		t.Error("work whose end is never reported does not decay")
	}
}

// Nothing is broadcast if the settings do not allow gossip.
func TestNothingIsBroadcastWhereGossipIsNotAllowed(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.newQuery(0, 4, 3*time.Second)
	if m.iterate(); len(m.broadcasts) > 0 {
		t.Errorf("%d messages", len(m.broadcasts))
	}
}

// Guards against rejecting queries of a tenant that sends most of them to one co-ordinator, which happened when each
// co-ordinator enforced its own share of the quota. With gossip the quota is shared by all co-ordinators.
func TestTenantQuotaIsThatOfAllCoordinatorsWithGossip(t *testing.T) {
	m := newModel(t, 32)
	m.settings["bounds.peers"], m.settings["orgs.0.quotaPerS"] = "true", "10"
	m.restartAsOneOf(40, 0)
	admitted := func(queries int) {
		m.receive(gossipOf(attemptsSent, []CellNumber{0}, ms, 1, make([]TenantIndex, queries), 3)...)
	}
	admitted(1)
	if m.newQuery(0, 1, 3*time.Second); m.scheduler.open[0].overQuota {
		t.Error("over its quota though the others admitted only one query")
	}
	admitted(16)
	admitted(16)
	if m.newQuery(0, 1, 3*time.Second); !m.scheduler.open[1].overQuota {
		t.Error("within its quota of 10 a second though the others just admitted 32")
	}
}

// Guards against assuming that a replica completes peers' work at its usual speed, which underestimated the work in
// flight at a slow replica. The work counts until its end is reported.
func TestEndedAttemptsOfPeersAreNoLongerInFlight(t *testing.T) {
	m := newGossipModel(t, 0)
	replica, cell := m.replica(102), CellNumber(m.replicas[102].cell)
	attempts := []CellNumber{cell, cell}
	m.receive(gossipOf(attemptsSent, attempts, 100*ms, 1, nil, 3)...)
	if got := replica.peerBacklog(m.scheduler.now); got != 200*ms {
		t.Errorf("%v in flight", got)
	}
	if m.advance(500 * ms); replica.peerBacklog(m.scheduler.now) < 150*ms {
		t.Errorf("%v in flight after half a second, though no end was reported", replica.peerBacklog(m.scheduler.now))
	}
	m.receive(gossipOf(attemptsEnded, attempts, 100*ms, 1, nil, 3)...)
	if replica.peerBacklog(m.scheduler.now) != 0 || replica.slowdown != 1 {
		t.Errorf("%v in flight after both ended, slowdown %.2f", replica.peerBacklog(m.scheduler.now), replica.slowdown)
	}
}

// Each of many co-ordinators rarely has an answer from a given replica, so it has to learn from the attempts of all
// that a replica is slow.
func TestLateAttemptsOfPeersRaiseASlowdown(t *testing.T) {
	m := newGossipModel(t, 0)
	replica, cell := m.replica(102), []CellNumber{CellNumber(m.replicas[102].cell)}
	for range 8 {
		m.receive(gossipOf(attemptsLate, cell, 100*ms, 6, nil, 3)...)
	}
	slow := replica.slowdown
	for range 1000 {
		m.receive(gossipOf(attemptsLate, cell, 100*ms, 1000, nil, 3)...)
	}
	highest := replica.slowdown
	for range 20 {
		m.receive(gossipOf(attemptsEnded, cell, 100*ms, 1, nil, 3)...)
	}
	if slow < 3 || slow > 6 || highest > 33 || replica.slowdown > 1.2 || replica.slowdown < 1 {
		t.Errorf("slowdown %.2f after eight attempts of lateness 6, %.2f at its highest, %.2f after twenty in time",
			slow, highest, replica.slowdown)
	}
}

// Guards against each co-ordinator learning the parallelism of replicas by itself: it started at one, overestimated
// expected times and rejected its first large queries. Peers report the parallelism that they learned.
func TestParallelismIsLearnedFromPeers(t *testing.T) {
	m := newGossipModel(t, 0)
	tally := attemptTally{}
	hundredEnded := func(parallelism float64) {
		for range 100 {
			tally.add(m.now, 0, 100*ms, 1)
		}
		m.receive(tally.flush(attemptsEnded, 3, parallelism)...)
	}
	if hundredEnded(4); m.scheduler.estimates.parallelism < 3.5 || m.scheduler.estimates.parallelism > 4 {
		t.Errorf("parallelism %.2f after a hundred attempts of a peer that reports 4",
			m.scheduler.estimates.parallelism)
	}
	if hundredEnded(15); m.scheduler.estimates.parallelism > maxParallelism {
		t.Errorf("parallelism %.2f, above its maximum", m.scheduler.estimates.parallelism)
	}
}

// Ends of attempts are batched for a tenth of a second, as each message has a cost. A replica may still be working on a
// cancelled attempt, so it is reported only if it was late.
func TestEndsOfAttemptsAreBatchedAndReported(t *testing.T) {
	m := newGossipModel(t, 0)
	reported := func() (attempts [attemptEventCount]int) {
		for _, message := range m.broadcasts {
			decoded, err := decodeGossip(message, 3)
			if err != nil {
				t.Fatal(err)
			}
			for _, cell := range decoded.cells {
				attempts[decoded.event] += cell.attempts
			}
		}
		m.broadcasts = nil
		return attempts
	}
	query := m.newQuery(0, 3, 3*time.Second)
	m.iterate()
	if got := reported(); got != [attemptEventCount]int{attemptsSent: 3} {
		t.Errorf("reported %v after three attempts were sent", got)
	}
	m.now += 60 * ms
	m.endAttempt(query.subqueries[0], 0, Succeeded)
	m.iterate()
	m.endAttempt(query.subqueries[1], 0, Cancelled)
	m.iterate()
	if got := reported(); got[attemptsEnded]+got[attemptsLate] != 0 {
		t.Errorf("reported %v at once", got)
	}
	m.advance(120 * ms)
	if got := reported(); got[attemptsEnded] != 1 || got[attemptsLate] != 0 {
		t.Errorf("reported %v after one attempt ended and one was cancelled early", got)
	}
	m.now += 800 * ms
	m.endAttempt(query.subqueries[2], 0, Succeeded)
	m.iterate()
	m.advance(120 * ms)
	if got := reported(); got[attemptsLate] != 1 {
		t.Errorf("reported %v after a late attempt", got)
	}
}

// While peers are silent, an attempt's expected time does not include the work that they have in flight. Guards against
// timeouts too short for that: attempts waiting in a long queue timed out and were retried into the same queue.
func TestTimeoutsAreLongerWhilePeersAreSilent(t *testing.T) {
	timeout := func(coordinators int, heard bool) time.Duration {
		m := newModel(t, 1)
		m.settings["bounds.peers"] = "true"
		m.restartAsOneOf(coordinators, 0)
		if heard {
			m.receive(gossipOf(attemptsEnded, []CellNumber{0}, ms, 1, nil, 3)...)
		}
		q := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		first := m.scheduler.subqueries[q.subqueries[0].id].attempts[0]
		return m.scheduler.retries.attemptTimeout(first, m.scheduler.unseenLoad())
	}
	few, silent, heard := timeout(3, false), timeout(60, false), timeout(60, true)
	if silent < few*18/10 || heard > few {
		t.Errorf("timeouts of %v with 3 co-ordinators, %v with 60 that are silent, %v with 60 that gossip",
			few, silent, heard)
	}
}
