package faultbuild_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/internal/faultbuild"
)

const settings = `{"balancers":1,"bounds":{"connectTimeout":1000000,"idleClose":30000000,"maxAttempts":3,
"maxOpen":40,"mayCancel":true,"multiplex":4,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":1,"classFetch":[0],"classNeed":[1.0],
"leastShare":[1.0],"partialEarns":[0.9],"ranges":24,"span":1},
"lanes":[{"name":"look","aim":2000000,"deadline":30000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`

// startProgram starts a build of the program with fault injection and one replica that answers every call.
func startProgram(t *testing.T) (*fake.Program, *faultbuild.Page) {
	t.Helper()
	p, page, _ := startProgramWith(t, settings, fake.Succeed, 0, 0)
	return p, page
}

func request(id string) string {
	body := `{"segments":[{"segment":3,"boost":1}],"text":"x"}`
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 5\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

// A step of the wall clock during the shutdown does not change when it ends: a request of which only a part has arrived
// at SIGTERM is still served, and the program exits neither earlier nor later than usual.
func TestWallClockStepDoesNotChangeShutdownTimes(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		p, page := startProgram(t)
		conn := dial(t, p.Addr)
		text := request("q")
		io.WriteString(conn, text[:30])
		time.Sleep(50 * time.Millisecond)
		p.Signal(syscall.SIGTERM)
		signaled := time.Now()
		time.Sleep(15 * time.Millisecond)
		if err := page.SetWallClockOffset(step); err != nil {
			t.Fatal(err)
		}
		for _, piece := range []string{text[30:60], text[60:]} {
			time.Sleep(90 * time.Millisecond)
			io.WriteString(conn, piece)
		}
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || r.StatusCode != http.StatusOK {
			t.Errorf("clock stepped by %v: %v, %+v", step, err, r)
		}
		silent := dial(t, p.Addr) // a connection on which no request is sent
		select {
		case <-p.Done():
		case <-time.After(3 * time.Second):
			t.Errorf("clock stepped by %v: still running 3 s after SIGTERM", step)
		}
		if took := time.Since(signaled); took < 500*time.Millisecond {
			t.Errorf("clock stepped by %v: exited %v after SIGTERM, when clients may still connect", step, took)
		}
		silent.Close()
	}
}
