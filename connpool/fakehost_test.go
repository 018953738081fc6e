package connpool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// testReplica is the replica that the tests send all attempts to.
const testReplica scheduler.ReplicaID = 1

// fakeHost is a Host whose connections behave as a test says. It records the calls of the pool.
type fakeHost struct {
	t    *testing.T
	pool *Pool
	now  time.Duration

	opened     []ConnID // in order
	protocols  map[ConnID]replicaproto.Protocol
	closed     map[ConnID]bool // by the pool
	peerClosed map[ConnID]bool // by the replica
	written    map[ConnID][]*Attempt
	abandoned  []AttemptID // cancellations sent to the replica
	outcomes   map[AttemptID][]scheduler.Outcome
	pings      map[ConnID]int
	wakeups    map[ConnID][]time.Duration // wakeups that are not due yet
	events     []EventKind

	lastID       AttemptID
	answersPings bool
}

func newFakeHost(t *testing.T, limits Limits) *fakeHost {
	host := &fakeHost{
		t:          t,
		protocols:  map[ConnID]replicaproto.Protocol{},
		closed:     map[ConnID]bool{},
		peerClosed: map[ConnID]bool{},
		written:    map[ConnID][]*Attempt{},
		outcomes:   map[AttemptID][]scheduler.Outcome{},
		pings:      map[ConnID]int{},
		wakeups:    map[ConnID][]time.Duration{},
	}
	if limits.ConnectTimeout == 0 {
		limits.ConnectTimeout = 250 * time.Millisecond
	}
	host.pool = New(host, limits)
	return host
}

// newFakeHostFor returns a fakeHost whose replica is listed with a protocol.
func newFakeHostFor(t *testing.T, protocol replicaproto.Protocol, limits Limits) *fakeHost {
	host := newFakeHost(t, limits)
	host.listReplica("a:1", protocol, false)
	return host
}

func (host *fakeHost) Open(conn ConnID, _ scheduler.ReplicaID, _ string, protocol replicaproto.Protocol) {
	host.opened = append(host.opened, conn)
	host.protocols[conn] = protocol
}

func (host *fakeHost) Close(conn ConnID) { host.closed[conn] = true }

func (host *fakeHost) Write(conn ConnID, attempt *Attempt) {
	host.written[conn] = append(host.written[conn], attempt)
}

func (host *fakeHost) Withdraw(_ ConnID, attempt *Attempt) bool {
	return attempt.Call.Stage == replicaproto.Waiting
}

func (host *fakeHost) Abandon(_ ConnID, attempt *Attempt) {
	host.abandoned = append(host.abandoned, attempt.ID)
}

func (host *fakeHost) Stage(_ ConnID, attempt *Attempt) replicaproto.Stage { return attempt.Call.Stage }

func (host *fakeHost) PeerOpen(conn ConnID) bool { return !host.peerClosed[conn] }

func (host *fakeHost) Ping(conn ConnID) {
	host.pings[conn]++
	if host.answersPings {
		host.pool.BytesReceived(host.now, conn, host.now)
	}
}

func (host *fakeHost) ScheduleWakeup(conn ConnID, after time.Duration) {
	host.wakeups[conn] = append(host.wakeups[conn], host.now+after)
}

func (host *fakeHost) AttemptEnded(attempt AttemptID, outcome scheduler.Outcome, _ time.Duration) {
	host.outcomes[attempt] = append(host.outcomes[attempt], outcome)
}

func (host *fakeHost) ReplicaForgotten(scheduler.ReplicaID) {}

func (host *fakeHost) Record(event Event) { host.events = append(host.events, event.Kind) }

// listReplica notifies the pool that the endpoint list contains the replica.
func (host *fakeHost) listReplica(addr string, protocol replicaproto.Protocol, draining bool) {
	host.pool.ReplicaListed(host.now, testReplica, addr, protocol, draining)
}

func (host *fakeHost) newAttempt(subquery string) *Attempt {
	host.lastID++
	call := &replicaproto.Call{Attempt: uint64(host.lastID), SubqueryID: subquery, Deadline: host.now + time.Second}
	return &Attempt{ID: host.lastID, SentAt: host.now, Call: call}
}

// send sends an attempt and returns it with the connection that carries it, 0 if there is none.
func (host *fakeHost) send(subquery string, nonIdempotent bool) (*Attempt, ConnID) {
	attempt := host.newAttempt(subquery)
	attempt.NonIdempotent = nonIdempotent
	if !host.pool.Send(host.now, attempt, testReplica) {
		host.outcomes[attempt.ID] = append(host.outcomes[attempt.ID], scheduler.Unreachable)
	}
	return attempt, connOf(attempt)
}

// connUp establishes a connection.
func (host *fakeHost) connUp(conn ConnID) { host.pool.ConnUp(host.now, conn) }

// reply delivers a reply that names the attempt or, depending on the protocol, the attempt's subquery.
func (host *fakeHost) reply(conn ConnID, attempt *Attempt) (ended *Attempt, late bool) {
	if replicaproto.TraitsOf(host.protocols[conn]).RepliesNameAttempts {
		return host.pool.ReplyReceived(host.now, conn, attempt.ID, "", host.now)
	}
	return host.pool.ReplyReceived(host.now, conn, 0, attempt.Call.SubqueryID, host.now)
}

// withholdReply delivers the news that a reply to the attempt is withheld.
func (host *fakeHost) withholdReply(conn ConnID, attempt *Attempt) *Attempt {
	if replicaproto.TraitsOf(host.protocols[conn]).RepliesNameAttempts {
		return host.pool.ReplyUnconfirmed(host.now, conn, attempt.ID, "", host.now)
	}
	return host.pool.ReplyUnconfirmed(host.now, conn, 0, attempt.Call.SubqueryID, host.now)
}

// endConn notifies the pool that a connection ended.
func (host *fakeHost) endConn(conn ConnID, cause error) {
	host.pool.ConnEnded(host.now, conn, cause, host.now)
}

// connOf returns the connection that carries an attempt, 0 if there is none.
func connOf(attempt *Attempt) ConnID {
	if attempt.conn == nil {
		return 0
	}
	return attempt.conn.id
}

// markFullyWritten sets the stage of attempts to Written.
func markFullyWritten(attempts ...*Attempt) {
	for _, attempt := range attempts {
		attempt.Call.Stage = replicaproto.Written
	}
}

// advance moves the clock forward and calls the wakeups that become due.
func (host *fakeHost) advance(span time.Duration) {
	end := host.now + span
	for {
		conn, due := host.nextWakeup(end)
		if conn == 0 {
			host.now = end
			return
		}
		i := slices.Index(host.wakeups[conn], due)
		host.wakeups[conn] = slices.Delete(slices.Clone(host.wakeups[conn]), i, i+1)
		host.now = max(host.now, due)
		host.pool.Wakeup(host.now, conn)
	}
}

// nextWakeup returns the earliest wakeup that is due by end, and its connection; 0 if there is none.
func (host *fakeHost) nextWakeup(end time.Duration) (next ConnID, due time.Duration) {
	due = end
	for _, conn := range host.opened {
		for _, wakeup := range host.wakeups[conn] {
			if wakeup <= due && (next == 0 || wakeup < due) {
				next, due = conn, wakeup
			}
		}
	}
	return next, due
}

// expectOutcomes checks the outcomes that have been reported for an attempt so far.
func (host *fakeHost) expectOutcomes(attempt *Attempt, want ...scheduler.Outcome) {
	host.t.Helper()
	if got := host.outcomes[attempt.ID]; fmt.Sprint(got) != fmt.Sprint(want) {
		host.t.Errorf("attempt at %s: outcomes %v, want %v", attempt.Call.SubqueryID, got, want)
	}
}
