// Package valuetrial runs a co-ordinator process against fake replicas whose values have one or several sizes, and
// measures how long clients wait for sound values and what the co-ordinator does meanwhile: which subqueries it sends
// again although a replica has answered them, and which replicas it ejects.
package valuetrial

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
	"terntray/valuecheck"
)

const (
	replicaCount = 24
	cells        = 8
	shards       = 24
	subqueries   = 3 // of each query
	maxConns     = 200
	queryName    = "q" // followed by the number of a query in its ID
	work         = 5 * time.Millisecond
	// giveUpMargin is how long before its deadline a query is given up at the earliest.
	giveUpMargin = 40 * time.Millisecond
	// Deadline is the deadline of each query.
	Deadline = 420 * time.Millisecond

	settings = `{"balancers":1,"bounds":{"connectTimeout":250000,"idleClose":30000000,"maxAttempts":3,"maxOpen":300,
"mayCancel":true,"multiplex":8,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":8,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],"ranges":24,"span":1},
"lanes":[{"name":"look","aim":200000,"deadline":420000,"effect":"pure"},
{"name":"claim","aim":200000,"deadline":420000,"effect":"side_effect"},
{"name":"report","aim":200000,"deadline":420000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`

	installation = `{"replicas":[{"model":"h2","dialect":"http2"}],"phases":{"tracks":["report"]}}`
)

// Class is the class of a trial's queries.
type Class string

// The classes.
const (
	Safe      Class = "look"   // idempotent
	Unsafe    Class = "claim"  // non-idempotent
	TwoPhases Class = "report" // idempotent, in two phases; values are JSON objects
)

// Disruption is what happens to a share of the replies.
type Disruption string

// The disruptions. In the first two the replies themselves are not sound.
const (
	NoDisruption   Disruption = ""
	Spoilt         Disruption = "spoilt"   // the length of a reply is too small, or noise comes in its place
	Noise          Disruption = "noise"    // noise comes in place of a reply
	NoiseBehind    Disruption = "behind"   // noise follows a reply at once, and nothing after it
	ResetBehind    Disruption = "reset"    // the connection is reset 0.1 to 0.3 s after a reply
	EndBehind      Disruption = "end"      // the connection ends in order 0.1 to 0.3 s after a reply
	FragmentBehind Disruption = "fragment" // the first bytes of a message follow a reply, and nothing after them
	PausedReplies  Disruption = "pause"    // the replica stands still for 0.4 s when it has written the first bytes of a reply
)

// Options configure a trial.
type Options struct {
	Path string   // of the program
	Env  []string // additional environment of the program
	Args []string // additional arguments of serve

	Class      Class
	HTTP2      bool // the replicas' protocol; false: frames
	Sizes      int  // number of different sizes of values
	Disruption Disruption
	Share      int // one reply in so many is disrupted; 0: none
	Queries    int
	Rate       float64 // queries per second
	Seed       uint64
}

// Result is what was measured.
type Result struct {
	Latencies []time.Duration // of queries that were served, in ascending order
	Failed    int             // queries with status 500 or without an answer
	// FailedAnswered counts those of them that failed although each of their subqueries had a sound reply: before their
	// deadline, or long enough after the last reply for it to be confirmed.
	FailedAnswered int
	Rejected       int
	Wrong          int // queries that were served a value that no replica made for them
	// SentAgain counts attempts that arrived more than sentAgainAfter after a replica's sound reply to their subquery.
	SentAgain int
	Gaps      []time.Duration // of these attempts: the time since that reply
	Ejected   int             // replicas ejected, counted anew each time
	Attempts  int
	Conns     int // connections made to replicas
	Log       string
}

// sentAgainAfter is the protocol's slack for attempts that begin although their subquery is over.
const sentAgainAfter = 100 * time.Millisecond

// Add adds another trial's result.
func (result *Result) Add(other *Result) {
	result.Latencies = append(result.Latencies, other.Latencies...)
	slices.Sort(result.Latencies)
	result.Failed += other.Failed
	result.FailedAnswered += other.FailedAnswered
	result.Rejected += other.Rejected
	result.Wrong += other.Wrong
	result.SentAgain += other.SentAgain
	result.Gaps = append(result.Gaps, other.Gaps...)
	result.Ejected += other.Ejected
	result.Attempts += other.Attempts
	result.Conns += other.Conns
}

// Percentile returns the latency that a share of the served queries did not exceed.
func (result *Result) Percentile(share float64) time.Duration {
	if len(result.Latencies) == 0 {
		return 0
	}
	index := min(len(result.Latencies)-1, int(share*float64(len(result.Latencies))))
	return result.Latencies[index]
}

// Run starts the program, sends the queries and measures.
func Run(options Options) (*Result, error) {
	folder, err := os.MkdirTemp("", "valuetrial")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	fleet, err := startFleet(options, folder)
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	return fleet.run(options), nil
}

// fleet is a co-ordinator with its replicas.
type fleet struct {
	replies   *replies
	replicas  []*fake.Replica
	discovery *fake.Discovery
	program   *fake.Program
}

func startFleet(options Options, folder string) (*fleet, error) {
	started := &fleet{replies: newReplies(options)}
	if err := started.startAll(options, folder); err != nil {
		started.stop()
		return nil, err
	}
	return started, nil
}

func (fleet *fleet) startAll(options Options, folder string) error {
	for index := range replicaCount {
		replica, err := fake.NewReplica(fmt.Sprint("s-", index), index%cells, fleet.replies.behavior())
		if err != nil {
			return err
		}
		replica.NoLedger = true
		replica.ValueOf = fleet.replies.valueOf
		replica.OmitsContentLength = true
		if options.HTTP2 {
			replica.Model = "h2"
		}
		fleet.replicas = append(fleet.replicas, replica)
	}
	discovery, err := fake.NewDiscovery("127.0.0.1:0", fleet.replicas...)
	if err != nil {
		return err
	}
	fleet.discovery = discovery
	file := folder + "/installation.json"
	if err := os.WriteFile(file, []byte(installation), 0o600); err != nil {
		return err
	}
	fleet.program, err = fake.Start(fake.Options{
		Path: options.Path, Env: options.Env, Settings: settings, Discovery: discovery.Listener.Addr().String(),
		Known: fake.EndpointList(1, true, fleet.replicas), Args: append([]string{"-installation", file}, options.Args...),
	})
	return err
}

func (fleet *fleet) stop() {
	if fleet.program != nil {
		fleet.program.Stop()
	}
	if fleet.discovery != nil {
		fleet.discovery.Server.Close()
	}
	for _, replica := range fleet.replicas {
		replica.Close()
	}
}

// failedAnswered reports whether a query that failed counts in Result.FailedAnswered.
func (fleet *fleet) failedAnswered(number int, due time.Time, latency time.Duration) bool {
	failedAt := due.Add(latency)
	lastAnswered, all := fleet.replies.lastAnswered(number, failedAt)
	wasEarly := latency < Deadline-giveUpMargin
	wasConfirmed := failedAt.Sub(lastAnswered) > valuecheck.ConfirmationWait+giveUpMargin
	return all && (wasEarly || wasConfirmed)
}

// run sends the queries and returns the result.
func (fleet *fleet) run(options Options) *Result {
	result := &Result{}
	var mu sync.Mutex
	load := fake.Load{
		Addr: fleet.program.Addr, Class: string(options.Class), Name: queryName, Rate: options.Rate, Subqueries: subqueries,
		Shards: shards, Deadline: Deadline, Seed: options.Seed, MaxConns: maxConns, Text: queryText,
		OnAnswer: func(number, firstShard int, body []byte) {
			if fleet.replies.isAnswer(number, firstShard, body) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			result.Wrong++
		},
	}
	if options.Class == TwoPhases {
		load.Question = "{}"
	}
	lasts := time.Duration((float64(options.Queries) + 0.5) / options.Rate * float64(time.Second))
	start := time.Now()
	for number, query := range load.Run(lasts) {
		switch query.Status {
		case http.StatusOK:
			result.Latencies = append(result.Latencies, query.Latency)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			result.Rejected++
		default:
			result.Failed++
			if fleet.failedAnswered(number, start.Add(query.Due), query.Latency) {
				result.FailedAnswered++
			}
		}
	}
	slices.SortFunc(result.Latencies, cmp.Compare)
	result.Gaps, result.Attempts = fleet.replies.sentAgain()
	result.SentAgain = len(result.Gaps)
	result.Log = fleet.program.Log()
	result.Ejected = strings.Count(result.Log, " ejected: ")
	for _, replica := range fleet.replicas {
		_, conns := replica.Traffic()
		result.Conns += conns
	}
	return result
}
