package main

import (
	"fmt"
	"sync"
	"time"
)

// measure tells what two phases save: the work of boxes (records looked at, a summary counts as one), attempts, and the share of
// questions answered in the agreed time, two phases against one, by selectivity and number of blocks, quiet and jammed.
func measure(program string) {
	fmt.Println("| blocks | selectivity | fleet | work, two against one | legs, two against one | in time, one | in time, two | asked in two phases |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, jam := range []bool{false, true} {
		for _, blocks := range []int{8, 32, 128} {
			for _, selectivity := range []float64{0.01, 0.1, 0.5, 1} {
				if jam && (blocks != 32 || selectivity == 0.01) {
					continue
				}
				if err := compare(program, blocks, selectivity, jam); err != nil {
					fmt.Println("could not be played:", err)
				}
			}
		}
	}
}

func compare(program string, blocks int, selectivity float64, jam bool) error {
	var work, attempts, inTime [2]float64
	two := 0.0
	for n, maxAttempts := range []int{1, 3} { // with one attempt a part there can be no first phase
		f, err := newFleet(program, 7, blocks, 40, selectivity, maxAttempts)
		if err != nil {
			return err
		}
		var box sync.Mutex
		free := time.Now()
		f.takes = func(summary bool, records int) time.Duration {
			d := 50*time.Microsecond + time.Duration(records)*20*time.Microsecond
			if summary {
				d = 50 * time.Microsecond
			}
			if !jam {
				return d
			}
			box.Lock() // all boxes share one core: asked for more than it does
			defer box.Unlock()
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(d)
			return time.Until(free)
		}
		rate := 2000 / float64(blocks)
		if jam {
			rate *= 1.5
		}
		in, asked := f.load(rate, blocks, 3*time.Second)
		counts := f.Counters()
		f.end()
		work[n] = float64(f.data.RecordsRead) / float64(asked)
		attempts[n] = float64(counts["legs"]) / float64(asked)
		inTime[n] = float64(in) / float64(asked)
		if n == 1 {
			two = float64(counts["two_phases"]) / float64(max(1, counts["questions"]))
		}
	}
	words := map[bool]string{false: "quiet", true: "jammed"}[jam]
	fmt.Printf("| %d | %.2f | %s | %.2f | %.2f | %.3f | %.3f | %.2f |\n", blocks, selectivity, words, work[1]/work[0], attempts[1]/attempts[0],
		inTime[0], inTime[1], two)
	return nil
}

// load asks the best 10 of all blocks, on an open-loop schedule; it returns how many were answered in the agreed time.
func (f *fleet) load(rate float64, blocks int, lasts time.Duration) (inTime, asked int) {
	var of []int
	for n := range blocks {
		of = append(of, n)
	}
	best := 10
	idle := make(chan *conn, 256)
	var mu sync.Mutex
	var open sync.WaitGroup
	start := time.Now()
	asked = int(lasts.Seconds() * rate)
	for n := range asked {
		due := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		open.Go(func() {
			status, _, err := ask(f.Addr, idle, fmt.Sprint("m", n), of, 0, &best)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && status == 200 && time.Since(due) <= cutOff/2 {
				inTime++
			}
		})
	}
	open.Wait()
	return inTime, asked
}
