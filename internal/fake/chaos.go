package fake

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// ExecutionLedger is a ledger of which parts were run, kept apart from all that a co-ordinator counts.
type ExecutionLedger struct {
	mu           sync.Mutex
	Received     map[string]int            // by a part's id: how often it reached a box whole, run or not
	Executions   map[string]int            // by a part's id: how often it was run, anywhere
	ExecutionsAt map[string]map[string]int // by replica and part
}

// NewExecutionLedger makes an empty one.
func NewExecutionLedger() *ExecutionLedger {
	return &ExecutionLedger{Received: map[string]int{}, Executions: map[string]int{}, ExecutionsAt: map[string]map[string]int{}}
}

// NoteReceived notes that a part has reached a box.
func (g *ExecutionLedger) NoteReceived(part string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Received[part]++
}

// NoteExecuted notes that a part is run.
func (g *ExecutionLedger) NoteExecuted(uid, part string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ExecutionsAt[uid] == nil {
		g.ExecutionsAt[uid] = map[string]int{}
	}
	g.Executions[part]++
	g.ExecutionsAt[uid][part]++
}

// Random is a source of chance that goroutines share.
type Random struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// NewRandom draws from a seed.
func NewRandom(seed uint64) *Random { return &Random{rnd: rand.New(rand.NewPCG(seed, 11))} }

// IntN draws a number from 0 up to n, without n.
func (c *Random) IntN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// Unreliable is what a box does that runs most parts well and, for some of a thousand, does anything else that the protocols
// allow or forbid. Each part that is begun goes into the ledger first.
func Unreliable(g *ExecutionLedger, chance *Random, bad int) func(*Replica, Call) {
	return func(s *Replica, c Call) {
		g.NoteReceived(c.ID)
		mood := chance.IntN(1000)
		if mood < bad && chance.IntN(2) == 0 {
			Reject(s, c) // it never ran
			return
		}
		g.NoteExecuted(s.UID, c.ID)
		time.AfterFunc(time.Duration(1+chance.IntN(8))*time.Millisecond, func() {
			if mood >= bad {
				Succeed(s, c)
				return
			}
			[]func(*Replica, Call){Fail, CancelStream, Silent, ResetConnection, Garbage, Succeed}[chance.IntN(6)](s, c)
		})
	}
}

// InjectConnectionFaults has boxes misbehave at random moments until it is told to stop: connections are cut at random points or end, all
// at once or one that is being read; GOAWAY comes in two steps, in one, or with an abrupt end; limits fall in mid-burst,
// to nothing even, and rise; windows stall; pings have no answer.
func InjectConnectionFaults(boxes []*Replica, chance *Random, stop <-chan struct{}) {
	for _, b := range boxes {
		b.Mu.Lock()
		b.CutAfter = func() int { // one connection in three is cut within some calls
			if chance.IntN(3) > 0 {
				return -1
			}
			return 30 + chance.IntN(20_000)
		}
		b.QueueTime = func() time.Duration { return time.Duration(chance.IntN(3)) * time.Millisecond }
		b.Mu.Unlock()
	}
	for {
		select {
		case <-stop:
			for _, b := range boxes {
				b.Mu.Lock()
				b.CutAfter, b.QueueTime = nil, nil
				b.Mu.Unlock()
				b.SetStreamLimit(100)
				b.WithholdCredit(false)
				b.IgnorePings(false)
			}
			return
		case <-time.After(time.Duration(10+chance.IntN(60)) * time.Millisecond):
		}
		b := boxes[chance.IntN(len(boxes))]
		switch chance.IntN(9) {
		case 0:
			b.CloseConnections(true)
		case 1:
			b.CloseConnections(false)
		case 2:
			b.GoAway(true, false)
		case 3:
			b.GoAway(false, false)
		case 4:
			b.GoAway(true, true)
		case 5:
			b.SetStreamLimit([]int{0, 1, 3, 100}[chance.IntN(4)])
			time.AfterFunc(60*time.Millisecond, func() { b.SetStreamLimit(100) })
		case 6:
			b.WithholdCredit(true)
			time.AfterFunc(80*time.Millisecond, func() { b.WithholdCredit(false) })
		case 7:
			b.IgnorePings(true)
			time.AfterFunc(80*time.Millisecond, func() { b.IgnorePings(false) })
		}
	}
}

// WriteHTTP2Config writes an installation file that has replicas of model h2 speak HTTP/2, and returns its name.
func WriteHTTP2Config(folder string) (string, error) {
	file := filepath.Join(folder, "installation.json")
	return file, os.WriteFile(file, []byte(`{"replicas":[{"model":"h2","dialect":"http2"}]}`), 0o600)
}

// Trace are the attempts that a co-ordinator has logged under -trace: by replica and part, how many, and how many of those it
// holds for never run.
type Trace struct{ Attempts, NeverRan map[string]map[string]int }

// ReadTrace reads a program's log.
func ReadTrace(log string) Trace {
	t := Trace{map[string]map[string]int{}, map[string]map[string]int{}}
	add := func(m map[string]map[string]int, uid, part string) {
		if m[uid] == nil {
			m[uid] = map[string]int{}
		}
		m[uid][part]++
	}
	for line := range strings.Lines(log) {
		_, rest, ok := strings.Cut(line, " attempt_ended=")
		words := strings.Fields(rest)
		if !ok || len(words) < 3 {
			continue
		}
		part := words[0][:strings.LastIndexByte(words[0], '.')]
		uid, how := strings.TrimPrefix(words[1], "replica="), strings.TrimPrefix(words[2], "outcome=")
		add(t.Attempts, uid, part)
		if how == "turned_away" || how == "unreachable" || how == "moot" {
			add(t.NeverRan, uid, part)
		}
	}
	return t
}

// FalseNeverRan counts attempts that were held for never run although a ledger shows that they were.
func (t Trace) FalseNeverRan(g *ExecutionLedger) (n int, words []string) {
	for uid, parts := range g.ExecutionsAt {
		for part, ran := range parts {
			if may := t.Attempts[uid][part] - t.NeverRan[uid][part]; ran > may {
				n++
				words = append(words, fmt.Sprintf("%s ran %s %d times, %d legs may have", uid, part, ran, may))
			}
		}
	}
	return n, words
}
