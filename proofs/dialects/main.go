// Command dialects plays the same seeded days once with frames alone and once with HTTP/2 alone: where no fault strikes
// every query settles in the same way, and under faults no fewer succeed; see docs/http2.md. With -measure it measures
// what each protocol costs.
package main

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	replicaCount = 6
	shardCount   = 24
	objective    = 500 * time.Millisecond
	deadline     = time.Second

	settings = `{"balancers":1,"bounds":{"connectTimeout":150000,"idleClose":4000000,"maxAttempts":3,"maxOpen":20000,
"mayCancel":true,"multiplex":16,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":6,"classFetch":[0,0],"classNeed":[1.0,1.0],"ranges":24,"span":3},
"lanes":[{"name":"look","aim":500000,"deadline":1000000,"effect":"pure"},
{"name":"rider-claim","aim":500000,"deadline":1000000,"effect":"side_effect"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// noise is the share by which two days of one kind differ.
const noise = 0.01

// daysBeside are days that are played side by side.
const daysBeside = 4

// Models of replicas, by the protocol that they speak.
const (
	modelFrames = "frames"
	modelHTTP2  = "h2"
)

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	seeds := flag.Int("seeds", 24, "days of each kind; eight differ by up to 0.012 where 40 differ by 0.001")
	first := flag.Uint64("first", 1, "the first one's seed")
	against := flag.String("against", "", "with -measure: an earlier build's program, for frames alone")
	measured := flag.Bool("measure", false, "measure costs instead")
	rates := []float64{100, 1000, 6000, 12000}
	flag.Func("rates", "parts a second to measure at, with commas", func(text string) (err error) {
		rates, err = parseRates(text)
		return err
	})
	flag.Parse()
	if *measured {
		measure(*program, *against, rates)
		return
	}
	comparison := &comparison{}
	proof.Parallel(2**seeds, daysBeside, func(index int) {
		seed := *first + uint64(index/2)
		faulty := index%2 == 1
		comparison.play(*program, seed, faulty)
	})
	comparison.close(*seeds)
}

func parseRates(text string) (rates []float64, err error) {
	for word := range strings.SplitSeq(text, ",") {
		rate, malformed := strconv.ParseFloat(word, 64)
		rates = append(rates, rate)
		err = errors.Join(err, malformed)
	}
	return rates, err
}

// outcomes counts queries under faults.
type outcomes struct{ sent, succeeded int }

func (o *outcomes) add(results []fake.LoadResult) {
	for _, result := range results {
		o.sent++
		if result.Status == http.StatusOK {
			o.succeeded++
		}
	}
}

// share is that of queries that succeeded.
func (o *outcomes) share() float64 { return float64(o.succeeded) / float64(max(1, o.sent)) }

// comparison gathers what became of both protocols' queries.
type comparison struct {
	mu     sync.Mutex
	same   int // queries without faults, that settled in the same way
	differ int
	frames outcomes // under faults
	http2  outcomes
	errs   []error
}

// play plays a day with each protocol, one after the other.
func (c *comparison) play(program string, seed uint64, faulty bool) {
	frames, framesErr := playDay(program, seed, modelFrames, faulty)
	http2, http2Err := playDay(program, seed, modelHTTP2, faulty)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, err := range []error{framesErr, http2Err} {
		if err != nil {
			c.errs = append(c.errs, err)
		}
	}
	common := min(len(frames), len(http2))
	if faulty {
		c.frames.add(frames[:common])
		c.http2.add(http2[:common])
		return
	}
	for index := range common {
		c.compare(seed, index, frames[index], http2[index])
	}
}

func (c *comparison) compare(seed uint64, index int, frames, http2 fake.LoadResult) {
	sameStatus := frames.Status == http2.Status
	if sameStatus && frames.WithinObjective(objective) == http2.WithinObjective(objective) {
		c.same++
		return
	}
	c.differ++
	fmt.Printf("seed %d, retrieval %d: frames %d in %v, HTTP/2 %d in %v\n",
		seed, index, frames.Status, frames.Latency, http2.Status, http2.Latency)
}

// proved tells whether no query differed, and under faults HTTP/2 did no worse than frames.
func (c *comparison) proved() bool {
	noWorse := c.http2.share() >= c.frames.share()-noise
	return c.differ == 0 && c.same > 0 && len(c.errs) == 0 && noWorse
}

func (c *comparison) close(seeds int) {
	proof.PrintErrors(c.errs)
	proof.Exit(c.proved(), "dialects", "seeds=%d same=%d differ=%d fulfilled_frames=%.3f fulfilled_http2=%.3f",
		seeds, c.same, c.differ, c.frames.share(), c.http2.share())
}
