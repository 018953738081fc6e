package soak

import (
	"sync"
	"time"
)

// clock is time since the soak's start. It is monotonic.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return time.Since(c.start) }

// arrival is one attempt as it reached a replica.
type arrival struct {
	query            string
	subquery         string
	replica          *replica
	firstByteAt      time.Duration // its frame's first byte
	lastByteAt       time.Duration // its frame's last byte
	timeout          time.Duration // how long the coordinator says that it waits
	delayed          bool          // the replica did not read just before: the bytes may have come earlier
	ran              bool
	replicaStartedAt time.Duration // of the replica's process that it reached

	// warmUpAllowance is how many arrivals in the overload window the settings allow at the replica's age; 0: it is
	// warm.
	warmUpAllowance float64
}

// answer is what a client got.
type answer struct {
	receivedAt time.Duration
	status     int
	complete   bool
	matches    map[int]string // by shard
}

// request is one as its client sent it.
type request struct {
	id             string
	class          *class
	coordinator    *coordinator
	process        *process
	reused         bool          // its connection had carried one before
	sentAt         time.Duration // its last byte
	deadline       time.Duration // from then
	shards         []int
	disconnectedAt time.Duration // when the client closed; 0: it did not
	answers        []answer
	closedAt       time.Duration // when the connection ended without an answer; 0: it did not
	trailingBytes  int           // behind the answer, that belong to no answer
}

// faultSpan is a stretch of time in which a fault was under way.
type faultSpan struct {
	kind     FaultKind
	target   string // what it struck
	from, to time.Duration
}

// ledger is all that was seen. It is complete once the soak has ended, and is read without its mutex from then on.
type ledger struct {
	mu          sync.Mutex
	arrivals    []*arrival
	replyValues map[string]map[string]bool // by subquery: what replicas gave
	requests    []*request
	faults      []faultSpan
}

func newLedger() *ledger { return &ledger{replyValues: map[string]map[string]bool{}} }

func (l *ledger) addArrival(arrival *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival)
}

// addReplyValue notes what a replica is about to give for a subquery.
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

// update alters a record under the ledger's mutex.
func (l *ledger) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// reachedReplica tells whether any attempt of a query has reached a replica.
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
