package main

import (
	"net/http"
	"testing"
	"time"

	"terntray/internal/fake"
)

// Guards against a query that runs twice: its id comes again 5 ms after its client has left, while its first attempt is in
// flight, or after its client was answered.
func TestIDThatComesAgainDoesNotRunAgain(t *testing.T) {
	for _, class := range []string{"look", "claim"} {
		replica := newReplica(t, "s-a", 0, func(replica *fake.Replica, call fake.Call) {
			time.AfterFunc(50*time.Millisecond, func() { succeed(replica, call) })
		})
		program, _ := startDeployment(t, settings, replica)
		text := query(class, "q1", 10, 3)
		leaving := program.connect()
		leaving.send(text)
		waitFor(t, "the subquery arrives", func() bool { return replica.HasReceived("q1") })
		leaving.Conn.Close()
		time.Sleep(5 * time.Millisecond)
		for _, moment := range []string{"its client left", "its replica has replied"} {
			again := program.connect()
			again.send(text)
			if answer := again.receive(); answer.status != http.StatusConflict {
				t.Errorf("class %s, after %s: status %d", class, moment, answer.status)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if count := len(replica.Received()); count != 1 {
			t.Errorf("class %s: the subquery ran %d times", class, count)
		}
	}
}

// Guards against a client that opens connections to replicas without end: it repeats one id, and no connection carries
// two subqueries of one id.
func TestRepeatedIDOpensNoConnections(t *testing.T) {
	const repeats = 60
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	for range repeats {
		client := program.connect()
		client.send(query("look", "same", 10, 3))
		client.receive()
		client.Conn.Close()
	}
	if opened := program.counters()["opened"]; opened > 2 {
		t.Errorf("%d connections to the replica were opened for %d queries of one id", opened, repeats)
	}
}
