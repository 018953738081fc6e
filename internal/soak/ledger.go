package soak

import (
	"sync"
	"time"
)

// clock measures the time since the start of the soak. It is monotonic.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// arrival is an attempt that reached a replica.
type arrival struct {
	query            string
	subquery         string
	replica          *replica
	firstByteAt      time.Duration // first byte of its frame
	lastByteAt       time.Duration // last byte of its frame
	timeout          time.Duration // how long the co-ordinator will wait, as stated in the frame
	delayed          bool          // it may have been sent much earlier: the replica was not reading
	ran              bool
	conn             *replicaConn  // that carried it
	answeredAt       time.Duration // when an OK was written in full; 0: none was
	replicaStartedAt time.Duration // start of the replica's process

	// warmUpAllowance is how many arrivals the settings allow in an overload window at the replica's age; 0: the
	// replica is warm, and its load is not checked.
	warmUpAllowance float64
}

// answer is a response that a client received.
type answer struct {
	receivedAt time.Duration
	status     int
	complete   bool
	matches    map[int]string // by shard
}

// request is a request of a client.
type request struct {
	id             string
	class          *class
	coordinator    *coordinator
	process        *process
	reused         bool          // its connection had been used before
	sentAt         time.Duration // time at which it was written in full
	deadline       time.Duration // relative to sentAt
	shards         []int
	disconnectedAt time.Duration // when the client closed the connection; 0: it did not; sentAt: it counts as not sent
	answers        []answer
	closedAt       time.Duration // when the connection was closed without an answer; 0: it was not
	trailingBytes  int           // bytes received after the answer
}

// faultSpan is an interval during which a fault was active.
type faultSpan struct {
	kind     FaultKind
	target   string
	from, to time.Duration
}

// ledger records what the replicas, the clients and the fault injectors observed. It is complete once the soak has
// ended, and is read without its mutex from then on.
type ledger struct {
	mu          sync.Mutex
	arrivals    []*arrival
	replyValues map[string]map[string]bool // by subquery: values that replicas returned
	requests    []*request
	faults      []faultSpan
}

func newLedger() *ledger { return &ledger{replyValues: map[string]map[string]bool{}} }

func (l *ledger) addArrival(arrival *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival)
}

// addReplyValue records a value that a replica is about to return for a subquery.
func (l *ledger) addReplyValue(subquery, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.replyValues[subquery] == nil {
		l.replyValues[subquery] = map[string]bool{}
	}
	l.replyValues[subquery][value] = true
}

func (l *ledger) addRequest(request *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
}

func (l *ledger) addFault(fault faultSpan) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fault)
}

// update calls a function that changes a record, with the mutex held.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// reachedReplica reports whether any attempt of a query has reached a replica.
func (l *ledger) reachedReplica(query string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, arrival := range l.arrivals {
		if arrival.query == query {
			return true
		}
	}
	return false
}
