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

// Ran is a ledger of which parts were run, kept apart from all that a co-ordinator counts.
type Ran struct {
	mu    sync.Mutex
	Came  map[string]int            // by a part's id: how often it reached a box whole, run or not
	Parts map[string]int            // by a part's id: how often it was run, anywhere
	At    map[string]map[string]int // by replica and part
}

// NewRan makes an empty one.
func NewRan() *Ran {
	return &Ran{Came: map[string]int{}, Parts: map[string]int{}, At: map[string]map[string]int{}}
}

// Arrives notes that a part has reached a box.
func (g *Ran) Arrives(part string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Came[part]++
}

// Adds notes that a part is run.
func (g *Ran) Adds(uid, part string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.At[uid] == nil {
		g.At[uid] = map[string]int{}
	}
	g.Parts[part]++
	g.At[uid][part]++
}

// Chance is a source of chance that goroutines share.
type Chance struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// NewChance draws from a seed.
func NewChance(seed uint64) *Chance { return &Chance{rnd: rand.New(rand.NewPCG(seed, 11))} }

// N draws a number from 0 up to n, without n.
func (c *Chance) N(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// Moody is what a box does that runs most parts well and, for some of a thousand, does anything else that the protocols
// allow or forbid. Each part that is begun goes into the ledger first.
func Moody(g *Ran, chance *Chance, bad int) func(*Replica, Call) {
	return func(s *Replica, c Call) {
		g.Arrives(c.ID)
		mood := chance.N(1000)
		if mood < bad && chance.N(2) == 0 {
			Refuse(s, c) // it never ran
			return
		}
		g.Adds(s.UID, c.ID)
		time.AfterFunc(time.Duration(1+chance.N(8))*time.Millisecond, func() {
			if mood >= bad {
				Fulfil(s, c)
				return
			}
			[]func(*Replica, Call){Err, Cancel, Silent, Reset, Garbage, Fulfil}[chance.N(6)](s, c)
		})
	}
}

// Trouble has boxes misbehave at random moments until it is told to stop: connections are cut at random points or end, all
// at once or one that is being read; GOAWAY comes in two steps, in one, or with an abrupt end; limits fall in mid-burst,
// to nothing even, and rise; windows stall; pings have no answer.
func Trouble(boxes []*Replica, chance *Chance, stop <-chan struct{}) {
	for _, b := range boxes {
		b.Mu.Lock()
		b.Cut = func() int { // one connection in three is cut within some calls
			if chance.N(3) > 0 {
				return -1
			}
			return 30 + chance.N(20_000)
		}
		b.Waits = func() time.Duration { return time.Duration(chance.N(3)) * time.Millisecond }
		b.Mu.Unlock()
	}
	for {
		select {
		case <-stop:
			for _, b := range boxes {
				b.Mu.Lock()
				b.Cut, b.Waits = nil, nil
				b.Mu.Unlock()
				b.Limit(100)
				b.Stall(false)
				b.Deaf(false)
			}
			return
		case <-time.After(time.Duration(10+chance.N(60)) * time.Millisecond):
		}
		b := boxes[chance.N(len(boxes))]
		switch chance.N(9) {
		case 0:
			b.CutAll(true)
		case 1:
			b.CutAll(false)
		case 2:
			b.GoAway(true, false)
		case 3:
			b.GoAway(false, false)
		case 4:
			b.GoAway(true, true)
		case 5:
			b.Limit([]int{0, 1, 3, 100}[chance.N(4)])
			time.AfterFunc(60*time.Millisecond, func() { b.Limit(100) })
		case 6:
			b.Stall(true)
			time.AfterFunc(80*time.Millisecond, func() { b.Stall(false) })
		case 7:
			b.Deaf(true)
			time.AfterFunc(80*time.Millisecond, func() { b.Deaf(false) })
		}
	}
}

// InstallationOf writes an installation file that has replicas of model h2 speak HTTP/2, and returns its name.
func InstallationOf(folder string) (string, error) {
	file := filepath.Join(folder, "installation.json")
	return file, os.WriteFile(file, []byte(`{"replicas":[{"model":"h2","dialect":"http2"}]}`), 0o600)
}

// Told are the attempts that a co-ordinator has logged under -trace: by replica and part, how many, and how many of those it
// holds for never run.
type Told struct{ Attempts, Never map[string]map[string]int }

// ReadTrace reads a program's log.
func ReadTrace(log string) Told {
	t := Told{map[string]map[string]int{}, map[string]map[string]int{}}
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
			add(t.Never, uid, part)
		}
	}
	return t
}

// FalseNever counts attempts that were held for never run although a ledger shows that they were.
func (t Told) FalseNever(g *Ran) (n int, words []string) {
	for uid, parts := range g.At {
		for part, ran := range parts {
			if may := t.Attempts[uid][part] - t.Never[uid][part]; ran > may {
				n++
				words = append(words, fmt.Sprintf("%s ran %s %d times, %d legs may have", uid, part, ran, may))
			}
		}
	}
	return n, words
}
