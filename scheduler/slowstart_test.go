package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartCrowd is a number of co-ordinators that share a starting replica and a warm one.
type slowStartCrowd struct {
	members  []*Scheduler
	starting *replicaState
	warm     *replicaState
	freeAt   time.Duration // when the warm one has done what it was sent
	answers  []warmAnswer  // of the warm one, in order
	chance   *rand.Rand
	sent     []time.Duration // to the starting one, by all together
	nextID   RequestID
	fadedAt  []time.Duration // by member: when its counts were last faded
}

// warmAnswer is an answer of the warm replica on its way.
type warmAnswer struct {
	to *Scheduler
	at time.Duration
}

const (
	crowdWork        = 50 * time.Millisecond // of a subquery
	crowdParallelism = 2.0
	crowdStart       = time.Minute // when the starting replica starts
)

func newSlowStartCrowd(t *testing.T, members int, seed uint64) *slowStartCrowd {
	t.Helper()
	crowd := &slowStartCrowd{chance: rand.New(rand.NewPCG(seed, 5)), fadedAt: make([]time.Duration, members)}
	for n := range members {
		m := newModel(t, 0)
		m.settings["balancers"], m.settings["selfIndex"] = fmt.Sprint(members), fmt.Sprint(n)
		member, err := New(m, seed, configOf(t, m.settings))
		if err != nil {
			t.Fatal(err)
		}
		member.EndpointListBegins(0, true, false)
		member.EndpointListed(0, Endpoint{ID: 1, State: Ready, Started: StartUnknown, Size: 1})
		member.EndpointListed(0, Endpoint{ID: 2, State: Ready, Started: crowdStart, Size: 1})
		member.estimates.parallelism = crowdParallelism
		member.slowStart.warmReplicas = 1
		crowd.warm, crowd.starting = member.replicas.byID[1], member.replicas.byID[2]
		crowd.members = append(crowd.members, member)
	}
	return crowd
}

// arrives has one subquery arrive somewhere, and go where it may.
func (crowd *slowStartCrowd) arrives(now time.Duration) {
	n := crowd.chance.IntN(len(crowd.members))
	member := crowd.members[n]
	member.advanceClock(now)
	member.slowStart.decay((now - crowd.fadedAt[n]).Seconds())
	member.slowStart.warmReplicas = 1
	crowd.fadedAt[n] = now
	member.slowStart.subqueryArrived(0)
	crowd.nextID++
	arrived := &subquery{id: crowd.nextID, work: crowdWork}
	for len(crowd.answers) > 0 && crowd.answers[0].at <= now {
		crowd.answers[0].to.slowStart.answered(crowd.warm, now)
		crowd.answers = crowd.answers[1:]
	}
	if now < crowdStart || !member.slowStartAdmits(crowd.starting, arrived) {
		crowd.freeAt = max(crowd.freeAt, now) + scale(crowdWork, 1/crowdParallelism)
		crowd.answers = append(crowd.answers, warmAnswer{member, crowd.freeAt})
		member.slowStart.attemptStarted(crowd.warm, arrived.work, member.estimates.parallelism, now)
		return
	}
	member.slowStart.attemptStarted(crowd.starting, arrived.work, member.estimates.parallelism, now)
	crowd.sent = append(crowd.sent, now)
}

// slowStartBound is how many calls a starting replica bears in the window where the settings allow so many
// (STANDING.md).
func slowStartBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// worstWindow is the most that the starting replica is sent in any window of its warm-up, in shares of what it bears.
// The co-ordinators have run for a time before it starts; load is in times what the warm replica can do.
func worstWindow(t *testing.T, members int, load float64, ran time.Duration, seed uint64) (worst float64) {
	crowd := newSlowStartCrowd(t, members, seed)
	for n := range crowd.fadedAt {
		crowd.fadedAt[n] = crowdStart - ran
	}
	perSecond := load * crowdParallelism / crowdWork.Seconds()
	first := 0
	for now := crowdStart - ran; now < crowdStart+modelWarmUpTime; {
		if crowd.arrives(now); now >= crowdStart {
			for first < len(crowd.sent) && crowd.sent[first] <= now-modelOverloadTime {
				first++
			}
			capacity := 0.2 + 0.8*(now-crowdStart).Seconds()/modelWarmUpTime.Seconds()
			allowed := 3 * capacity * crowdParallelism * modelOverloadTime.Seconds() / crowdWork.Seconds()
			worst = max(worst, float64(len(crowd.sent)-first)/slowStartBound(allowed))
		}
		now += time.Duration(crowd.chance.ExpFloat64() / perSecond * float64(time.Second))
	}
	return worst
}

// A starting replica that is overloaded falls over and starts again. However many co-ordinators share it, however
// much more than the warm ones can do is asked of the cell, and also where all co-ordinators have just been
// restarted, they stay within what it bears, all together.
func TestStartingReplicaBearsWhatAllSendTogether(t *testing.T) {
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
					t.Errorf("%d co-ordinators that have run for %v, load %v: %.2f times what it bears",
						members, ran, load, worst)
				}
			}
		}
	}
}

// A Scheduler that is made anew after a panic must not give a starting replica the whole budget again.
func TestSlowStartGoesOnWithTheLedger(t *testing.T) {
	before := newSlowStartCrowd(t, 1, 1)
	for now := crowdStart; now < crowdStart+time.Second; now += 10 * time.Millisecond {
		before.arrives(now)
	}
	usedUntil := before.starting.slowStartUsedUntil
	after := newModel(t, 0)
	scheduler, err := New(after, 1, configOf(t, after.settings))
	if err != nil {
		t.Fatal(err)
	}
	scheduler.Resume(before.members[0].Ledger())
	scheduler.EndpointListBegins(0, true, true)
	scheduler.EndpointListed(0, Endpoint{ID: 2, State: Ready, Started: crowdStart, Size: 1})
	if got := scheduler.replicas.byID[2].slowStartUsedUntil; usedUntil == 0 || got != usedUntil {
		t.Errorf("used until %v, before the panic %v", got, usedUntil)
	}
	if scheduler.slowStart.arrivals[0] != before.members[0].slowStart.arrivals[0] {
		t.Errorf("%v subqueries remembered, before the panic %v",
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
		t.Error("a replica of which no start is known counts as starting")
	}
}
