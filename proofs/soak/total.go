package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"terntray/internal/soak"
)

// total is what all seeds have seen.
type total struct {
	counts   map[string]int
	crossed  map[soak.Rule]map[soak.FaultKind]int
	overlaps map[string]int
}

func newTotal() *total {
	return &total{
		counts:   map[string]int{},
		crossed:  map[soak.Rule]map[soak.FaultKind]int{},
		overlaps: map[string]int{},
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
	for rule, crossed := range result.ChecksDuringFault {
		if t.crossed[rule] == nil {
			t.crossed[rule] = map[soak.FaultKind]int{}
		}
		for kind, count := range crossed {
			t.crossed[rule][kind] += count
		}
	}
	for pair, count := range result.FaultOverlaps {
		t.overlaps[pair] += count
	}
}

// printTables prints what crossed what, as Markdown.
func (t *total) printTables() {
	rules := slices.Sorted(maps.Keys(t.crossed))
	fmt.Print("| trouble | struck | ")
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
			fmt.Printf(" %d |", t.crossed[rule][kind])
		}
		fmt.Println()
	}
	t.printOverlaps()
}

// printOverlaps prints the pairs of faults that were under way together, the most frequent first.
func (t *total) printOverlaps() {
	pairs := slices.Sorted(maps.Keys(t.overlaps))
	slices.SortStableFunc(pairs, func(a, b string) int { return t.overlaps[b] - t.overlaps[a] })
	fmt.Printf("%d pairs of troubles overlapped:\n", len(pairs))
	for _, pair := range pairs {
		fmt.Printf("%s %d; ", pair, t.overlaps[pair])
	}
	fmt.Println()
}

// closingCounts are the counts of the closing line, by name, each after a space; those of faults are in the tables.
func (t *total) closingCounts() string {
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(t.counts)) {
		if !soak.IsFaultKey(key) {
			fmt.Fprintf(&text, " %s=%d", key, t.counts[key])
		}
	}
	return text.String()
}
