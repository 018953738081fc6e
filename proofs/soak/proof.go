package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"terntray/internal/faultbuild"
	"terntray/internal/soak"
)

// maxPrinted bounds the violations of a seed that are printed.
const maxPrinted = 12

// rates are the system calls, of a million, that go otherwise than usual all the time.
var rates = map[faultbuild.Setting]int64{
	faultbuild.Interrupted: 5_000,
	faultbuild.ShortReads:  30_000,
	faultbuild.ShortWrites: 30_000,
}

// proof plays seeds and gathers what all have seen.
type proof struct {
	*flags
	total   *total
	played  int      // seeds
	failed  int      // of them
	caught  []string // breaks, as "name=seeds"
	escaped []string // breaks
}

func newProof(flags *flags) *proof { return &proof{flags: flags, total: newTotal()} }

// build builds the program with faults in it, and with the patches; the caller removes its folder.
func (p *proof) build(patches []faultbuild.Patch) (program string, err error) {
	module, err := filepath.Abs(p.module)
	if err != nil {
		return "", err
	}
	folder, err := os.MkdirTemp("", "soak-program")
	if err != nil {
		return "", err
	}
	program = filepath.Join(folder, "terntray")
	return program, faultbuild.Build(module, "./cmd/terntray", program, patches)
}

func (p *proof) options(program string) soak.Options {
	return soak.Options{
		Program:      program,
		Duration:     p.duration,
		FaultStreams: p.faultStreams,
		Without:      p.without,
		LogFolder:    p.logFolder,
		Rates:        rates,
		ExpectPanics: p.panics,
	}
}

// playSeeds plays the program as it is, or as one that panics; it tells whether no seed broke a rule.
func (p *proof) playSeeds() bool {
	var patches []faultbuild.Patch
	if p.panics {
		patches = panicking
	}
	program, err := p.build(patches)
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer os.RemoveAll(filepath.Dir(program))
	for n := range p.seeds {
		seed := p.firstSeed + uint64(n)
		result, err := soak.Run(seed, p.options(program))
		if err != nil {
			fmt.Printf("seed %d could not be played: %v\n", seed, err)
			return false
		}
		p.played++
		p.total.add(result)
		if len(result.Violations) > 0 {
			p.failed++
			p.printViolations(result)
			if p.shrink {
				p.shrinkFaults(program, result)
			}
		}
	}
	return p.failed == 0
}

func (p *proof) printViolations(result *soak.Result) {
	fmt.Printf("seed %d: %d finds; again: go run ./proofs/soak -first %d -seeds 1 -lasts %v -beside %d -without %q\n",
		result.Seed, len(result.Violations), result.Seed, p.duration, p.faultStreams, formatKinds(p.without))
	for _, violation := range result.Violations[:min(len(result.Violations), maxPrinted)] {
		fmt.Println("  ", violation)
	}
}

// shrinkFaults leaves out one kind of fault after the other while the same rule still breaks.
func (p *proof) shrinkFaults(program string, failed *soak.Result) {
	rule := failed.Violations[0].Rule
	options := p.options(program)
	for _, kind := range soak.FaultKinds() {
		tried := options
		tried.Without = append(slices.Clone(options.Without), kind)
		result, err := soak.Run(failed.Seed, tried)
		if err == nil && breaks(result, rule) {
			options = tried
		}
	}
	fmt.Printf("seed %d breaks %q also with -without %q\n", failed.Seed, rule, formatKinds(options.Without))
}

func breaks(result *soak.Result, rule soak.Rule) bool {
	return slices.ContainsFunc(result.Violations, func(v soak.Violation) bool { return v.Rule == rule })
}

// playBreaks plays each deliberate break, or the one that is named, and tells whether all were caught.
func (p *proof) playBreaks() bool {
	for _, deliberate := range deliberateBreaks {
		if p.onlyBreak != "" && deliberate.name != p.onlyBreak {
			continue
		}
		seeds, err := p.catch(deliberate)
		if err != nil {
			fmt.Println(deliberate.name, err)
		}
		if seeds == 0 {
			p.escaped = append(p.escaped, deliberate.name)
		} else {
			p.caught = append(p.caught, fmt.Sprintf("%s=%d", deliberate.name, seeds))
		}
	}
	fmt.Println("caught, with the number of seeds that it took:", strings.Join(p.caught, " "))
	return len(p.escaped) == 0
}

// catch plays a break until its rule is seen broken, and returns the seeds that it took; 0: it escaped all. An error
// says that the break could not be built.
func (p *proof) catch(deliberate deliberateBreak) (seeds int, err error) {
	program, err := p.build(deliberate.patches)
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(filepath.Dir(program))
	for n := range p.seeds {
		result, err := soak.Run(p.firstSeed+uint64(n), p.options(program))
		if err != nil {
			fmt.Println(deliberate.name, err)
			continue
		}
		p.played++
		if breaks(result, deliberate.rule) {
			return n + 1, nil
		}
	}
	return 0, nil
}

// printClosingLine prints what the proof has seen, in one line.
func (p *proof) printClosingLine(proved bool) {
	word := "PROVED"
	if !proved {
		word = "FAILED"
	}
	fmt.Printf("%s soak seeds=%d failed=%d caught=%d escaped=%q%s\n",
		word, p.played, p.failed, len(p.caught), strings.Join(p.escaped, ","), p.total.closingCounts())
}
