// Command dialects plays the same seeded days once with frames alone and once with HTTP/2 alone: where no fault strikes
// every query settles in the same way, and under faults no fewer are fulfilled; see docs/http2.md. With -measure it
// measures what each dialect costs.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	boxes    = 6
	agreed   = 500 * time.Millisecond
	settings = `{"balancers":1,"bounds":{"connectTimeout":150000,"idleClose":4000000,"maxAttempts":3,"maxOpen":20000,
"mayCancel":true,"multiplex":16,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":6,"classFetch":[0,0],"classNeed":[1.0,1.0],"ranges":24,"span":3},
"lanes":[{"name":"look","aim":500000,"deadline":1000000,"effect":"pure"},
{"name":"rider-claim","aim":500000,"deadline":1000000,"effect":"side_effect"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
	noise = 0.01 // share by which two days of one kind differ
)

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	seeds := flag.Int("seeds", 24, "days of each kind; eight differ by up to 0.012 where 40 differ by 0.001")
	first := flag.Uint64("first", 1, "the first one's seed")
	against := flag.String("against", "", "with -measure: an earlier build's program, for frames alone")
	measured := flag.Bool("measure", false, "measure costs instead")
	rates := []float64{100, 1000, 6000, 12000}
	flag.Func("rates", "parts a second to measure at, with commas", func(text string) (err error) {
		rates = nil
		for one := range strings.SplitSeq(text, ",") {
			r, bad := strconv.ParseFloat(one, 64)
			rates, err = append(rates, r), errors.Join(err, bad)
		}
		return err
	})
	flag.Parse()
	if *measured {
		measure(*program, *against, rates)
		return
	}
	same, differ := 0, 0
	var faulty [2][2]int // by dialect: asked, fulfilled
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, 4)
	var errs []error
	for n := range *seeds {
		seed := *first + uint64(n)
		for _, bad := range []bool{false, true} {
			places <- struct{}{}
			all.Go(func() {
				defer func() { <-places }()
				var got [2][]fake.LoadResult
				for d, model := range []string{"frames", "h2"} {
					answers, err := day(*program, seed, model, bad)
					mu.Lock()
					if got[d] = answers; err != nil {
						errs = append(errs, err)
					}
					mu.Unlock()
				}
				mu.Lock()
				defer mu.Unlock()
				for i := range min(len(got[0]), len(got[1])) {
					a, b := got[0][i], got[1][i]
					switch {
					case bad:
						for d, x := range []fake.LoadResult{a, b} {
							if faulty[d][0]++; x.Status == 200 {
								faulty[d][1]++
							}
						}
					case a.Status == b.Status && a.WithinObjective(agreed) == b.WithinObjective(agreed):
						same++
					default:
						differ++
						fmt.Printf("seed %d, retrieval %d: frames %d in %v, HTTP/2 %d in %v\n", seed, i, a.Status, a.Took, b.Status, b.Took)
					}
				}
			})
		}
	}
	all.Wait()
	share := func(d int) float64 { return float64(faulty[d][1]) / float64(max(1, faulty[d][0])) }
	word, status := "PROVED", 0
	if differ > 0 || same == 0 || len(errs) > 0 || share(1) < share(0)-noise {
		word, status = "FAILED", 1
	}
	for _, err := range errs {
		fmt.Println("could not be played:", err)
	}
	fmt.Printf("%s dialects seeds=%d same=%d differ=%d fulfilled_frames=%.3f fulfilled_http2=%.3f\n", word, *seeds, same, differ, share(0), share(1))
	os.Exit(status)
}

// day plays one with boxes of one model; bad, with faults that both dialects know.
func day(program string, seed uint64, model string, bad bool) (answers []fake.LoadResult, err error) {
	chance := fake.NewRandom(seed)
	ran := fake.NewExecutionLedger()
	folder, err := os.MkdirTemp("", "terntray")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	installation, err := fake.WriteHTTP2Config(folder)
	if err != nil {
		return nil, err
	}
	worse := 0
	if bad {
		worse = 20
	}
	var all []*fake.Replica
	for n := range boxes {
		b, err := fake.NewReplica(fmt.Sprintf("s-%d", n), n, fake.Unreliable(ran, chance, worse))
		if err != nil {
			return nil, err
		}
		defer b.Close()
		b.NoLedger, b.Model = true, model
		all = append(all, b)
	}
	roster, err := fake.NewDiscovery("127.0.0.1:0", all...)
	if err != nil {
		return nil, err
	}
	defer roster.Server.Close()
	p, err := fake.StartProgram(program, settings, roster, "-installation", installation)
	if err != nil {
		return nil, err
	}
	defer p.Stop()
	stop := make(chan struct{})
	var peers sync.WaitGroup
	if bad {
		peers.Go(func() { cuts(all, fake.NewRandom(seed+1), stop) })
	}
	var loads sync.WaitGroup
	var got [2][]fake.LoadResult
	for n, track := range []string{"look", "rider-claim"} {
		loads.Go(func() {
			l := fake.Load{Addr: p.Addr, Class: track, Name: track, Rate: 100, Subqueries: 3, Shards: 24, Deadline: time.Second,
				Seed: seed, MaxConns: 500}
			got[n] = l.Run(1500 * time.Millisecond)
		})
	}
	loads.Wait()
	close(stop)
	peers.Wait()
	return append(got[0], got[1]...), nil
}

// cuts cuts a box's connections off every now and then.
func cuts(boxes []*fake.Replica, chance *fake.Random, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+chance.IntN(100)) * time.Millisecond):
			boxes[chance.IntN(len(boxes))].CloseConnections(chance.IntN(2) == 0)
		}
	}
}
