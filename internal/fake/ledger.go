package fake

import (
	"math/rand/v2"
	"sync"
)

// ExecutionLedger records which subqueries were executed, independently of all that a co-ordinator counts.
type ExecutionLedger struct {
	mu           sync.Mutex
	Received     map[string]int            // by subquery id: how often it reached a replica completely, executed or not
	Executions   map[string]int            // by subquery id: how often it was executed, anywhere
	ExecutionsAt map[string]map[string]int // by replica and subquery id
}

// NewExecutionLedger makes an empty ledger.
func NewExecutionLedger() *ExecutionLedger {
	return &ExecutionLedger{
		Received:     map[string]int{},
		Executions:   map[string]int{},
		ExecutionsAt: map[string]map[string]int{},
	}
}

// NoteReceived records that a subquery has reached a replica.
func (ledger *ExecutionLedger) NoteReceived(subquery string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.Received[subquery]++
}

// NoteExecuted records that a replica executes a subquery.
func (ledger *ExecutionLedger) NoteExecuted(uid, subquery string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if ledger.ExecutionsAt[uid] == nil {
		ledger.ExecutionsAt[uid] = map[string]int{}
	}
	ledger.Executions[subquery]++
	ledger.ExecutionsAt[uid][subquery]++
}

// randomStream sets the draws of Random apart from others with the same seed.
const randomStream = 11

// Random is a source of random numbers that goroutines share.
type Random struct {
	mu        sync.Mutex
	generator *rand.Rand
}

// NewRandom makes a source from a seed.
func NewRandom(seed uint64) *Random {
	return &Random{generator: rand.New(rand.NewPCG(seed, randomStream))}
}

// IntN draws a number from 0 up to n, without n.
func (random *Random) IntN(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.generator.IntN(n)
}
