package connpool

import (
	"fmt"
	"testing"

	"terntray/internal/replicaproto"
)

// A subquery is attempted again at a replica where its first attempt was abandoned. Replies name only the subquery,
// so on a shared connection a late reply to the first attempt would end the second.
func TestAttemptsForOneSubqueryUseSeparateConnections(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 8, MaxConns: 9})
	first, firstConn := host.send("q.1", false)
	host.connUp(firstConn)
	markFullyWritten(first)
	host.pool.Abandon(host.now, first)
	second, secondConn := host.send("q.1", false)
	if firstConn == secondConn {
		t.Fatal("both attempts are on one connection")
	}
	if ended, late := host.reply(firstConn, first); ended != nil || !late || host.closed[firstConn] {
		t.Error("a late reply to the first attempt ended the second")
	}
	if ended, _ := host.reply(secondConn, second); ended != second {
		t.Error("the reply to the second attempt does not end it")
	}
	host.pool.ReplyReceived(host.now, secondConn, 0, "q.9", host.now)
	if !host.closed[secondConn] {
		t.Error("a reply to a subquery that is not outstanding is accepted")
	}
}

// Few attempts share a connection while more connections may be opened.
func TestAttemptsAreSpreadOverConnections(t *testing.T) {
	host := newFakeHostFor(t, replicaproto.Frames, Limits{MaxAttemptsPerConn: 100, MaxConns: 3})
	attemptsOn := map[ConnID]int{}
	for n := range 5 * attemptsBeforeNewConn {
		_, conn := host.send(fmt.Sprint("q.", n), false)
		attemptsOn[conn]++
	}
	for conn, n := range attemptsOn {
		if len(attemptsOn) != 3 || n < attemptsBeforeNewConn || n > 3*attemptsBeforeNewConn {
			t.Errorf("%d connections, %d attempts on %d", len(attemptsOn), n, conn)
		}
	}
}
