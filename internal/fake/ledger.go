package fake

import (
	"math/rand/v2"
	"sync"
)

// ExecutionLedger records which subqueries the replicas executed, independently of a co-ordinator's own counters.
type ExecutionLedger struct {
	mu           sync.Mutex
	Received     map[string]int            // by subquery id: calls that reached the behavior of any replica
	Executions   map[string]int            // by subquery id: executions on all replicas
	ExecutionsAt map[string]map[string]int // executions by replica and subquery id
}

// NewExecutionLedger returns an empty ledger.
func NewExecutionLedger() *ExecutionLedger {
	return &ExecutionLedger{
		Received:     map[string]int{},
		Executions:   map[string]int{},
		ExecutionsAt: map[string]map[string]int{},
	}
}

// RecordReceived records that a call has reached a replica's behavior, which may execute or reject it. Calls that a
// replica drops from its queue are not recorded.
func (ledger *ExecutionLedger) RecordReceived(subquery string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.Received[subquery]++
}

// RecordExecuted records that a replica executes a subquery. The uid is the replica's.
func (ledger *ExecutionLedger) RecordExecuted(uid, subquery string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if ledger.ExecutionsAt[uid] == nil {
		ledger.ExecutionsAt[uid] = map[string]int{}
	}
	ledger.Executions[subquery]++
	ledger.ExecutionsAt[uid][subquery]++
}

// randomStream is the PCG stream that keeps Random's draws independent of others with the same seed.
const randomStream = 11

// Random is a source of random numbers that is safe for concurrent use.
type Random struct {
	mu        sync.Mutex
	generator *rand.Rand
}

// NewRandom returns a source with the given seed.
func NewRandom(seed uint64) *Random {
	return &Random{generator: rand.New(rand.NewPCG(seed, randomStream))}
}

// IntN returns a random number in [0, n).
func (random *Random) IntN(n int) int {
	random.mu.Lock()
	defer random.mu.Unlock()
	return random.generator.IntN(n)
}
