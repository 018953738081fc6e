package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// onceOnly is the prefix of the ids of queries whose subqueries may run once only.
const onceOnly = "once"

// attack is the state that the clients of a flood share.
type attack struct {
	addr   string
	ends   time.Time
	lastID atomic.Int64

	mu   sync.Mutex
	left map[string]time.Time // when the client of a query left, by the query's id
}

func newAttack(addr string, lasts time.Duration) *attack {
	return &attack{addr: addr, ends: time.Now().Add(lasts), left: map[string]time.Time{}}
}

func (attack *attack) isOver() bool { return time.Now().After(attack.ends) }

// newID returns an id that no other query has.
func (attack *attack) newID(prefix string) string {
	return fmt.Sprintf("%s-%d", prefix, attack.lastID.Add(1))
}

// leave records that the client of queries leaves now.
func (attack *attack) leave(ids ...string) {
	attack.mu.Lock()
	defer attack.mu.Unlock()
	for _, id := range ids {
		attack.left[id] = time.Now()
	}
}

func (attack *attack) leftAt(id string) (time.Time, bool) {
	attack.mu.Lock()
	defer attack.mu.Unlock()
	at, left := attack.left[id]
	return at, left
}

// dial connects to the program; it returns nil if that fails. The connection ends with the flood at the latest.
func (attack *attack) dial() *net.TCPConn {
	conn, err := net.DialTimeout("tcp", attack.addr, time.Second)
	if err != nil {
		time.Sleep(time.Millisecond)
		return nil
	}
	_ = conn.SetDeadline(attack.ends)
	return conn.(*net.TCPConn)
}

// clients runs a number of clients, each of which repeats what it does until the flood is over.
func (attack *attack) clients(count int, do func(client int)) {
	var running sync.WaitGroup
	for client := range count {
		running.Go(func() {
			for !attack.isOver() {
				do(client)
			}
		})
	}
	running.Wait()
}

// exchange writes a request on a new connection and reads until the program closes it or answers.
func (attack *attack) exchange(request []byte) {
	conn := attack.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Write(request); err == nil {
		_, _ = conn.Read(make([]byte, 4<<10))
	}
}

// stream writes requests on one connection at full speed until the connection or the flood ends, and reads the answers
// unless they are to be left unread.
func (attack *attack) stream(reads bool, request func() []byte) {
	conn := attack.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	if reads {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for !attack.isOver() {
		if _, err := conn.Write(bytes.Repeat(request(), 1)); err != nil {
			return
		}
	}
}
