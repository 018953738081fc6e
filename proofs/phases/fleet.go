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

// installationFile selects HTTP/2 for replicas of model h2 and two-phase queries for the class report.
const installationFile = `{"replicas":[{"model":"h2","dialect":"http2"}],"phases":{"tracks":["report"]}}`

// Default durations of the two calls of a replica: for the summary and for the records.
const (
	summaryTime = time.Millisecond
	fetchTime   = 15 * time.Millisecond
)

// summarySuffix is the suffix of subquery ids in the first phase.
const summarySuffix = "s"

// dataset describes the data of the replicas.
type dataset struct {
	shards          int
	recordsPerShard int
	selectivity     float64 // share of the shards that have records of score 0 or more
}

// phaseSet is the set of phases in which a shard was called.
type phaseSet int

const (
	summarized phaseSet = 1 << iota // with a usable summary
	fetched
)

// fleet is a running program whose replicas hold data.
type fleet struct {
	*proof.Fleet
	data         *fake.Shards
	summaryFault func() fake.SummaryFault                      // returns the fault of a call
	workTime     func(summary bool, records int) time.Duration // returns the duration of a call

	mu            sync.Mutex
	wronglyPruned int                 // shards pruned without a usable summary
	phases        map[string]phaseSet // by subquery id without summarySuffix
}

func newFleet(program string, seed uint64, data dataset, maxAttempts int) (*fleet, error) {
	fleet := &fleet{
		data:         fake.NewShards(seed, data.shards, data.recordsPerShard, data.selectivity),
		summaryFault: func() fake.SummaryFault { return fake.NoFault },
		workTime:     defaultWorkTime,
		phases:       map[string]phaseSet{},
	}
	workTime := func(summary bool, records int) time.Duration { return fleet.workTime(summary, records) }
	started, err := proof.StartFleet(proof.FleetOptions{
		Program:     program,
		Settings:    fmt.Sprintf(settings, maxAttempts),
		Replicas:    replicaCount,
		Behavior:    fleet.data.Behavior(fleet.recordCall, workTime),
		Model:       func(index int) string { return modelOf(index, seed) },
		WriteConfig: writeConfig,
	})
	fleet.Fleet = started
	return fleet, err
}

func writeConfig(folder string) (string, error) {
	path := filepath.Join(folder, "installation.json")
	return path, os.WriteFile(path, []byte(installationFile), 0o600)
}

// modelOf selects HTTP/2 for half of the replicas and frames, with model "m", for the others.
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

// recordCall records the phase of a call and returns the fault of its summary.
func (f *fleet) recordCall(_ *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
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

// checkPruning counts the shards of an answered query that were pruned without a usable summary: they were neither
// summarized nor fetched. It is called only for correct answers: a rejected query may leave any shard out.
func (f *fleet) checkPruning(query string, shards []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, shard := range shards {
		subquery := fmt.Sprintf("%s.%d", query, shard)
		if f.phases[subquery] == 0 {
			f.wronglyPruned++
		}
		delete(f.phases, subquery)
	}
}

func (f *fleet) wronglyPrunedShards() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wronglyPruned
}
