package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartFleet is a group of co-ordinators that share a starting replica and a warm one.
type slowStartFleet struct {
	members   []*Scheduler
	starting  *replicaState
	warm      *replicaState
	freeAt    time.Duration // when the warm replica has finished its work
	answers   []warmAnswer  // of the warm replica, in order
	rng       *rand.Rand
	sent      []time.Duration // to the starting replica, by all co-ordinators
	nextID    RequestID
	decayedAt []time.Duration // by member: when its counts last decayed
}

// warmAnswer is an answer of the warm replica that a co-ordinator is to receive.
type warmAnswer struct {
	to         *Scheduler
	receivedAt time.Duration
}

const (
	fleetWork        = 50 * time.Millisecond // of a subquery
	fleetParallelism = 2.0
	replicaStart     = time.Minute // when the starting replica starts
)

func newSlowStartFleet(t *testing.T, members int, seed uint64) *slowStartFleet {
	t.Helper()
	fleet := &slowStartFleet{rng: rand.New(rand.NewPCG(seed, 5)), decayedAt: make([]time.Duration, members)}
	for n := range members {
		m := newModel(t, 0)
		m.settings["balancers"], m.settings["selfIndex"] = fmt.Sprint(members), fmt.Sprint(n)
		member, err := New(m, seed, configOf(t, m.settings))
		if err != nil {
			t.Fatal(err)
		}
		member.EndpointListBegins(0, true, false)
		member.EndpointListed(0, Endpoint{ID: 1, State: Ready, Started: StartUnknown, Size: 1})
		member.EndpointListed(0, Endpoint{ID: 2, State: Ready, Started: replicaStart, Size: 1})
		member.estimates.parallelism = fleetParallelism
		member.slowStart.warmReplicas = 1
		fleet.warm, fleet.starting = member.replicas.byID[1], member.replicas.byID[2]
		fleet.members = append(fleet.members, member)
	}
	return fleet
}

// subqueryArrives simulates the arrival of a subquery at a random co-ordinator. The subquery is sent to the starting
// replica if slow start allows it, otherwise to the warm one.
func (fleet *slowStartFleet) subqueryArrives(now time.Duration) {
	n := fleet.rng.IntN(len(fleet.members))
	member := fleet.members[n]
	member.advanceClock(now)
	member.slowStart.decay((now - fleet.decayedAt[n]).Seconds())
	member.slowStart.warmReplicas = 1
	fleet.decayedAt[n] = now
	member.slowStart.subqueryArrived(0)
	fleet.nextID++
	arrived := &subquery{id: fleet.nextID, work: fleetWork}
	for len(fleet.answers) > 0 && fleet.answers[0].receivedAt <= now {
		fleet.answers[0].to.slowStart.answered(fleet.warm, now)
		fleet.answers = fleet.answers[1:]
	}
	if now < replicaStart || !member.slowStartAdmits(fleet.starting, arrived) {
		fleet.freeAt = max(fleet.freeAt, now) + scale(fleetWork, 1/fleetParallelism)
		fleet.answers = append(fleet.answers, warmAnswer{member, fleet.freeAt})
		member.slowStart.attemptStarted(fleet.warm, arrived.work, member.estimates.parallelism, now)
		return
	}
	member.slowStart.attemptStarted(fleet.starting, arrived.work, member.estimates.parallelism, now)
	fleet.sent = append(fleet.sent, now)
}

// slowStartBound returns the number of subqueries that a starting replica can take within a window for which the
// settings allow the given number (the operators' limit).
func slowStartBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// worstWindow returns the largest number of subqueries that the starting replica is sent in any window of its warm-up,
// as a multiple of slowStartBound. The co-ordinators have run for the time ran before it starts; load is a multiple of
// what the warm replica can do.
func worstWindow(t *testing.T, members int, load float64, ran time.Duration, seed uint64) (worst float64) {
	fleet := newSlowStartFleet(t, members, seed)
	for n := range fleet.decayedAt {
		fleet.decayedAt[n] = replicaStart - ran
	}
	perSecond := load * fleetParallelism / fleetWork.Seconds()
	first := 0
	for now := replicaStart - ran; now < replicaStart+modelWarmUpTime; {
		if fleet.subqueryArrives(now); now >= replicaStart {
			for first < len(fleet.sent) && fleet.sent[first] <= now-modelOverloadTime {
				first++
			}
			capacity := 0.2 + 0.8*(now-replicaStart).Seconds()/modelWarmUpTime.Seconds()
			allowed := 3 * capacity * fleetParallelism * modelOverloadTime.Seconds() / fleetWork.Seconds()
			worst = max(worst, float64(len(fleet.sent)-first)/slowStartBound(allowed))
		}
		now += time.Duration(fleet.rng.ExpFloat64() / perSecond * float64(time.Second))
	}
	return worst
}

// A starting replica that is overloaded crashes and restarts. All co-ordinators together must stay within what it can
// take, whatever their number, however much the load exceeds what the warm replica can do, and also if all of them were
// just restarted.
func TestStartingReplicaIsNotOverloadedByAllTogether(t *testing.T) {
	longSinceStart := 3 * time.Duration(slowStartDecaySeconds) * time.Second
	for _, ran := range []time.Duration{longSinceStart, 0} {
		for _, members := range []int{1, 2, 5, 12, 30, 100} {
			for _, load := range []float64{0.5, 1, 2, 4} {
				worst := 0.0
				for seed := range uint64(30) {
					worst = max(worst, worstWindow(t, members, load, ran, seed))
				}
				t.Logf("%d co-ordinators that have run for %v, load %v: %.2f of the bound", members, ran, load, worst)
				if worst > 1 {
					t.Errorf("%d co-ordinators that have run for %v, load %v: %.2f times the bound",
						members, ran, load, worst)
				}
			}
		}
	}
}

// A Scheduler that is created after a panic must not grant a starting replica the whole budget again.
func TestSlowStartResumesFromTheLedger(t *testing.T) {
	before := newSlowStartFleet(t, 1, 1)
	for now := replicaStart; now < replicaStart+time.Second; now += 10 * time.Millisecond {
		before.subqueryArrives(now)
	}
	usedUntil := before.starting.slowStartUsedUntil
	after := newModel(t, 0)
	scheduler, err := New(after, 1, configOf(t, after.settings))
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Resume(before.members[0].Ledger())
	scheduler.EndpointListBegins(0, true, true)
	scheduler.EndpointListed(0, Endpoint{ID: 2, State: Ready, Started: replicaStart, Size: 1})
	if got := scheduler.replicas.byID[2].slowStartUsedUntil; usedUntil == 0 || got != usedUntil {
		t.Errorf("budget used until %v, before the panic %v", got, usedUntil)
	}
	if scheduler.slowStart.arrivals[0] != before.members[0].slowStart.arrivals[0] {
		t.Errorf("arrivals %v, before the panic %v",
			scheduler.slowStart.arrivals, before.members[0].slowStart.arrivals)
	}
}

func TestSlowStartCapacityGrowsWithAge(t *testing.T) {
	limiter := newSlowStart(&Config{Cells: 1, SlowStart: SlowStartConfig{
		OverloadMultiple: 3, StartCapacity: 0.2, WarmAfter: 8 * time.Second, OverloadFor: 1500 * time.Millisecond}})
	replica := &replicaState{startedAt: time.Minute}
	for _, test := range []struct {
		age       time.Duration
		capacity  float64
		warmingUp bool
	}{
		{0, 0.2, true},
		{4 * time.Second, 0.6, true},
		{8 * time.Second, 1, true},
		{9499 * time.Millisecond, 1, true},
		{9500 * time.Millisecond, 1, false},
	} {
		now := time.Minute + test.age
		capacity, warmingUp := limiter.capacity(replica, now), limiter.warmingUp(replica, now)
		if math.Abs(capacity-test.capacity) > 1e-9 || warmingUp != test.warmingUp {
			t.Errorf("at %v: capacity %v, warming up %t; want %+v", test.age, capacity, warmingUp, test)
		}
	}
	replica.startedAt = StartUnknown
	if limiter.warmingUp(replica, time.Minute) {
		t.Error("a replica without a known start time counts as warming up")
	}
}
