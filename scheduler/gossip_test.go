package scheduler

import (
	"testing"
	"time"
)

// newGossipModel is a model of one of 40 co-ordinators that may tell each other of their attempts.
func newGossipModel(t *testing.T, bits int) *model {
	m := newModel(t, bits)
	m.settings["bounds.peers"] = "true"
	m.restartAsOneOf(40, 0)
	return m
}

// hear has the Scheduler take messages of a peer, all of which must be sound.
func (m *model) hear(messages ...[]byte) {
	for _, message := range messages {
		if err := m.scheduler.GossipReceived(m.now, 7, message); err != nil {
			m.t.Fatal(err)
		}
	}
}

// Work that peers tell of delays a replica like own work, so a subquery goes where less is in flight. It fades with
// time.
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
	m.hear(gossipOf(attemptsSent, attempts, 100*ms, 1, nil, 3)...)
	backlog := m.replica(102).peerBacklog(m.scheduler.now)
	m.nextShard = busy.cell
	q := m.newQuery(0, 1, 3*time.Second)
	m.iterate()
	if backlog < 700*ms || len(q.subqueries[0].attempts) != 1 || q.subqueries[0].attempts[0].to != 105 {
		t.Errorf("%v in flight; the subquery went to %+v", backlog, q.subqueries[0].attempts)
	}
	if len(m.broadcasts) != 1 {
		t.Errorf("%d messages tell of its attempt", len(m.broadcasts))
	}
	m.pass(6 * time.Second)
	if m.iterate(); m.replica(102).peerBacklog(m.scheduler.now) > backlog/10 {
		t.Error("work whose end nobody tells is in flight for good")
	}
}

// Where messages are not allowed none goes, whatever is sent.
func TestNothingIsBroadcastWhereGossipIsNotAllowed(t *testing.T) {
	m := newModel(t, 0)
	m.restartAsOneOf(40, 0)
	m.newQuery(0, 4, 3*time.Second)
	if m.iterate(); len(m.broadcasts) > 0 {
		t.Errorf("%d messages", len(m.broadcasts))
	}
}

// A quota for each co-ordinator rejected the queries of tenants that send most of theirs to one. Where co-ordinators
// tell each other what they admit, the quota is that of all.
func TestTenantQuotaIsThatOfAllCoordinatorsWithGossip(t *testing.T) {
	m := newModel(t, 32)
	m.settings["bounds.peers"], m.settings["orgs.0.quotaPerS"] = "true", "10"
	m.restartAsOneOf(40, 0)
	admitted := func(queries int) {
		m.hear(gossipOf(attemptsSent, []CellNumber{0}, ms, 1, make([]TenantIndex, queries), 3)...)
	}
	admitted(1)
	if m.newQuery(0, 1, 3*time.Second); m.scheduler.open[0].overQuota {
		t.Error("past its quota though the others admitted one")
	}
	admitted(16)
	admitted(16)
	if m.newQuery(0, 1, 3*time.Second); !m.scheduler.open[1].overQuota {
		t.Error("within its quota of 10 a second though the others just admitted 32")
	}
}

// Work of peers was once taken to be done at a replica's usual speed, so at a slow replica much less was counted than
// was in flight. Its end is told, and until then it counts.
func TestEndedAttemptsOfPeersAreNoLongerInFlight(t *testing.T) {
	m := newGossipModel(t, 0)
	replica, cell := m.replica(102), CellNumber(m.replicas[102].cell)
	attempts := []CellNumber{cell, cell}
	m.hear(gossipOf(attemptsSent, attempts, 100*ms, 1, nil, 3)...)
	if got := replica.peerBacklog(m.scheduler.now); got != 200*ms {
		t.Errorf("%v in flight", got)
	}
	if m.pass(500 * ms); replica.peerBacklog(m.scheduler.now) < 150*ms {
		t.Errorf("%v in flight after half a second, though nobody tells of an end", replica.peerBacklog(m.scheduler.now))
	}
	m.hear(gossipOf(attemptsEnded, attempts, 100*ms, 1, nil, 3)...)
	if replica.peerBacklog(m.scheduler.now) != 0 || replica.slowdown != 1 {
		t.Errorf("%v in flight after both ended, slowdown %.2f", replica.peerBacklog(m.scheduler.now), replica.slowdown)
	}
}

// Each of many co-ordinators has an answer from a replica only now and then; that it is slow has to be known from the
// attempts of all.
func TestLateAttemptsOfPeersRaiseASlowdown(t *testing.T) {
	m := newGossipModel(t, 0)
	replica, cell := m.replica(102), []CellNumber{CellNumber(m.replicas[102].cell)}
	for range 8 {
		m.hear(gossipOf(attemptsLate, cell, 100*ms, 6, nil, 3)...)
	}
	slow := replica.slowdown
	for range 1000 {
		m.hear(gossipOf(attemptsLate, cell, 100*ms, 1000, nil, 3)...)
	}
	most := replica.slowdown
	for range 20 {
		m.hear(gossipOf(attemptsEnded, cell, 100*ms, 1, nil, 3)...)
	}
	if slow < 3 || slow > 6 || most > 33 || replica.slowdown > 1.2 || replica.slowdown < 1 {
		t.Errorf("slowdown %.2f after eight told six times late, %.2f at the most, %.2f after twenty in time",
			slow, most, replica.slowdown)
	}
}

// When each co-ordinator learned by itself how many subqueries a replica works on side by side, it began with one,
// took replicas for slower than they were and rejected its first large queries. Peers tell what they learned.
func TestParallelismIsLearnedFromPeers(t *testing.T) {
	m := newGossipModel(t, 0)
	tally := attemptTally{}
	hundredEnded := func(parallelism float64) {
		for range 100 {
			tally.add(m.now, 0, 100*ms, 1)
		}
		m.hear(tally.flush(attemptsEnded, 3, parallelism)...)
	}
	if hundredEnded(4); m.scheduler.estimates.parallelism < 3.5 || m.scheduler.estimates.parallelism > 4 {
		t.Errorf("%.2f after a hundred attempts told by one that counts on 4", m.scheduler.estimates.parallelism)
	}
	if hundredEnded(15); m.scheduler.estimates.parallelism > maxParallelism {
		t.Errorf("%.2f, more than the most", m.scheduler.estimates.parallelism)
	}
}

// Ends are gathered for a tenth of a second, as messages cost. A cancelled attempt may still be worked on, and is
// told only if it was late.
func TestEndsAreGatheredAndTold(t *testing.T) {
	m := newGossipModel(t, 0)
	said := func() (attempts [attemptEventCount]int) {
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
	q := m.newQuery(0, 3, 3*time.Second)
	m.iterate()
	if got := said(); got != [attemptEventCount]int{attemptsSent: 3} {
		t.Errorf("told %v of three attempts sent", got)
	}
	m.now += 60 * ms
	m.endAttempt(q.subqueries[0], 0, Succeeded)
	m.iterate()
	m.endAttempt(q.subqueries[1], 0, Cancelled)
	m.iterate()
	if got := said(); got[attemptsEnded]+got[attemptsLate] != 0 {
		t.Errorf("told %v at once", got)
	}
	m.pass(120 * ms)
	if got := said(); got[attemptsEnded] != 1 || got[attemptsLate] != 0 {
		t.Errorf("told %v of one attempt ended and one cancelled early", got)
	}
	m.now += 800 * ms
	m.endAttempt(q.subqueries[2], 0, Succeeded)
	m.iterate()
	m.pass(120 * ms)
	if got := said(); got[attemptsLate] != 1 {
		t.Errorf("told %v of a late attempt", got)
	}
}

// While peers are silent, the work that they have in flight is not in an attempt's expected time. Without a longer
// time-out many attempts timed out that only stood in a long queue, and went again into the same queue.
func TestTimeOutsAreLongerWhilePeersAreSilent(t *testing.T) {
	timeOut := func(coordinators int, heard bool) time.Duration {
		m := newModel(t, 1)
		m.settings["bounds.peers"] = "true"
		m.restartAsOneOf(coordinators, 0)
		if heard {
			m.hear(gossipOf(attemptsEnded, []CellNumber{0}, ms, 1, nil, 3)...)
		}
		q := m.newQuery(0, 1, 3*time.Second)
		m.iterate()
		first := m.scheduler.subqueries[q.subqueries[0].id].attempts[0]
		return m.scheduler.retries.attemptTimeout(first, m.scheduler.unseenLoad())
	}
	few, silent, heard := timeOut(3, false), timeOut(60, false), timeOut(60, true)
	if silent < few*18/10 || heard > few {
		t.Errorf("time-outs of %v with 3 co-ordinators, %v with 60 that are silent, %v with 60 that tell",
			few, silent, heard)
	}
}
