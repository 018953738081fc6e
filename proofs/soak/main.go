// Command soak injects seeded, overlapping faults into a deployment of real co-ordinator processes and checks the rules
// from outside. With -breaks it tests its own checks: it builds programs that violate a rule on purpose, and the checks
// must catch each of them.
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
		proved = proof.runBreaks()
	} else {
		proved = proof.runSeeds()
	}
	if flags.tables {
		proof.total.printTables()
	}
	proof.printClosingLine(proved)
	if !proved {
		os.Exit(1)
	}
}

// flags holds the parsed command line.
type flags struct {
	firstSeed    uint64
	seeds        int
	restartSeeds int
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
	flag.Uint64Var(&flags.firstSeed, "first", 1, "first seed")
	flag.IntVar(&flags.seeds, "seeds", 2, "number of seeds of all faults, run one after the other")
	flag.IntVar(&flags.restartSeeds, "restarts", 3, "number of seeds of planned restarts by the page's terms")
	flag.DurationVar(&flags.duration, "lasts", 9*time.Second, "how long clients send queries in each run")
	flag.IntVar(&flags.faultStreams, "beside", 5, "number of fault streams that run in parallel")
	without := flag.String("without", "", "comma-separated kinds of fault to leave out")
	flag.StringVar(&flags.logFolder, "logs", "", "folder for the logs of the programs")
	flag.BoolVar(&flags.breaks, "breaks", false, "run programs that violate a rule on purpose, until each is caught")
	flag.StringVar(&flags.onlyBreak, "break", "", "with -breaks, run only the break with this name")
	flag.BoolVar(&flags.shrink, "shrink", false,
		"repeat a failed seed to find the kinds of fault that the failure does not need")
	flag.StringVar(&flags.module, "module", ".", "root of the module whose program is tested")
	flag.BoolVar(&flags.panics, "panics", false,
		"make the event loop panic about once a second, which must not violate a rule")
	flag.BoolVar(&flags.tables, "tables", false, "print which checks and faults overlapped")
	flag.Parse()
	flags.without = parseKinds(*without)
	return flags
}

// parseKinds parses a comma-separated list of kinds of fault.
func parseKinds(text string) (kinds []soak.FaultKind) {
	if text == "" {
		return nil
	}
	for name := range strings.SplitSeq(text, ",") {
		kinds = append(kinds, soak.FaultKind(name))
	}
	return kinds
}

// formatKinds formats a list of kinds for parseKinds.
func formatKinds(kinds []soak.FaultKind) string {
	var names []string
	for _, kind := range kinds {
		names = append(names, string(kind))
	}
	return strings.Join(names, ",")
}
