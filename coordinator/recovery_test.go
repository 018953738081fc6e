package coordinator

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"testing"
	"time"

	"terntray/eventloop"
	"terntray/internal/wire"
	"terntray/scheduler"
)

// The loop panics while a query is open. The client must get a 500, and the process must keep serving.
func TestPanicFailsOnlyOpenQueries(t *testing.T) {
	replica, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	d := newDeployment(t, readyReplica("s-a", replica.Addr().String()))
	lines := make(chan string, 100)
	c, err := New(d, log.New(writerFunc(func(line []byte) { lines <- string(line) }), "", 0))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- c.Serve(ctx) }()
	conn, err := net.Dial("tcp", listenAddress(lines))
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, strings.Replace(queryRequest("q1"), "Req-Deadline: 2", "Req-Deadline: 9", 1))
	if _, err := replica.Accept(); err != nil {
		t.Fatal(err)
	}
	c.loop.Post(func() { panic("injected") })
	status := make([]byte, 12)
	if _, err := io.ReadFull(conn, status); err != nil || string(status) != "HTTP/1.1 500" {
		t.Errorf("%q, %v", status, err)
	}
	conn.Close()
	stop()
	if err := <-ended; err != nil || c.counts.Panics != 1 || c.counts.Failed != 1 || !c.ready.Load() {
		t.Errorf("ended with %v, counts %+v", err, c.counts)
	}
}

// listenAddress reads log lines up to the one with the listen address, and returns the address.
func listenAddress(lines <-chan string) string {
	for {
		_, after, found := strings.Cut(<-lines, "listen=")
		if found {
			address, _, _ := strings.Cut(after, " ")
			return address
		}
	}
}

// Attempts are in flight when the loop panics. They must be released: neither connections nor subqueries may keep
// them.
func TestPanicReleasesAttempts(t *testing.T) {
	replica, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer replica.Close()
	c := newCoordinator(t, readyReplica("s-a", replica.Addr().String()))
	c.receive(c.newClient(), newQuery("q", time.Minute, 0), 0)
	c.runIteration(c.loop.Receive()) // the connection is up
	if len(c.attemptsInFlight) != 1 {
		t.Fatalf("%d attempts are in flight, want 1", len(c.attemptsInFlight))
	}
	c.recoverFromPanic("injected")
	c.runPosted()
	c.checkNothingIsOpen(t)
}

// checkNothingIsOpen checks that no query, subquery or attempt is left.
func (c *Coordinator) checkNothingIsOpen(t *testing.T) {
	t.Helper()
	if len(c.attemptsInFlight)+len(c.subqueries)+len(c.queries) > 0 {
		t.Errorf("left: %d attempts, %d subqueries, %d queries",
			len(c.attemptsInFlight), len(c.subqueries), len(c.queries))
	}
}

// The loop panics on a request before the query is open. The request must get exactly one answer, and so must the
// next one.
func TestRequestThatPanicsTheLoopIsAnswered(t *testing.T) {
	c := newWithUnreachableReplica(t)
	from := c.newClient()
	query := newQuery("q", time.Minute, 0)
	query.TwoPhase = &wire.TwoPhaseQuery{} // panics, because its class allows no two-phase queries
	cause := eventloop.Recover(func() { c.receive(from, query, 0) })
	if cause == "" {
		t.Fatal("the loop did not panic")
	}
	c.recoverFromPanic(cause)
	if len(from.responses) != 1 || !strings.Contains(string(<-from.responses), " 500 ") {
		t.Error("the request was not answered with 500")
	}
	query.TwoPhase = nil
	c.receive(from, query, 0)
	c.recoverFromPanic("injected later")
	if len(from.responses) != 1 {
		t.Errorf("the next request has %d answers, want 1", len(from.responses))
	}
}

// An attempt has timed out, and the iteration that should notify the scheduler panics first. The attempt must be
// released nevertheless.
func TestAttemptEndsAreDeliveredAfterAPanic(t *testing.T) {
	c := newWithUnreachableReplica(t)
	c.receive(c.newClient(), newQuery("q", time.Minute, 0), 0)
	for _, attempt := range c.attemptsInFlight {
		c.loop.NextIteration(func() { panic("injected") })
		c.abandonAttempt(attempt, scheduler.TimedOut)
	}
	cause := eventloop.Recover(c.runPosted)
	if cause == "" || len(c.attemptsInFlight) != 1 {
		t.Fatalf("panic %q with %d attempts in flight, want a panic with 1", cause, len(c.attemptsInFlight))
	}
	c.recoverFromPanic("injected")
	c.runPosted()
	c.checkNothingIsOpen(t)
}

// The loop panics again and again while attempts fail. Retries from before a panic must still count against the retry
// budget, which belongs to the process and not to one scheduler.
func TestRetryBudgetSurvivesAPanic(t *testing.T) {
	settings := map[string]string{
		"guarantees.ratioSpan":  "10000000",
		"guarantees.extraRatio": "0.0001",
		"guarantees.minExtra":   "2",
		"bounds.maxAttempts":    "3",
		"bounds.secondCopies":   "true",
	}
	c := newCoordinatorWith(t, settings, twoReplicas()...)
	retries := 0
	for n := range 4 {
		id := fmt.Sprint("q", n)
		c.receive(c.newClient(), newQuery(id, 5*time.Second, 0), 0)
		query := c.queriesByRequestID[id]
		if query == nil {
			continue
		}
		subquery := query.subqueries[0]
		for range 3 {
			c.failAttempts(subquery)
		}
		retries += len(subquery.attempts) - 1
		c.recoverFromPanic("injected")
		c.runPosted()
	}
	if retries > 2 {
		t.Errorf("%d retries, want at most 2", retries)
	}
	if retries == 0 {
		t.Error("no retries: the test proves nothing")
	}
}

// failAttempts ends the attempts in flight as failed, and waits until a retry may be sent.
func (c *Coordinator) failAttempts(subquery *subqueryState) {
	for _, attempt := range subquery.attempts {
		if !attempt.ended {
			c.abandonAttempt(attempt, scheduler.Failed)
		}
	}
	time.Sleep(220 * time.Millisecond) // longer than the delay of a retry after an error
	c.runPosted()
}

// The loop panics again and again during the slow start of a replica. Attempts from before a panic must still count
// against its slow start.
func TestSlowStartSurvivesAPanic(t *testing.T) {
	settings := map[string]string{
		"guarantees.tipMultiple":   "2.0",
		"guarantees.overloadFor":   "1500000",
		"guarantees.startCapacity": "0.1",
		"guarantees.warmAfter":     "20000000",
		"balancers":                "1",
		"bounds.maxOpen":           "1000",
		"lanes.0.aim":              "300000",
	}
	attempts := func(panics bool) int {
		starting := readyReplica("s-a", unreachable)
		starting.BootMS = time.Now().UnixMilli()
		c := newCoordinatorWith(t, settings, starting)
		for n := range 60 {
			c.receive(c.newClient(), newQuery(fmt.Sprint("q", n), 5*time.Second, 0), 0)
			if panics && n%10 == 9 {
				c.recoverFromPanic("injected")
				c.runPosted()
			}
		}
		return c.counts.Attempts
	}
	without := attempts(false)
	with := attempts(true)
	t.Logf("%d attempts without panics, %d with panics", without, with)
	if without == 0 || with > without+1 {
		t.Errorf("%d attempts at a starting replica without panics, %d with panics", without, with)
	}
}
