package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	defaultLasts = 500 * time.Millisecond
	usualRate    = 30.0            // queries per second of the usual clients
	usualConns   = 60              // connections of the usual clients
	deadline     = 2 * time.Second // of the usual queries
	work         = 20 * time.Millisecond
	replicaCount = 3
	shardCount   = 24
	sockets      = 1024
	// leaveGrace is the time after a client's close within which an attempt may still begin, with the protocol's slack.
	leaveGrace = 150 * time.Millisecond

	settings = `{"balancers":1,"bounds":{"connectTimeout":250000,"idleClose":4000000,"maxAttempts":3,"maxOpen":300,
"mayCancel":true,"multiplex":32,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":1,"classFetch":[0,0],"classNeed":[1.0,1.0],"ranges":24,"span":1},
"lanes":[{"name":"look","aim":1000000,"deadline":4000000,"effect":"pure"},
{"name":"claim","aim":1000000,"deadline":4000000,"effect":"side_effect"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// run is one flood against one process.
type run struct {
	program     string
	flood       flood
	memoryMB    int
	lasts       time.Duration
	checksShare bool  // the usual clients must be served beside a flood of one client
	err         error // the run could not be made

	// Usual queries. Unsent ones found no connection, closed ones had theirs closed without an answer, and lost ones had
	// neither an answer nor a close.
	served, rejected, failed, unsent, closed, lost int

	peak         int // bytes of memory
	replicaConns int // connections that replicas accepted
	ranTwice     int // subqueries of non-idempotent queries, and of queries whose id came again
	afterLeaving int // subqueries that began more than leaveGrace after their client had left
	crashed      bool
	errs         []string // of lost queries
}

// play starts the program, its replicas and the usual clients, and plays the flood.
func (run *run) play() error {
	var replicas []*fake.Replica
	ledger := &ledger{valueBytes: run.flood.valueBytes}
	for index := range replicaCount {
		replica, err := fake.NewReplica(fmt.Sprint("s-", index), 0, ledger.succeedAfterWork)
		if err != nil {
			return err
		}
		defer replica.Close()
		replica.NoLedger = true // the texts would need much memory
		replicas = append(replicas, replica)
	}
	discovery, err := fake.NewDiscovery("127.0.0.1:0", replicas...)
	if err != nil {
		return err
	}
	defer discovery.Server.Close()
	program, err := fake.Start(fake.Options{
		Path: run.program, Settings: settings, Discovery: discovery.Listener.Addr().String(),
		Known: fake.EndpointList(1, true, replicas), Sockets: sockets, MemoryMB: run.memoryMB,
	})
	if err != nil {
		return err
	}
	defer program.Stop()
	run.playOn(program, replicas, ledger)
	return nil
}

func (run *run) playOn(program *fake.Program, replicas []*fake.Replica, ledger *ledger) {
	load := &fake.Load{
		Addr: program.Addr, Class: "look", Name: "usual", Rate: usualRate, Subqueries: 2, Shards: shardCount,
		Deadline: deadline, Seed: 1, MaxConns: usualConns,
	}
	attack := newAttack(program.Addr, run.lasts)
	var playing sync.WaitGroup
	playing.Go(func() { run.flood.play(attack) })
	results := load.Run(run.lasts)
	playing.Wait()
	for _, result := range results {
		run.count(result)
		if result.Err != nil {
			run.errs = append(run.errs, fmt.Sprintf("at %v after %v: %v", result.Due, result.Latency, result.Err))
		}
	}
	run.peak = program.PeakMemory()
	run.crashed = program.Ended() || strings.Contains(program.Log(), "event=violation") || strings.Contains(program.Log(), "panic")
	run.readLedger(ledger, attack)
	for _, replica := range replicas {
		_, conns := replica.Traffic()
		run.replicaConns += conns
	}
}

// ledger records when replicas received which subqueries.
type ledger struct {
	valueBytes int // size of the values; 0: a few

	mu      sync.Mutex
	entries []ledgerEntry
}

type ledgerEntry struct {
	id string // of the subquery
	at time.Time
}

func (ledger *ledger) succeedAfterWork(replica *fake.Replica, call fake.Call) {
	ledger.mu.Lock()
	ledger.entries = append(ledger.entries, ledgerEntry{call.ID, time.Now()})
	ledger.mu.Unlock()
	time.AfterFunc(work, func() { ledger.reply(replica, call) })
}

func (ledger *ledger) reply(replica *fake.Replica, call fake.Call) {
	if ledger.valueBytes == 0 {
		fake.Succeed(replica, call)
		return
	}
	replica.Reply(call, "OK", strings.Repeat("v", ledger.valueBytes))
}

func (run *run) count(result fake.LoadResult) {
	switch result.Status {
	case http.StatusOK:
		run.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		run.rejected++
	case 0:
		run.countUnanswered(result.Err)
	default:
		run.failed++
	}
}

func (run *run) countUnanswered(err error) {
	switch {
	case errors.Is(err, fake.ErrNoConnection):
		run.unsent++
	case errors.Is(err, os.ErrDeadlineExceeded):
		run.lost++
	default:
		run.closed++
	}
}

// readLedger compares what the replicas ran with what clients asked for.
func (run *run) readLedger(ledger *ledger, attack *attack) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ran := map[string]int{}
	for _, entry := range ledger.entries {
		ran[entry.id]++
		id, _, _ := strings.Cut(entry.id, ".")
		leftAt, left := attack.leftAt(id)
		if left && entry.at.Sub(leftAt) > leaveGrace {
			run.afterLeaving++
		}
	}
	for id, times := range ran {
		if times > 1 && strings.HasPrefix(id, onceOnly) {
			run.ranTwice += times - 1
		}
	}
}

func (run *run) memoryShare() float64 { return float64(run.peak) / float64(run.memoryMB<<20) }

// holds reports whether nothing was broken.
func (run *run) holds() bool {
	usual := run.served + run.rejected + run.failed + run.unsent + run.closed + run.lost
	isServed := !run.checksShare || !run.flood.leavesOthersTheirShare() || float64(usual-run.served) <= maxUnserved*float64(usual)
	isClean := run.lost == 0 && run.ranTwice == 0 && run.afterLeaving == 0 && !run.crashed
	return run.err == nil && isServed && isClean && run.memoryShare() <= 1
}

func (run *run) line() string {
	if run.err != nil {
		return fmt.Sprintf("%-28s %3d MB: could not run: %v", run.flood.name, run.memoryMB, run.err)
	}
	verdict := "held"
	if !run.holds() {
		verdict = "BROKEN"
	}
	return fmt.Sprintf("%-28s %3d MB: %-6s peak=%.1f MB usual served=%d rejected=%d failed=%d unsent=%d closed=%d lost=%d "+
		"replica_conns=%d ran_twice=%d after_leaving=%d crashed=%t",
		run.flood.name, run.memoryMB, verdict, float64(run.peak)/(1<<20), run.served, run.rejected, run.failed,
		run.unsent, run.closed, run.lost,
		run.replicaConns, run.ranTwice, run.afterLeaving, run.crashed)
}
