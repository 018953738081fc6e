// Command floods runs the program against clients that misbehave at full speed, beside clients that do not. It proves that
// the process stays within its memory limit, that the other clients get their answers, and that nothing runs twice or for a
// client that has left; see docs/sockets.md.
package main

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"

	"terntray/internal/proof"
)

// maxParallel is the number of floods that run at a time. One keeps several cores busy: beside another, the process is
// short of CPU.
const maxParallel = 1

// maxUnserved is the share of the usual queries that may be rejected or fail during a flood.
const maxUnserved = 0.1

func main() {
	program := flag.String("program", "bin/terntray", "path of the program to test")
	only := flag.String("only", "", "run only floods whose name contains this text")
	memory := flag.Int("memory", 32, "memory limit in MB; 0: 32 and 192")
	share := flag.Bool("share", false, "the usual clients must be served beside a flood of one client; for an idle machine only")
	lasts := flag.Duration("lasts", defaultLasts, "time for which each flood lasts")
	flag.Parse()
	limits := []int{32, 192}
	if *memory > 0 {
		limits = []int{*memory}
	}
	var runs []*run
	for _, limit := range limits {
		for _, flood := range floods {
			if strings.Contains(flood.name, *only) {
				runs = append(runs, &run{program: *program, flood: flood, memoryMB: limit, lasts: *lasts, checksShare: *share})
			}
		}
	}
	var printing sync.Mutex
	proof.Parallel(len(runs), maxParallel, func(index int) {
		current := runs[index]
		current.err = current.play()
		printing.Lock()
		defer printing.Unlock()
		fmt.Println(current.line())
		for _, lost := range current.errs {
			fmt.Println("    lost", lost)
		}
	})
	exit(runs)
}

// exit prints the closing line and exits.
func exit(runs []*run) {
	lost, twice, late, overLimit, failed := 0, 0, 0, 0, 0
	for _, current := range runs {
		lost += current.lost
		twice += current.ranTwice
		late += current.afterLeaving
		if current.peak > current.memoryMB<<20 {
			overLimit++
		}
		if !current.holds() {
			failed++
		}
	}
	largest := slices.MaxFunc(runs, func(a, b *run) int { return cmp.Compare(a.memoryShare(), b.memoryShare()) })
	proof.Exit(failed == 0, "floods", "runs=%d broken=%d lost=%d ran_twice=%d after_leaving=%d over_memory=%d largest_memory_share=%.2f",
		len(runs), failed, lost, twice, late, overLimit, largest.memoryShare())
}
