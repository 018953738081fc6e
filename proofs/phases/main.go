// Command phases proves that questions in two phases are answered as in one, or refused; see docs/phases.md. With -measure
// it measures what two phases save.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	boxes    = 6
	cutOff   = time.Second
	settings = `{"balancers":1,"bounds":{"connectTimeout":250000,"idleClose":30000000,"maxAttempts":%d,"maxOpen":200000,
"mayCancel":true,"multiplex":64,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":6,"classFetch":[0],"classNeed":[1.0],"ranges":128,"span":3},
"lanes":[{"name":"report","aim":500000,"deadline":1000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

type tally struct{ questions, identical, refused, partial, wrong, unasked, unanswered int }

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	questions := flag.Int("questions", 20_400, "to ask in all")
	first := flag.Uint64("first", 1, "the first seed")
	fleets := flag.Int("fleets", 12, "fleets, a seed each")
	beside := flag.Int("beside", 4, "fleets side by side")
	measured := flag.Bool("measure", false, "measure instead")
	flag.Parse()
	if *measured {
		measure(*program)
		return
	}
	var mu sync.Mutex
	var sum tally
	var words []string
	var errs []error
	var all sync.WaitGroup
	places := make(chan struct{}, *beside)
	two, pruned := 0, 0
	for n := range *fleets {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			seed := *first + uint64(n)
			f, err := newFleet(*program, seed, 24, 6, []float64{0.1, 0.3, 0.6}[seed%3], 3)
			if err != nil {
				mu.Lock()
				errs = append(errs, err)
				mu.Unlock()
				return
			}
			t, w := f.play(seed, *questions / *fleets)
			counts := f.Counters()
			f.end()
			mu.Lock()
			defer mu.Unlock()
			sum.questions += t.questions
			sum.identical += t.identical
			sum.refused += t.refused
			sum.partial += t.partial
			sum.wrong += t.wrong
			sum.unasked += f.unasked()
			sum.unanswered += t.unanswered
			two += counts["two_phases"]
			pruned += counts["pruned"]
			for _, w := range w {
				words = append(words, fmt.Sprintf("seed %d: %s", seed, w))
			}
		})
	}
	all.Wait()
	for _, w := range words[:min(len(words), 20)] {
		fmt.Println(w)
	}
	word, status := "PROVED", 0
	if len(errs)+sum.partial+sum.wrong+sum.unasked+sum.unanswered > 0 || sum.identical*10 < sum.questions*8 || two*2 < sum.questions {
		word, status = "FAILED", 1
	}
	for _, err := range errs {
		fmt.Println("could not be played:", err)
	}
	fmt.Printf("%s phases questions=%d identical=%d refused=%d partial=%d wrong=%d pruned_unasked=%d unanswered=%d two_phases=%d pruned=%d\n",
		word, sum.questions, sum.identical, sum.refused, sum.partial, sum.wrong, sum.unasked, sum.unanswered, two, pruned)
	os.Exit(status)
}

// fleet is a program among boxes with data.
type fleet struct {
	*fake.Program
	data   *fake.Shards
	boxes  []*fake.Replica
	roster *fake.Discovery
	mood   func() fake.SummaryFault
	takes  func(summary bool, records int) time.Duration

	mu      sync.Mutex
	missing int
	seen    map[string]int // by a part's id, without its phase: 1 summarized in a form that can be a proof, 2 asked
}

func newFleet(program string, seed uint64, blocks, records int, selectivity float64, maxAttempts int) (*fleet, error) {
	f := &fleet{data: fake.NewShards(seed, blocks, records, selectivity), seen: map[string]int{},
		mood: func() fake.SummaryFault { return fake.NoFault },
		takes: func(summary bool, records int) time.Duration {
			if summary {
				return time.Millisecond
			}
			return 15 * time.Millisecond
		}}
	act := f.data.Behavior(func(s *fake.Replica, c fake.Call, summary bool) fake.SummaryFault {
		m := f.mood()
		f.mu.Lock()
		defer f.mu.Unlock()
		if part := strings.TrimSuffix(c.ID, "s"); !summary {
			f.seen[part] |= 2
		} else if m != fake.NoSummary && m != fake.MalformedSummary {
			f.seen[part] |= 1
		}
		return m
	}, func(summary bool, records int) time.Duration { return f.takes(summary, records) })
	folder, err := os.MkdirTemp("", "terntray")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	file := filepath.Join(folder, "installation.json")
	if err := os.WriteFile(file, []byte(`{"replicas":[{"model":"h2","dialect":"http2"}],"phases":{"tracks":["report"]}}`), 0o600); err != nil {
		return nil, err
	}
	for n := range boxes {
		b, err := fake.NewReplica(fmt.Sprintf("s-%d", n), n, act)
		if err != nil {
			return nil, err
		}
		b.NoLedger = true
		if (uint64(n)+seed)%2 == 0 {
			b.Model = "h2"
		}
		f.boxes = append(f.boxes, b)
	}
	if f.roster, err = fake.NewDiscovery("127.0.0.1:0", f.boxes...); err != nil {
		return nil, err
	}
	f.Program, err = fake.StartProgram(program, fmt.Sprintf(settings, maxAttempts), f.roster, "-installation", file)
	return f, err
}

func (f *fleet) end() {
	f.Stop()
	f.roster.Server.Close()
	for _, b := range f.boxes {
		b.Close()
	}
}

// unasked is how many blocks of answered questions were neither summarized in a usable form nor asked; those of questions
// that were refused do not count.
func (f *fleet) unasked() int { return f.missing }

// play asks questions while boxes have all moods, and compares each answer with the truth.
func (f *fleet) play(seed uint64, questions int) (t tally, words []string) {
	chance := fake.NewRandom(seed)
	f.mood = func() fake.SummaryFault {
		if chance.IntN(100) < 94 {
			return fake.NoFault
		}
		for {
			m := fake.SummaryFault(chance.IntN(int(fake.SummaryFaults)))
			if m != fake.FalseBounds { // told apart below: what they make wrong nobody can tell
				return m
			}
		}
	}
	rnd := rand.New(rand.NewPCG(seed, 9))
	var mu sync.Mutex
	var open sync.WaitGroup
	lanes := make(chan struct{}, 64)
	conns := make(chan *conn, 64)
	start := time.Now()
	const rate = 160.0 // questions a second
	for n := range questions {
		blocks := 1 + rnd.IntN(16)
		from := rnd.IntN(24 - blocks + 1)
		least := []float64{-10, -2, 0, 2, 4, 9}[rnd.IntN(6)]
		var best *int
		if rnd.IntN(3) > 0 {
			k := []int{0, 1, 2, 3, 5, 100}[rnd.IntN(6)]
			best = &k
		}
		if rnd.IntN(8) == 0 {
			f.data.AdvanceVersion(rnd.IntN(24))
		}
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / rate * float64(time.Second)))))
		lanes <- struct{}{}
		open.Go(func() {
			defer func() { <-lanes }()
			id := fmt.Sprintf("q%d", n)
			var of []int
			for i := range blocks {
				of = append(of, from+i)
			}
			status, body, err := ask(f.Addr, conns, id, of, least, best)
			want := f.data.ExpectedResponse(of, least, best)
			mu.Lock()
			defer mu.Unlock()
			t.questions++
			switch {
			case err != nil:
				t.unanswered++
				words = append(words, fmt.Sprintf("%s had no answer: %v", id, err))
			case status != http.StatusOK:
				t.refused++
			case body == want:
				t.identical++
				if best == nil || *best > 0 {
					f.check(id, of)
				}
			case !strings.Contains(body, `"all_in":true`):
				t.partial++
			default:
				t.wrong++
				words = append(words, fmt.Sprintf("%s: %s, want %s", id, body, want))
			}
		})
	}
	open.Wait()
	return t, words
}

func (f *fleet) check(id string, blocks []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range blocks {
		part := fmt.Sprintf("%s.%d", id, b)
		if f.seen[part] == 0 {
			f.missing++
		}
		delete(f.seen, part)
	}
}

type conn struct {
	net.Conn
	in *bufio.Reader
}

// ask asks one question and returns its answer.
func ask(addr string, idle chan *conn, id string, blocks []int, least float64, best *int) (status int, body string, err error) {
	var segments []string
	for _, b := range blocks {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, b, 1/float64(len(blocks))))
	}
	question := "{}"
	if best != nil {
		question = fmt.Sprintf(`{"best":%d}`, *best)
	}
	text := fmt.Sprintf(`{"segments":[%s],"text":"score>=%g","question":%s}`, strings.Join(segments, ","), least, question)
	request := fmt.Sprintf("POST /report HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		id, cutOff.Seconds(), len(text), text)
	for tries := 0; ; tries++ {
		var c *conn
		rested := true
		select {
		case c = <-idle:
		default:
			raw, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return 0, "", err
			}
			c, rested = &conn{raw, bufio.NewReader(raw)}, false
		}
		c.SetDeadline(time.Now().Add(2 * cutOff))
		_, err = io.WriteString(c, request)
		var r *http.Response
		if err == nil {
			r, err = http.ReadResponse(c.in, nil)
		}
		if err != nil {
			c.Close()
			if rested && tries < 100 {
				continue
			}
			return 0, "", err
		}
		got, err := io.ReadAll(r.Body)
		if err != nil || r.Close {
			c.Close()
		} else {
			select {
			case idle <- c:
			default:
				c.Close()
			}
		}
		return r.StatusCode, strings.TrimSpace(string(got)), err
	}
}
