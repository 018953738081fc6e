package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/internal/proof"
)

const (
	replicaCount = 6
	maxAttempts  = 3
	deadline     = time.Second
	shardCount   = 24
	queryRate    = 90 // queries per second of each class
	maxConns     = 500
	logFile      = "http2.log"

	// faultsPerMille is the number of faulty calls per thousand.
	faultsPerMille = 20

	// settings configure six cells of one replica each, three cells for each shard, and one class of each effect.
	settings = `{"balancers":1,"bounds":{"connectTimeout":150000,"idleClose":2000000,"maxAttempts":3,"maxOpen":20000,
"mayCancel":true,"multiplex":16,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":2,"callCost":0,"cells":6,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],"ranges":24,"span":3},
"lanes":[{"name":"look","aim":500000,"deadline":1000000,"effect":"pure"},
{"name":"rider-claim","aim":500000,"deadline":1000000,"effect":"side_effect"},
{"name":"token","aim":500000,"deadline":1000000,"effect":"token","window":400000}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`
)

// The classes of the settings.
const (
	classIdempotent    = "look"
	classNonIdempotent = "rider-claim"
	classKeyed         = "token"
)

// fatalLogTexts are texts in the program's log that make the rest of the log unreliable.
var fatalLogTexts = []string{"event=loop_panic", "event=overdue", "lines_dropped"}

// scenario runs a program with replicas that inject faults, under a steady load of all classes.
type scenario struct {
	program  string
	seed     uint64
	duration time.Duration
	keepLog  bool

	mu    sync.Mutex
	tally tally
}

// run runs the scenario and checks its results.
func (s *scenario) run() error {
	random := fake.NewRandom(s.seed)
	ledger := fake.NewExecutionLedger()
	fleet, err := proof.StartFleet(proof.FleetOptions{
		Program:     s.program,
		Settings:    settings,
		Replicas:    replicaCount,
		Behavior:    fake.Unreliable(ledger, random, faultsPerMille),
		Model:       s.modelOf,
		WriteConfig: fake.WriteHTTP2Config,
		Args:        []string{"-trace"},
	})
	if err != nil {
		return err
	}
	defer fleet.Close()
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { fake.InjectConnectionFaults(fleet.Replicas, random, stop) })
	s.sendLoads(fleet.Addr)
	close(stop)
	faults.Wait()
	fleet.Stop()
	log := fleet.Log()
	if s.keepLog {
		os.WriteFile(logFile, []byte(log), 0o600)
	}
	s.checkLog(log, ledger)
	s.checkLedger(ledger)
	return nil
}

// modelOf selects frames for a third of the replicas and HTTP/2 for the others.
func (s *scenario) modelOf(index int) string {
	if (uint64(index)+s.seed)%3 > 0 {
		return "h2"
	}
	return "frames"
}

// sendLoads sends a load of each class, and returns when all have ended.
func (s *scenario) sendLoads(addr string) {
	var loads sync.WaitGroup
	for index, class := range []string{classIdempotent, classNonIdempotent, classKeyed} {
		loads.Go(func() {
			load := fake.Load{
				Addr:       addr,
				Class:      class,
				Name:       class,
				Rate:       queryRate,
				Subqueries: 1 + (index+int(s.seed))%5,
				Shards:     shardCount,
				Deadline:   deadline,
				Seed:       s.seed,
				MaxConns:   maxConns,
				TextBytes:  1 + 3000*(int(s.seed)%4),
			}
			results := load.Run(s.duration)
			s.checkLoad(class, results, int(load.ExtraResponses.Load()))
		})
	}
	loads.Wait()
}

// checkLoad checks that each query got exactly one answer.
func (s *scenario) checkLoad(class string, results []fake.LoadResult, extraResponses int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, result := range results {
		s.tally.queries++
		switch result.Status {
		case http.StatusOK:
			s.tally.succeeded++
		case 0:
			s.tally.unanswered++
			s.tally.note("query of class %s due at %v got no answer", class, result.Due)
		}
	}
	s.tally.extraAnswers += extraResponses
}

// checkLog checks that no attempt that the program took for never executed was executed.
func (s *scenario) checkLog(log string, ledger *fake.ExecutionLedger) {
	if line, found := findFatalLine(log); found {
		s.tally.note("the program had an internal error or its log is incomplete: %s", line)
		s.tally.tooManyAttempts++
	}
	falseNeverRan, notes := fake.ReadTrace(log).FalseNeverRan(ledger)
	s.tally.falseNeverRan = falseNeverRan
	s.tally.notes = append(s.tally.notes, notes...)
}

// findFatalLine returns the first line of the log that contains one of fatalLogTexts.
func findFatalLine(log string) (line string, found bool) {
	for line := range strings.Lines(log) {
		for _, text := range fatalLogTexts {
			if strings.Contains(line, text) {
				return strings.TrimSpace(line), true
			}
		}
	}
	return "", false
}

// checkLedger checks the number of attempts of each subquery, and that no non-idempotent subquery was executed twice.
func (s *scenario) checkLedger(ledger *fake.ExecutionLedger) {
	for subquery, sent := range ledger.Received {
		if sent > maxAttempts {
			s.tally.tooManyAttempts++
			s.tally.note("subquery %s was sent %d times", subquery, sent)
		}
	}
	for subquery, ran := range ledger.Executions {
		s.tally.executions += ran
		if ran > 1 && strings.HasPrefix(subquery, classNonIdempotent) {
			s.tally.ranTwice++
			s.tally.note("non-idempotent subquery %s was executed %d times", subquery, ran)
		}
	}
}
