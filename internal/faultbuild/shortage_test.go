package faultbuild_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/faultbuild"
)

// asked sends one query on a connection of its own and returns the answer's status; 0 if there is none.
func asked(t *testing.T, addr, id string) int {
	conn := dialed(t, addr)
	defer conn.Close()
	io.WriteString(conn, request(id))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// A shortage of the own machine (ports, buffers, descriptors, a route) says nothing of a replica: what waits goes out once
// it is over, and no replica is ejected for it.
func TestShortageOfTheMachineFailsNoQueryAndEjectsNoReplica(t *testing.T) {
	for setting, name := range map[faultbuild.Setting]string{faultbuild.ConnectFails: "connect", faultbuild.SocketFails: "socket"} {
		p, page := started(t)
		page.Set(setting, faultbuild.Always)
		time.AfterFunc(300*time.Millisecond, func() { page.Set(setting, 0) })
		answers := make(chan int)
		for n := range 5 {
			go func() { answers <- asked(t, p.Addr, fmt.Sprint("q", n)) }()
		}
		for range 5 {
			if status := <-answers; status != http.StatusOK {
				t.Errorf("%s fails for 0.3 s: answered %d", name, status)
			}
		}
		if log := p.Log(); strings.Contains(log, " ejected: ") {
			t.Errorf("%s fails for 0.3 s: the replica is ejected", name)
		}
	}
}

// A connection that the machine has taken before the listener's end is served, also where accept fails for a moment then.
func TestConnectionIsServedWhereAcceptFailsAtTheListenersEnd(t *testing.T) {
	p, page := started(t)
	p.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	page.Set(faultbuild.AcceptFails, faultbuild.Always)
	conn, err := net.Dial("tcp", p.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(conn, request("q"))
	time.Sleep(900 * time.Millisecond)
	page.Set(faultbuild.AcceptFails, 0)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || r.StatusCode != http.StatusOK {
		t.Errorf("%v, %+v", err, r)
	}
}
