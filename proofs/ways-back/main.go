// Command ways-back proves that no belief of the co-ordinator outlives its cause: random histories in virtual time and
// days on sockets; see docs/ways-back.md. With -seed it plays one history again and tells what was believed.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"sync"
	"time"

	"terntray/internal/emulator"
	"terntray/internal/fake"
)

func main() {
	program := flag.String("program", "bin/terntray", "the built program")
	histories := flag.Int("histories", 200, "histories in virtual time")
	first := flag.Uint64("first", 10_000, "the first one's seed")
	sockets := flag.Bool("sockets", true, "play the days on sockets, too; they need the machine to themselves")
	seed := flag.Uint64("seed", 0, "play this history alone")
	rate := flag.Float64("own", 0, "ask one co-ordinator for so much a second, and tell what its core does")
	flag.Parse()
	if *rate > 0 {
		watchOwn(*program, *rate)
		return
	}
	if *seed > 0 {
		playAgain(*seed)
		return
	}
	p := &proof{}
	if !*sockets {
		p.histories(*histories, *first, func() {})
		p.closeHistories()
		return
	}
	p.histories(*histories, *first, func() { p.days(*program) })
	p.core(*program)
	p.close()
}

// proof gathers the figures.
type proof struct {
	mu                         sync.Mutex
	asked, stuck, broken       int
	slowest                    time.Duration
	slowDay, otherDays         float64
	cold, crowdBack, wideCrowd float64
	kept, keptFirst            float64
	errs                       []string
}

func (p *proof) failed(err error) {
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.errs = append(p.errs, err.Error())
	}
}

// histories plays them on all cores but one, while the light days go on on sockets.
func (p *proof) histories(n int, first uint64, beside func()) {
	var days, all sync.WaitGroup
	days.Go(beside)
	gate := make(chan struct{}, max(1, runtime.NumCPU()-1))
	for seed := first; seed < first+uint64(n); seed++ {
		gate <- struct{}{}
		all.Go(func() {
			defer func() { <-gate }()
			h := emulator.Draw(seed)
			v, err := h.Run()
			p.failed(err)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.asked++
			p.broken += len(v.Broken)
			p.slowest = max(p.slowest, v.Back)
			if v.Stuck {
				p.stuck++
				fmt.Printf("stuck: -seed %d: %s\n  %s\n", seed, v.Why, h)
			}
			if len(v.Broken) > 0 {
				fmt.Printf("rule broken: -seed %d: %s\n", seed, v.Broken[0])
			}
		})
	}
	all.Wait()
	days.Wait()
}

// days plays the light days of trouble side by side: all replicas slow, silent, erring, or closing.
func (p *proof) days(program string) {
	var all sync.WaitGroup
	for _, day := range []struct {
		name string
		bad  func(*fake.Replica, fake.Call)
	}{
		{"slow", fake.After(2500*time.Millisecond, quick)}, {"silent", fake.Silent}, {"erring", fake.Fail},
		{"closing", fake.ResetConnection},
	} {
		all.Go(func() {
			back, err := trouble(program, day.bad, 8*time.Second)
			p.failed(err)
			p.mu.Lock()
			defer p.mu.Unlock()
			fmt.Printf("all replicas %s for 8 s: back after %.1f s\n", day.name, back)
			switch {
			case day.name == "slow":
				p.slowDay = back
			case back < 0 || back > p.otherDays && p.otherDays >= 0:
				p.otherDays = back
			}
		})
	}
	all.Wait()
}

// core plays the days that need a core to themselves.
func (p *proof) core(program string) {
	var err error
	p.cold, p.crowdBack, err = crowd(program, 300, 50, 5*time.Millisecond, 4*time.Second)
	p.failed(err)
	fmt.Printf("300/s of 50 parts from the first second: %.3f fulfilled, then 20/s: %.3f\n", p.cold, p.crowdBack)
	p.wideCrowd, _, err = crowd(program, 300, 5, 200*time.Millisecond, 3*time.Second)
	p.failed(err)
	fmt.Printf("300/s of 5 parts of 200 ms: %.3f fulfilled\n", p.wideCrowd)
	_, limit, _, err := own(program, 5000, time.Second, 2500*time.Millisecond)
	p.failed(err)
	first, over, slowest, err := own(program, limit*1.5, 3*time.Second, 8*time.Second)
	p.failed(err)
	fmt.Printf("own core: %.0f/s fulfilled at its limit; asked for %.0f/s, %.0f/s in the second and third second, %.0f/s in the five after; turned back within %v\n",
		limit, limit*1.5, first, over, slowest.Round(time.Millisecond))
	p.kept, p.keptFirst = over/max(1, limit), first/max(1, limit)
}

// closeHistories judges the histories alone.
func (p *proof) closeHistories() {
	word := "PROVED"
	if p.stuck > 0 || p.broken > 0 || len(p.errs) > 0 {
		word = "FAILED"
	}
	fmt.Printf("%s ways-back histories=%d stuck=%d slowest_back=%.1f rules_broken=%d errors=%q\n", word, p.asked, p.stuck,
		p.slowest.Seconds(), p.broken, p.errs)
	if word == "FAILED" {
		os.Exit(1)
	}
}

func (p *proof) close() {
	good := p.stuck == 0 && p.broken == 0 && len(p.errs) == 0 && p.slowDay >= 0 && p.otherDays >= 0 && p.cold >= 0.99 &&
		p.crowdBack >= 0.99 && p.wideCrowd >= 0.99 && p.kept >= 0.8
	for _, e := range p.errs {
		fmt.Println("could not be played:", e)
	}
	word := map[bool]string{true: "PROVED", false: "FAILED"}[good]
	fmt.Printf("%s ways-back histories=%d stuck=%d slowest_back=%.1f slow_day_back=%.1f other_days_back=%.1f crowd_back=%.3f "+
		"cold_crowd_fulfilled=%.3f wide_crowd_fulfilled=%.3f core_kept=%.2f core_kept_at_first=%.2f rules_broken=%d\n", word, p.asked, p.stuck,
		p.slowest.Seconds(), p.slowDay, p.otherDays, p.crowdBack, p.cold, p.wideCrowd, p.kept, p.keptFirst, p.broken)
	if !good {
		os.Exit(1)
	}
}

// playAgain plays one history and tells what was believed twice a second.
func playAgain(seed uint64) {
	h := emulator.Draw(seed)
	fmt.Println(h)
	h.Spy = func(f *emulator.Fleet) {
		fates := map[emulator.Final]int{}
		for _, q := range f.Node.Ledger.All {
			if q.How == emulator.Open || q.Ended > f.Now-500*time.Millisecond {
				fates[q.How]++
			}
		}
		fmt.Printf("%v, sound in %v: %v\n%+v\n%s\n", f.Now, h.SoundAt-f.Now, fates, f.Node.Module.ClassEstimates(), f.Node.Module.DescribeReplicas())
	}
	v, err := h.Run()
	fmt.Printf("%+v %v\n", v, err)
}
