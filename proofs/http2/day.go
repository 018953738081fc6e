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
	queryRate    = 90 // a second, of each class
	maxConns     = 500
	logFile      = "http2.log"

	// faultPercent are the calls of a hundred in which a replica misbehaves.
	faultPercent = 20

	// settings describe cells of three replicas each and three classes, one of each effect.
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

// brokenLog are words of the program's log after which nothing that it says can be judged.
var brokenLog = []string{"event=loop_panic", "event=overdue", "lines_dropped"}

// day is a program among replicas that misbehave, under a steady load of all classes.
type day struct {
	program  string
	seed     uint64
	duration time.Duration
	keepLog  bool

	mu      sync.Mutex
	verdict verdict
}

// play plays the day and judges it.
func (d *day) play() error {
	random := fake.NewRandom(d.seed)
	ledger := fake.NewExecutionLedger()
	fleet, err := proof.StartFleet(proof.FleetOptions{
		Program:     d.program,
		Settings:    settings,
		Replicas:    replicaCount,
		Behavior:    fake.Unreliable(ledger, random, faultPercent),
		Model:       d.modelOf,
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
	d.sendLoads(fleet.Addr)
	close(stop)
	faults.Wait()
	fleet.Stop()
	log := fleet.Log()
	if d.keepLog {
		os.WriteFile(logFile, []byte(log), 0o600)
	}
	d.judgeLog(log, ledger)
	d.judgeLedger(ledger)
	return nil
}

// modelOf has a third of the replicas speak frames.
func (d *day) modelOf(index int) string {
	if (uint64(index)+d.seed)%3 > 0 {
		return "h2"
	}
	return "frames"
}

// sendLoads sends a load of each class, and returns once all are answered.
func (d *day) sendLoads(addr string) {
	var loads sync.WaitGroup
	for index, class := range []string{classIdempotent, classNonIdempotent, classKeyed} {
		loads.Go(func() {
			load := fake.Load{
				Addr:       addr,
				Class:      class,
				Name:       class,
				Rate:       queryRate,
				Subqueries: 1 + (index+int(d.seed))%5,
				Shards:     shardCount,
				Deadline:   deadline,
				Seed:       d.seed,
				MaxConns:   maxConns,
				TextBytes:  1 + 3000*(int(d.seed)%4),
			}
			results := load.Run(d.duration)
			d.judgeLoad(class, results, int(load.ExtraResponses.Load()))
		})
	}
	loads.Wait()
}

// judgeLoad judges that each query had one answer.
func (d *day) judgeLoad(class string, results []fake.LoadResult, extraResponses int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, result := range results {
		d.verdict.queries++
		switch result.Status {
		case http.StatusOK:
			d.verdict.succeeded++
		case 0:
			d.verdict.unanswered++
			d.verdict.note("a retrieval of %s at %v had no answer", class, result.Due)
		}
	}
	d.verdict.doubleAnswer += extraResponses
}

// judgeLog judges that no attempt that is held to have never run did run.
func (d *day) judgeLog(log string, ledger *fake.ExecutionLedger) {
	if line, broken := findBroken(log); broken {
		d.verdict.note("the program broke, or its log has lost lines: %s", line)
		d.verdict.overLimit++
	}
	falseNever, notes := fake.ReadTrace(log).FalseNeverRan(ledger)
	d.verdict.falseNever = falseNever
	d.verdict.notes = append(d.verdict.notes, notes...)
}

// findBroken is the first line of a log that says that the program broke or lost lines; false: none does.
func findBroken(log string) (line string, broken bool) {
	for line := range strings.Lines(log) {
		for _, words := range brokenLog {
			if strings.Contains(line, words) {
				return strings.TrimSpace(line), true
			}
		}
	}
	return "", false
}

// judgeLedger judges how often subqueries were sent, and that none of the non-idempotent ran twice.
func (d *day) judgeLedger(ledger *fake.ExecutionLedger) {
	for subquery, sent := range ledger.Received {
		if sent > maxAttempts {
			d.verdict.overLimit++
			d.verdict.note("%s was sent %d times", subquery, sent)
		}
	}
	for subquery, ran := range ledger.Executions {
		d.verdict.executions += ran
		if ran > 1 && strings.HasPrefix(subquery, classNonIdempotent) {
			d.verdict.ranTwice++
			d.verdict.note("single-use %s ran %d times", subquery, ran)
		}
	}
}
