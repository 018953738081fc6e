package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

// programConfig has the program speak HTTP/2 to some replicas and play queries of a class in two phases.
const programConfig = `{"replicas":[{"model":"h2","dialect":"http2"}],"phases":{"tracks":["report"]}}`

// How long a replica takes by default, for a summary and for the records.
const (
	summaryTime = time.Millisecond
	fetchTime   = 15 * time.Millisecond
)

// summarySuffix ends the id of a subquery in its first phase.
const summarySuffix = "s"

// dataset says what data the replicas hold.
type dataset struct {
	shards          int
	recordsPerShard int
	selectivity     float64 // share of a shard's records that a query matches
}

// phase is a set of what a replica was asked for.
type phase int

const (
	summarized phase = 1 << iota // in a form that can be a proof
	fetched
)

// fleet is a program among replicas with data.
type fleet struct {
	*proof.Fleet
	data         *fake.Shards
	summaryFault func() fake.SummaryFault                      // drawn for each call
	workTime     func(summary bool, records int) time.Duration // of a call

	mu      sync.Mutex
	unasked int
	phases  map[string]phase // by subquery id, without its suffix
}

func newFleet(program string, seed uint64, data dataset, maxAttempts int) (*fleet, error) {
	fleet := &fleet{
		data:         fake.NewShards(seed, data.shards, data.recordsPerShard, data.selectivity),
		summaryFault: func() fake.SummaryFault { return fake.NoFault },
		workTime:     defaultWorkTime,
		phases:       map[string]phase{},
	}
	workTime := func(summary bool, records int) time.Duration { return fleet.workTime(summary, records) }
	started, err := proof.StartFleet(proof.FleetOptions{
		Program:     program,
		Settings:    fmt.Sprintf(settings, maxAttempts),
		Replicas:    replicaCount,
		Behavior:    fleet.data.Behavior(fleet.noteCall, workTime),
		Model:       func(index int) string { return modelOf(index, seed) },
		WriteConfig: writeConfig,
	})
	fleet.Fleet = started
	return fleet, err
}

func writeConfig(folder string) (string, error) {
	path := filepath.Join(folder, "installation.json")
	return path, os.WriteFile(path, []byte(programConfig), 0o600)
}

// modelOf has half of the replicas speak HTTP/2; "m" is the model of the others.
func modelOf(index int, seed uint64) string {
	if (uint64(index)+seed)%2 == 0 {
		return "h2"
	}
	return "m"
}

func defaultWorkTime(summary bool, _ int) time.Duration {
	if summary {
		return summaryTime
	}
	return fetchTime
}

// noteCall notes in which phase a replica is asked, and draws the fault of its summary.
func (f *fleet) noteCall(_ *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
	fault := f.summaryFault()
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := fault != fake.NoSummary && fault != fake.MalformedSummary
	subquery := strings.TrimSuffix(call.ID, summarySuffix)
	if !summary {
		f.phases[subquery] |= fetched
	} else if usable {
		f.phases[subquery] |= summarized
	}
	return fault
}

// checkAsked counts the shards of an answered query that were neither summarized in a usable form nor asked; those of
// queries that were rejected do not count.
func (f *fleet) checkAsked(query string, shards []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, shard := range shards {
		subquery := fmt.Sprintf("%s.%d", query, shard)
		if f.phases[subquery] == 0 {
			f.unasked++
		}
		delete(f.phases, subquery)
	}
}

func (f *fleet) unaskedShards() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unasked
}
