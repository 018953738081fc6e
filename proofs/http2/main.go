// Command http2 proves that no part is sent beyond its allowance and none is wrongly held for never run, whatever boxes do
// that speak HTTP/2, frames, or either by turns; see docs/http2.md. With -seed it plays one day again.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	boxes       = 6
	maxAttempts = 3
	// settings describe cells of three holders each and three tracks, one of each effect.
	settings = `{"balancers":1,"bounds":{"connectTimeout":150000,"idleClose":2000000,"maxAttempts":3,"maxOpen":20000,
"mayCancel":true,"multiplex":16,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":2,"callCost":0,"cells":6,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],"ranges":24,"span":3},
"lanes":[{"name":"look","aim":500000,"deadline":1000000,"effect":"pure"},
{"name":"rider-claim","aim":500000,"deadline":1000000,"effect":"side_effect"},
{"name":"token","aim":500000,"deadline":1000000,"effect":"token","window":400000}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// verdict is what became of a day.
type verdict struct {
	queries, fulfilled, over, falseNever, twice, unanswered, double, ran int
	words                                                                []string
}

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	seeds := flag.Int("seeds", 44, "days to play")
	first := flag.Uint64("first", 1, "the first one's seed")
	beside := flag.Int("beside", 4, "days side by side")
	lasts := flag.Duration("lasts", 1500*time.Millisecond, "of a day")
	seed := flag.Uint64("seed", 0, "play this day alone, and keep the log in http2.log")
	flag.Parse()
	if *seed > 0 {
		*first, *seeds = *seed, 1
	}
	var mu sync.Mutex
	var sum verdict
	var all sync.WaitGroup
	places := make(chan struct{}, *beside)
	failed := 0
	for n := range *seeds {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			v, err := day(*program, *first+uint64(n), *lasts, *seed > 0)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				fmt.Println("could not be played:", err)
			}
			for _, w := range v.words {
				fmt.Printf("sh .ci/prove http2 # bin/proofs/http2 -seed %d: %s\n", *first+uint64(n), w)
			}
			sum.queries += v.queries
			sum.fulfilled += v.fulfilled
			sum.over += v.over
			sum.falseNever += v.falseNever
			sum.twice += v.twice
			sum.unanswered += v.unanswered
			sum.double += v.double
			sum.ran += v.ran
		})
	}
	all.Wait()
	word, status := "PROVED", 0
	if failed+sum.over+sum.falseNever+sum.twice+sum.unanswered+sum.double > 0 || sum.fulfilled*10 < sum.queries*7 {
		word, status = "FAILED", 1
	}
	fmt.Printf("%s http2 seeds=%d retrievals=%d fulfilled=%d ran=%d over_allowance=%d false_never_ran=%d single_use_twice=%d unanswered=%d double_answers=%d\n",
		word, *seeds, sum.queries, sum.fulfilled, sum.ran, sum.over, sum.falseNever, sum.twice, sum.unanswered, sum.double)
	os.Exit(status)
}

// day plays one: a program among boxes that misbehave under steady load of all tracks.
func day(program string, seed uint64, lasts time.Duration, keep bool) (v verdict, err error) {
	chance := fake.NewRandom(seed)
	ran := fake.NewExecutionLedger()
	folder, err := os.MkdirTemp("", "terntray")
	if err != nil {
		return v, err
	}
	defer os.RemoveAll(folder)
	installation, err := fake.WriteHTTP2Config(folder)
	if err != nil {
		return v, err
	}
	var all []*fake.Replica
	for n := range boxes {
		b, err := fake.NewReplica(fmt.Sprintf("s-%d", n), n, fake.Unreliable(ran, chance, 20))
		if err != nil {
			return v, err
		}
		defer b.Close()
		b.NoLedger = true
		if b.Model = "frames"; (uint64(n)+seed)%3 > 0 {
			b.Model = "h2"
		}
		all = append(all, b)
	}
	roster, err := fake.NewDiscovery("127.0.0.1:0", all...)
	if err != nil {
		return v, err
	}
	defer roster.Server.Close()
	p, err := fake.StartProgram(program, settings, roster, "-trace", "-installation", installation)
	if err != nil {
		return v, err
	}
	stop := make(chan struct{})
	var peers sync.WaitGroup
	peers.Go(func() { fake.InjectConnectionFaults(all, chance, stop) })
	var mu sync.Mutex
	var loads sync.WaitGroup
	for n, track := range []string{"look", "rider-claim", "token"} {
		loads.Go(func() {
			l := fake.Load{Addr: p.Addr, Class: track, Name: track, Rate: 90, Subqueries: 1 + (n+int(seed))%5, Shards: 24,
				Deadline: time.Second, Seed: seed, MaxConns: 500, TextBytes: 1 + 3000*(int(seed)%4)}
			answers := l.Run(lasts)
			mu.Lock()
			defer mu.Unlock()
			for _, a := range answers {
				v.queries++
				switch a.Status {
				case 200:
					v.fulfilled++
				case 0:
					v.unanswered++
					v.words = append(v.words, fmt.Sprintf("a retrieval of %s at %v had no answer", track, a.Due))
				}
			}
			v.double += int(l.ExtraResponses.Load())
		})
	}
	loads.Wait()
	close(stop)
	peers.Wait()
	p.Stop()
	log := p.Log()
	if keep {
		os.WriteFile("http2.log", []byte(log), 0o600)
	}
	if strings.Contains(log, "event=loop_panic") || strings.Contains(log, "event=overdue") || strings.Contains(log, "lines_dropped") {
		v.words = append(v.words, "the program broke, or its log has lost lines")
		v.over++
	}
	told := fake.ReadTrace(log)
	var words []string
	v.falseNever, words = told.FalseNeverRan(ran)
	v.words = append(v.words, words...)
	for part, n := range ran.Received {
		if n > maxAttempts {
			v.over++
			v.words = append(v.words, fmt.Sprintf("%s was sent %d times", part, n))
		}
	}
	for part, n := range ran.Executions {
		v.ran += n
		if n > 1 && strings.HasPrefix(part, "rider-claim") {
			v.twice++
			v.words = append(v.words, fmt.Sprintf("single-use %s ran %d times", part, n))
		}
	}
	return v, nil
}
