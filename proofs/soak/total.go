package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"terntray/internal/soak"
)

// total adds up the results of all seeds.
type total struct {
	counts            map[string]int
	checksDuringFault map[soak.Rule]map[soak.FaultKind]int
	overlaps          map[string]int
}

func newTotal() *total {
	return &total{
		counts:            map[string]int{},
		checksDuringFault: map[soak.Rule]map[soak.FaultKind]int{},
		overlaps:          map[string]int{},
	}
}

func (t *total) add(result *soak.Result) {
	for key, count := range result.Counts {
		if soak.IsMaximum(key) {
			t.counts[key] = max(t.counts[key], count)
		} else {
			t.counts[key] += count
		}
	}
	for rule, checksDuringFault := range result.ChecksDuringFault {
		if t.checksDuringFault[rule] == nil {
			t.checksDuringFault[rule] = map[soak.FaultKind]int{}
		}
		for kind, count := range checksDuringFault {
			t.checksDuringFault[rule][kind] += count
		}
	}
	for pair, count := range result.FaultOverlaps {
		t.overlaps[pair] += count
	}
}

// printTables prints a Markdown table with a line for each kind of fault: how often it occurred and, by rule, how many
// checks it overlapped. Below it, it prints the overlaps of faults.
func (t *total) printTables() {
	rules := slices.Sorted(maps.Keys(t.checksDuringFault))
	fmt.Print("| fault | count | ")
	for n, rule := range rules {
		if n > 0 {
			fmt.Print(" | ")
		}
		fmt.Print(rule)
	}
	fmt.Println(" |")
	fmt.Println("| --- | --- |" + strings.Repeat(" --- |", len(rules)))
	for _, kind := range soak.FaultKinds() {
		fmt.Printf("| %s | %d |", kind, t.counts[soak.FaultKey(kind)])
		for _, rule := range rules {
			fmt.Printf(" %d |", t.checksDuringFault[rule][kind])
		}
		fmt.Println()
	}
	t.printOverlaps()
}

// printOverlaps prints the pairs of faults that overlapped, the most frequent first.
func (t *total) printOverlaps() {
	pairs := slices.Sorted(maps.Keys(t.overlaps))
	slices.SortStableFunc(pairs, func(a, b string) int { return t.overlaps[b] - t.overlaps[a] })
	fmt.Printf("%d pairs of faults overlapped:\n", len(pairs))
	for _, pair := range pairs {
		fmt.Printf("%s %d; ", pair, t.overlaps[pair])
	}
	fmt.Println()
}

// closingCounts returns the counts for the closing line, sorted by name. Counts of faults are only in the tables.
func (t *total) closingCounts() string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(t.counts)) {
		if !soak.IsFaultKey(key) {
			fmt.Fprintf(&text, " %s=%d", key, t.counts[key])
		}
	}
	return text.String()
}
