// Command values measures how long clients wait for sound values of one or several sizes, from a fresh start and beside
// spoilt replies, and proves that a co-ordinator serves no other values, sends no subquery again that a replica has
// answered, and ejects no sound replica. With -compare it measures other builds as well.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"terntray/internal/proof"
	"terntray/internal/valuetrial"
)

// Loads.
const (
	rate         = 20.0 // queries per second
	longQueries  = 160  // of a trial that begins with a fresh start
	shortQueries = 17   // that a co-ordinator of a large fleet gets
	shortTrials  = 4    // processes that get shortQueries each
	spoiltShare  = 40   // one reply in so many is spoilt
	slowRate     = 10.0 // queries per second: few replies share a connection with others
	slowQueries  = 80
	behindShare  = 8 // something follows one reply in so many
	seed         = 1
)

// load is the queries of a row of the table.
type load struct {
	name       string
	queries    int
	trials     int // processes, one after the other
	rate       float64
	disruption valuetrial.Disruption
	share      int // one reply in so many is disrupted
}

var loads = []load{
	{"8 s from a fresh start", longQueries, 1, rate, valuetrial.NoDisruption, 0},
	{"17 queries from a fresh start", shortQueries, shortTrials, rate, valuetrial.NoDisruption, 0},
	{"8 s, one reply in 40 spoilt", longQueries, 1, rate, valuetrial.Spoilt, spoiltShare},
	{"8 s, resets behind replies", slowQueries, 1, slowRate, valuetrial.ResetBehind, behindShare},
	{"8 s, ends behind replies", slowQueries, 1, slowRate, valuetrial.EndBehind, behindShare},
	{"8 s, fragments behind replies", slowQueries, 1, slowRate, valuetrial.FragmentBehind, behindShare},
	{"8 s, pauses within replies", slowQueries, 1, slowRate, valuetrial.PausedReplies, spoiltShare},
	{"8 s, noise behind replies", slowQueries, 1, slowRate, valuetrial.NoiseBehind, behindShare},
	{"8 s, one reply in 40 noise", longQueries, 1, rate, valuetrial.Noise, spoiltShare},
}

// sizesOf returns the numbers of sizes to play a variant with. What follows a reply matters most where sizes differ most.
func (load *load) sizesOf(variant variant) []int {
	if load.disruption == valuetrial.NoDisruption || load.disruption == valuetrial.Spoilt {
		return variant.sizes
	}
	return variant.sizes[len(variant.sizes)-1:]
}

// variant is a protocol and a class.
type variant struct {
	name  string
	http2 bool
	class valuetrial.Class
	sizes []int
}

var allSizes = []int{1, 2, 23, 3000}

var variants = []variant{
	{"frames, safe", false, valuetrial.Safe, allSizes},
	{"frames, unsafe", false, valuetrial.Unsafe, allSizes},
	{"HTTP/2, safe", true, valuetrial.Safe, allSizes},
	{"HTTP/2, unsafe", true, valuetrial.Unsafe, allSizes},
	{"two phases, frames", false, valuetrial.TwoPhases, []int{1}},
	{"two phases, HTTP/2", true, valuetrial.TwoPhases, []int{1}},
}

func main() {
	program := flag.String("program", "bin/terntray", "path of the program to test")
	compare := flag.String("compare", "", "other builds to measure, as paths separated by commas")
	only := flag.String("only", "", "part of the names of the variants to run; empty: all")
	onlyLoad := flag.String("load", "", "part of the names of the loads to run; empty: all")
	parallel := flag.Int("beside", 4, "maximum number of trials that run in parallel")
	logs := flag.String("logs", "", "folder for the programs' traces; empty: none")
	flag.Parse()
	programs := []string{*program}
	if *compare != "" {
		programs = append(programs, strings.Split(*compare, ",")...)
	}
	rows := newRows(programs, *only, *onlyLoad)
	proof.Parallel(len(rows), *parallel, func(index int) { rows[index].run(*logs) })
	printTable(rows)
	exit(rows, *program)
}

// row is a row of the table.
type row struct {
	program string
	variant variant
	load    load
	sizes   int
	result  valuetrial.Result
	err     error
}

func newRows(programs []string, only, onlyLoad string) []*row {
	var rows []*row
	for _, variant := range variants {
		if !strings.Contains(variant.name, only) {
			continue
		}
		for _, load := range loads {
			if !strings.Contains(load.name, onlyLoad) {
				continue
			}
			for _, sizes := range load.sizesOf(variant) {
				for _, program := range programs {
					rows = append(rows, &row{program: program, variant: variant, load: load, sizes: sizes})
				}
			}
		}
	}
	return rows
}

// run runs the trials of the row and adds up their results. It saves their traces in a folder, unless that is empty.
func (row *row) run(logs string) {
	for trial := range row.load.trials {
		options := valuetrial.Options{
			Path: row.program, Class: row.variant.class, HTTP2: row.variant.http2, Sizes: row.sizes,
			Disruption: row.load.disruption, Share: row.load.share,
			Queries: row.load.queries, Rate: row.load.rate, Seed: seed + uint64(trial),
		}
		if logs != "" {
			options.Args = []string{"-trace"}
		}
		result, err := valuetrial.Run(options)
		if err != nil {
			row.err = err
			return
		}
		row.result.Add(result)
		if logs != "" {
			row.err = row.saveLog(logs, trial, result.Log)
		}
	}
}

func (row *row) saveLog(folder string, trial int, log string) error {
	name := fmt.Sprintf("%s, %s, %d sizes, %s, %d.log",
		row.variant.name, row.load.name, row.sizes, filepath.Base(row.program), trial)
	return os.WriteFile(filepath.Join(folder, strings.ReplaceAll(name, "/", "")), []byte(log), 0o600)
}

func printTable(rows []*row) {
	fmt.Println("| replicas and class | load | sizes | build | median | p99 | served | rejected | failed | " +
		"of them answered | wrong | sent again | after | ejected | attempts | connections |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, row := range rows {
		result := &row.result
		fmt.Printf("| %s | %s | %d | %s | %v | %v | %d | %d | %d | %d | %d | %d | %s | %d | %d | %d |\n",
			row.variant.name, row.load.name, row.sizes, filepath.Base(row.program),
			result.Percentile(0.5).Round(time.Millisecond/10), result.Percentile(0.99).Round(time.Millisecond/10),
			len(result.Latencies), result.Rejected, result.Failed, result.FailedAnswered,
			result.Wrong, result.SentAgain, span(result.Gaps), result.Ejected, result.Attempts, result.Conns)
	}
}

// span returns the smallest and the largest of some durations.
func span(gaps []time.Duration) string {
	if len(gaps) == 0 {
		return "-"
	}
	return fmt.Sprintf("%v to %v", slices.Min(gaps).Round(time.Millisecond), slices.Max(gaps).Round(time.Millisecond))
}

// exit prints the closing line and exits. Spoilt replies may eject replicas, and one behind a sound reply that is withheld
// spoils that as well, so that its subquery is sent again.
func exit(rows []*row, program string) {
	var errs []error
	served, wrong, sentAgain, ejected := 0, 0, 0, 0
	for _, row := range rows {
		if row.err != nil {
			errs = append(errs, row.err)
		}
		if row.program != program {
			continue
		}
		served += len(row.result.Latencies)
		wrong += row.result.Wrong
		if row.load.disruption != valuetrial.Spoilt {
			sentAgain += row.result.SentAgain
		}
		if row.load.disruption == valuetrial.NoDisruption {
			ejected += row.result.Ejected
		}
	}
	proof.PrintErrors(errs)
	proved := len(errs)+wrong+sentAgain+ejected == 0 && served > 0
	proof.Exit(proved, "values", "served=%d wrong=%d sent_again=%d ejected=%d", served, wrong, sentAgain, ejected)
}
