// Command ways-back proves that a co-ordinator recovers from faults and overload: none of its estimates persists after
// its cause has ended. It runs random histories in virtual time and scenarios on sockets; see docs/ways-back.md. With
// -seed it replays one history and prints the estimates.
package main

import (
	"flag"
	"fmt"
)

func main() {
	program := flag.String("program", "bin/terntray", "path of the program to test")
	histories := flag.Int("histories", 200, "number of histories in virtual time")
	firstSeed := flag.Uint64("first", 10_000, "seed of the first history")
	sockets := flag.Bool("sockets", true, "also run the scenarios on sockets, which need an otherwise idle machine")
	seed := flag.Uint64("seed", 0, "replay only the history with this seed")
	rate := flag.Float64("own", 0, "send this many queries per second to one co-ordinator, and print its counters")
	flag.Parse()
	if *rate > 0 {
		if err := printCoreOverload(*program, *rate); err != nil {
			fmt.Println(err)
		}
		return
	}
	if *seed > 0 {
		replayHistory(*seed)
		return
	}
	summary := &summary{}
	if !*sockets {
		summary.runHistories(*histories, *firstSeed)
		summary.exitHistories()
		return
	}
	summary.runHistoriesAndFaults(*program, *histories, *firstSeed)
	summary.runCoreScenarios(*program)
	summary.exit()
}
