package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// coldCrowd is a number of co-ordinators that share a cold replica and a warm one.
type coldCrowd struct {
	members []*Scheduler
	cold    *replicaState
	warm    *replicaState
	freeAt  time.Duration // when the warm one has done what it was sent
	answers []warmAnswer  // of the warm one, in order
	chance  *rand.Rand
	sent    []time.Duration // to the cold one, by all together
	nextID  RequestID
	before  []time.Duration // by member: when its counts were last faded
}

const (
	crowdWork  = 50 * time.Millisecond
	crowdLanes = 2.0
)

func newColdCrowd(t *testing.T, members int, seed uint64) *coldCrowd {
	t.Helper()
	crowd := &coldCrowd{chance: rand.New(rand.NewPCG(seed, 5)), before: make([]time.Duration, members)}
	for n := range members {
		m := newModel(t, 0)
		m.settings["balancers"], m.settings["selfIndex"] = fmt.Sprint(members), fmt.Sprint(n)
		c, err := New(m, seed, configOf(t, m.settings))
		if err != nil {
			t.Fatal(err)
		}
		c.EndpointListBegins(0, true, false)
		c.EndpointListed(0, Endpoint{ID: 1, State: Ready, Started: StartUnknown, Size: 1})
		c.EndpointListed(0, Endpoint{ID: 2, State: Ready, Started: time.Minute, Size: 1})
		c.parallelism, c.warm, c.blank = crowdLanes, 1, 1
		crowd.cold, crowd.warm = c.replicas.byID[2], c.replicas.byID[1]
		crowd.members = append(crowd.members, c)
	}
	return crowd
}

// warmAnswer is an answer of the warm replica on its way.
type warmAnswer struct {
	to *Scheduler
	at time.Duration
}

// arrives has one subquery arrive somewhere, and go where it may.
func (crowd *coldCrowd) arrives(now time.Duration) {
	n := crowd.chance.IntN(len(crowd.members))
	c := crowd.members[n]
	c.clock(now)
	fade := math.Exp(-(now - crowd.before[n]).Seconds() / flowFades)
	crowd.before[n] = now
	c.flow, c.blank = c.flow*fade, c.blank*fade
	for cell := range c.asked {
		c.asked[cell] *= fade
	}
	c.asked[0]++
	crowd.nextID++
	p := &subquery{id: crowd.nextID, work: crowdWork}
	for len(crowd.answers) > 0 && crowd.answers[0].at <= now {
		crowd.answers[0].to.countAnswered(crowd.warm)
		crowd.answers = crowd.answers[1:]
	}
	if now < time.Minute || !c.coldRoom(crowd.cold, p) {
		crowd.freeAt = max(crowd.freeAt, now) + scale(crowdWork, 1/crowdLanes)
		crowd.answers = append(crowd.answers, warmAnswer{c, crowd.freeAt})
		c.countSent(crowd.warm, p.work)
		return
	}
	c.countSent(crowd.cold, p.work)
	crowd.sent = append(crowd.sent, now)
}

// coldBound is how many calls a cold replica bears in the window where the settings allow so many (STANDING.md).
func coldBound(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// worstWindow is the most that the cold replica is sent in any window of its warm-up, in shares of what it bears. The
// co-ordinators have run for a time before it starts; load is in times what the warm replica can do.
func worstWindow(t *testing.T, members int, load float64, ran time.Duration, seed uint64) (worst float64) {
	crowd := newColdCrowd(t, members, seed)
	started := time.Minute
	for n := range crowd.before {
		crowd.before[n] = started - ran
	}
	perSecond := load * crowdLanes / crowdWork.Seconds()
	first := 0
	for now := started - ran; now < started+modelWarm; now += time.Duration(crowd.chance.ExpFloat64() / perSecond * float64(time.Second)) {
		if crowd.arrives(now); now < started {
			continue
		}
		for first < len(crowd.sent) && crowd.sent[first] <= now-modelTip {
			first++
		}
		warmth := 0.2 + 0.8*(now-started).Seconds()/modelWarm.Seconds()
		allowed := 3 * warmth * crowdLanes * modelTip.Seconds() / crowdWork.Seconds()
		worst = max(worst, float64(len(crowd.sent)-first)/coldBound(allowed))
	}
	return worst
}

// However many co-ordinators share a cold replica, however much more than the warm ones can do is asked of the cell, and also
// where all co-ordinators have just been restarted, they stay within what it bears, all together.
func TestColdReplicaBearsWhatAllSendTogether(t *testing.T) {
	for _, ran := range []time.Duration{3 * flowFades * time.Second, 0} {
		for _, members := range []int{1, 2, 5, 12, 30, 100} {
			for _, load := range []float64{0.5, 1, 2, 4} {
				worst := 0.0
				for seed := range uint64(30) {
					worst = max(worst, worstWindow(t, members, load, ran, seed))
				}
				t.Logf("%d co-ordinators that have run for %v, load %v: %.2f of the bound", members, ran, load, worst)
				if worst > 1 {
					t.Errorf("%d co-ordinators that have run for %v, load %v: %.2f times what it bears", members, ran, load, worst)
				}
			}
		}
	}
}
