// Soak plays seeded, overlapping faults against real coordinator processes and judges the rules from outside. With
// -breaks it shows that it can see: it builds programs that break a rule on purpose, and each has to be caught.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"terntray/internal/soak"
)

func main() {
	flags := parseFlags()
	if flags.logFolder != "" {
		if err := os.MkdirAll(flags.logFolder, 0o755); err != nil {
			fmt.Println(err)
			os.Exit(2)
		}
	}
	proof := newProof(flags)
	proved := false
	if flags.breaks {
		proved = proof.playBreaks()
	} else {
		proved = proof.playSeeds()
	}
	if flags.tables {
		proof.total.printTables()
	}
	proof.printClosingLine(proved)
	if !proved {
		os.Exit(1)
	}
}

// flags are the command line.
type flags struct {
	firstSeed    uint64
	seeds        int
	duration     time.Duration
	faultStreams int
	without      []soak.FaultKind
	logFolder    string
	breaks       bool
	onlyBreak    string
	shrink       bool
	module       string
	panics       bool
	tables       bool
}

func parseFlags() *flags {
	flags := &flags{}
	flag.Uint64Var(&flags.firstSeed, "first", 1, "the first seed")
	flag.IntVar(&flags.seeds, "seeds", 2, "seeds to play, one after the other")
	flag.DurationVar(&flags.duration, "lasts", 9*time.Second, "how long clients ask in each")
	flag.IntVar(&flags.faultStreams, "beside", 5, "streams of faults side by side")
	without := flag.String("without", "", "kinds of fault to leave out, with commas between")
	flag.StringVar(&flags.logFolder, "logs", "", "a folder for the programs' logs")
	flag.BoolVar(&flags.breaks, "breaks", false, "play programs that break a rule on purpose, until each is caught")
	flag.StringVar(&flags.onlyBreak, "break", "", "of -breaks, this one alone")
	flag.BoolVar(&flags.shrink, "shrink", false,
		"play a seed that fails again, without one kind of fault after the other")
	flag.StringVar(&flags.module, "module", ".", "the tree whose program is played")
	flag.BoolVar(&flags.panics, "panics", false, "have the loop panic now and then, which has to break no rule")
	flag.BoolVar(&flags.tables, "tables", false, "print what crossed what")
	flag.Parse()
	flags.without = parseKinds(*without)
	return flags
}

// parseKinds reads a list of kinds of fault; empty: none.
func parseKinds(text string) (kinds []soak.FaultKind) {
	if text == "" {
		return nil
	}
	for name := range strings.SplitSeq(text, ",") {
		kinds = append(kinds, soak.FaultKind(name))
	}
	return kinds
}

// formatKinds writes a list of kinds as parseKinds reads it.
func formatKinds(kinds []soak.FaultKind) string {
	var names []string
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ",")
}
