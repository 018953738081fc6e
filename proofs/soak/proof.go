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

// maxPrinted limits the number of violations printed per seed.
const maxPrinted = 12

// rates holds the faults of system calls that are injected throughout a run, per million calls.
var rates = map[faultbuild.Setting]int64{
	faultbuild.Interrupted: 5_000,
	faultbuild.ShortReads:  30_000,
	faultbuild.ShortWrites: 30_000,
}

// proof runs seeds and adds up their results.
type proof struct {
	*flags
	total       *total
	seedsRun    int
	seedsFailed int      // seeds with violations
	caught      []string // deliberate breaks, as "name=seeds"
	escaped     []string // deliberate breaks that were not caught
}

func newProof(flags *flags) *proof { return &proof{flags: flags, total: newTotal()} }

// build builds the program with fault injection and the given patches. The caller must remove the program's folder.
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
		Scenario:     soak.ScenarioFaults,
		Duration:     p.duration,
		FaultStreams: p.faultStreams,
		Without:      p.without,
		LogFolder:    p.logFolder,
		Rates:        rates,
		ExpectPanics: p.panics,
	}
}

// runSeeds runs all seeds, with panicPatches if -panics is set. It reports whether no seed violated a rule.
func (p *proof) runSeeds() bool {
	var patches []faultbuild.Patch
	if p.panics {
		patches = panicPatches
	}
	program, err := p.build(patches)
	if err != nil {
		fmt.Println(err)
		return false
	}
	defer os.RemoveAll(filepath.Dir(program))
	completed := p.runScenario(program, soak.ScenarioFaults, p.seeds) &&
		p.runScenario(program, soak.ScenarioRestarts, p.restartSeeds)
	return completed && p.seedsFailed == 0
}

// runScenario runs seeds of a scenario and prints a line for each. It reports whether all could be run.
func (p *proof) runScenario(program string, scenario soak.Scenario, seeds int) bool {
	options := p.options(program)
	options.Scenario = scenario
	for n := range seeds {
		seed := p.firstSeed + uint64(n)
		result, err := soak.Run(seed, options)
		if err != nil {
			fmt.Printf("seed %d %s: run failed: %v\n", seed, scenario, err)
			return false
		}
		p.seedsRun++
		p.total.add(result)
		fmt.Printf("seed %d %s: %d violations, %s\n", seed, scenario, len(result.Violations), result.Summary())
		if len(result.Violations) > 0 {
			p.seedsFailed++
			p.printViolations(result, scenario)
			if p.shrink {
				p.shrinkFaults(options, result)
			}
		}
	}
	return true
}

func (p *proof) printViolations(result *soak.Result, scenario soak.Scenario) {
	counts := "-seeds 1 -restarts 0"
	if scenario == soak.ScenarioRestarts {
		counts = "-seeds 0 -restarts 1"
	}
	fmt.Printf("rerun: go run ./proofs/soak -first %d %s -lasts %v -beside %d -without %q\n",
		result.Seed, counts, p.duration, p.faultStreams, formatKinds(p.without))
	for _, violation := range result.Violations[:min(len(result.Violations), maxPrinted)] {
		fmt.Println("  ", violation)
	}
}

// shrinkFaults leaves out one kind of fault after another as long as the seed still violates the same rule, and prints
// the kinds that are not needed.
func (p *proof) shrinkFaults(options soak.Options, failed *soak.Result) {
	rule := failed.Violations[0].Rule
	for _, kind := range soak.FaultKinds() {
		reduced := options
		reduced.Without = append(slices.Clone(options.Without), kind)
		result, err := soak.Run(failed.Seed, reduced)
		if err == nil && violates(result, rule) {
			options = reduced
		}
	}
	fmt.Printf("seed %d still violates %q with -without %q\n", failed.Seed, rule, formatKinds(options.Without))
}

func violates(result *soak.Result, rule soak.Rule) bool {
	return slices.ContainsFunc(result.Violations, func(v soak.Violation) bool { return v.Rule == rule })
}

// runBreaks runs each deliberate break, or the one named by -break, and reports whether all were caught.
func (p *proof) runBreaks() bool {
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
	fmt.Println("caught, with the number of seeds needed:", strings.Join(p.caught, " "))
	return len(p.escaped) == 0
}

// catch runs a deliberate break until the violation of its rule is reported. It returns the number of seeds needed, or
// 0 if no seed caught the break. It returns an error if the program cannot be built.
func (p *proof) catch(deliberate deliberateBreak) (seeds int, err error) {
	program, err := p.build(deliberate.patches)
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(filepath.Dir(program))
	for n := range p.seeds {
		options := p.options(program)
		options.Scenario = deliberate.scenario()
		result, err := soak.Run(p.firstSeed+uint64(n), options)
		if err != nil {
			fmt.Println(deliberate.name, err)
			continue
		}
		p.seedsRun++
		if violates(result, deliberate.rule) {
			return n + 1, nil
		}
	}
	return 0, nil
}

// printClosingLine prints the result of the proof in one line.
func (p *proof) printClosingLine(proved bool) {
	verdict := "PROVED"
	if !proved {
		verdict = "FAILED"
	}
	fmt.Printf("%s soak seeds=%d failed=%d caught=%d escaped=%q%s\n",
		verdict, p.seedsRun, p.seedsFailed, len(p.caught), strings.Join(p.escaped, ","), p.total.closingCounts())
}
