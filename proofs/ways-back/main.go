// Command ways-back proves that no estimate of the coordinator outlives its cause: random histories in virtual time and
// days on sockets; see docs/ways-back.md. With -seed it plays one history again and tells what was estimated.
package main

import (
	"flag"
	"fmt"
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
		if err := printOwnCore(*program, *rate); err != nil {
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
		summary.playHistories(*histories, *first)
		summary.closeHistories()
		return
	}
	summary.playBeside(*program, *histories, *first)
	summary.playCoreDays(*program)
	summary.close()
}
