package main

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"terntray/internal/fake"
)

const (
	keyWindow = 400 * time.Millisecond // in which replicas recognise a repeat
	// timeSlack is allowed beyond a time limit: 50 ms by the protocol and 150 ms in which a process may be held up.
	timeSlack = 200 * time.Millisecond
)

// keyedSettings has replicas recognise repeats of class claim within keyWindow, and connections come up within 2.5 s.
var keyedSettings = strings.NewReplacer(
	`"connectTimeout":1000000`, `"connectTimeout":2500000`,
	`"effect":"side_effect"`, `"effect":"token","window":400000`,
).Replace(settings)

// firstAttempt starts a program whose first subquery has just arrived at one replica. Its second attempt can only be
// sent to the other, which was draining until then.
func firstAttempt(t *testing.T, tried, other *fake.Replica) (*process, *clientConn, time.Time) {
	t.Helper()
	return firstAttempts(t, query("claim", "q1", 10, 3), 1, tried, other)
}

// firstAttempts is firstAttempt for the subqueries of a request.
func firstAttempts(t *testing.T, request string, subqueries int, tried, other *fake.Replica,
) (*process, *clientConn, time.Time) {
	t.Helper()
	other.State = "draining"
	program, discovery := startDeploymentWith(t, keyedSettings, allHTTP2, 1024, tried, other)
	client := program.connect()
	client.send(request)
	waitFor(t, "the first attempts arrive", func() bool { return len(tried.Received()) == subqueries })
	arrived := time.Now()
	discovery.SetState(other, "ready")
	waitFor(t, "the change is applied", func() bool { return strings.Contains(program.logText(), "rev=6 ") })
	return program, client, arrived
}

// expectFailure checks that the query fails as soon as the window has passed.
func expectFailure(t *testing.T, client *clientConn, arrived time.Time) {
	t.Helper()
	if answer := client.receive(); answer.status != http.StatusInternalServerError {
		t.Errorf("status %d %s", answer.status, answer.body)
	}
	if took := time.Since(arrived); took > keyWindow+timeSlack {
		t.Errorf("answered %v after the first attempt, with a window of %v", took, keyWindow)
	}
}

// Guards against a keyed subquery taking effect twice: its retry was decided within the window in which replicas
// recognise a repeat, and written after it, once the connection had come up a second later.
func TestKeyedRetryIsNotSentAfterItsWindowOnALateConnection(t *testing.T) {
	for _, model := range []string{"m", "h2"} {
		listener, accept := fullBacklog(t)
		tried, late := newReplica(t, "s-a", 0, silent), newReplica(t, "s-b", 0, succeed)
		late.Listener.Close()
		late.Listener, late.Model = listener, model
		program, client, arrived := firstAttempt(t, tried, late)
		fake.Fail(tried, tried.Received()[0])
		waitFor(t, "a retry waits for its connection", func() bool { return program.counters()["retries"] == 1 })
		accept()
		go late.Accept(listener)
		expectFailure(t, client, arrived)
		waitFor(t, "the connection comes up", func() bool { _, conns := late.Traffic(); return conns > 0 })
		time.Sleep(100 * time.Millisecond) // for a call on it
		if late.HasReceived("q1") {
			t.Errorf("%s: the subquery was sent again %v after its first attempt", model, time.Since(arrived))
		}
	}
}

// Guards against the same for a retry whose body waits for the replica's flow control until the window has passed.
// Replicas run no call without its end.
func TestKeyedRetryIsNotCompletedAfterItsWindow(t *testing.T) {
	const shards = 2 // their texts together exceed the initial flow-control window of a connection
	tried, slow := newReplica(t, "s-a", 0, silent), newHTTP2Replica(t, "s-b", 0, silent)
	slow.WithholdCredit(true)
	request := queryWithText(strings.Repeat("x", 40<<10), "claim", "q1", 10, 3, 4)
	_, client, arrived := firstAttempts(t, request, shards, tried, slow)
	for _, call := range tried.Received() {
		fake.Fail(tried, call)
	}
	waitFor(t, "the retries have begun", func() bool { return slow.MaxStreams() == shards })
	time.Sleep(time.Until(arrived.Add(keyWindow + timeSlack)))
	slow.WithholdCredit(false)
	slow.GrantCredit(1 << 20)
	time.Sleep(100 * time.Millisecond) // for the rest of the body
	if len(slow.Received()) > 0 {
		t.Errorf("a subquery was completed %v after its first attempt", time.Since(arrived))
	}
	if answer := client.receive(); answer.status != http.StatusInternalServerError {
		t.Errorf("status %d %s", answer.status, answer.body)
	}
}

// Guards against the same for a retry that waits for a place: the replica allows no streams until the window has passed.
func TestKeyedRetryThatWaitsForAStreamIsWithdrawnWithItsWindow(t *testing.T) {
	tried, full := newReplica(t, "s-a", 0, silent), newHTTP2Replica(t, "s-b", 0, succeed)
	full.SetStreamLimit(0)
	program, client, arrived := firstAttempt(t, tried, full)
	fake.Fail(tried, tried.Received()[0])
	waitFor(t, "a retry waits", func() bool { return program.counters()["retries"] == 1 })
	expectFailure(t, client, arrived)
	full.SetStreamLimit(100)
	time.Sleep(100 * time.Millisecond) // for a call
	if full.HasReceived("q1") {
		t.Errorf("the subquery was sent again %v after its first attempt", time.Since(arrived))
	}
}

// A retry within the window is sent and answered.
func TestKeyedRetryWithinItsWindowIsServed(t *testing.T) {
	tried, other := newReplica(t, "s-a", 0, silent), newReplica(t, "s-b", 0, succeed)
	_, client, _ := firstAttempt(t, tried, other)
	fake.Fail(tried, tried.Received()[0])
	client.expect(map[int]string{3: value(other, 3)})
}
