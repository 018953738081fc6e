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

// sendQuery sends one query on a new connection and returns the status of the response, or 0 if there is none.
func sendQuery(t *testing.T, addr, id string) int {
	conn := dial(t, addr)
	defer conn.Close()
	io.WriteString(conn, request(id))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return r.StatusCode
}

// When connect or socket fails for lack of a local resource (ports, buffers, descriptors, a route), the fault is not
// the replica's: waiting subqueries are sent once the shortage is over, and no replica is ejected.
func TestLocalResourceShortageFailsNoQueryAndEjectsNoReplica(t *testing.T) {
	for setting, name := range map[faultbuild.Setting]string{
		faultbuild.ConnectFails: "connect",
		faultbuild.SocketFails:  "socket",
	} {
		p, page := startProgram(t)
		page.Set(setting, faultbuild.Always)
		time.AfterFunc(300*time.Millisecond, func() { page.Set(setting, 0) })
		answers := make(chan int)
		for n := range 5 {
			go func() { answers <- sendQuery(t, p.Addr, fmt.Sprint("q", n)) }()
		}
		for range 5 {
			if status := <-answers; status != http.StatusOK {
				t.Errorf("%s fails for 0.3 s: status %d, want 200", name, status)
			}
		}
		if log := p.Log(); strings.Contains(log, " ejected: ") {
			t.Errorf("%s fails for 0.3 s: the replica is ejected", name)
		}
	}
}

// A connection that the kernel has established before the listener closes is served, even if accept fails for a while
// at that moment.
func TestConnectionIsServedIfAcceptFailsDuringShutdown(t *testing.T) {
	p, page := startProgram(t)
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
		t.Errorf("want status 200, got error %v, response %+v", err, r)
	}
}
