package soak

import (
	"fmt"
	"net"
	"testing"
	"time"
)

// Guards against violations of the soak's own making: a replica hangs, two frames arrive, and on a busy machine they are read
// some time after it has resumed. Neither may be taken for sent when it was read. A frame that arrives later is judged.
func TestFramesThatArrivedDuringAHangAreNotJudgedByTheTimeOfReading(t *testing.T) {
	soak := &Soak{clock: clock{time.Now()}, ledger: newLedger(), setting: newSetting(ScenarioFaults, 1)}
	replica, err := newReplica(soak, "s-0", 0, longRunning)
	if err != nil {
		t.Fatal(err)
	}
	defer replica.stop()
	conn, err := net.Dial("tcp", replica.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	send := func(number int) {
		call := fmt.Sprintf("R%d.0 0 d=500 1\nx", number)
		if _, err := conn.Write(append([]byte{0, 0, 0, byte(len(call))}, call...)); err != nil {
			t.Fatal(err)
		}
	}
	replica.setHanging(true)
	send(0)
	awaitConn(t, replica)
	send(1)
	time.Sleep(resumeWindow) // for both frames to arrive
	replica.mu.Lock()        // no connection goes on reading while the mutex is held
	replica.resumeReading()
	replica.hanging = false
	replica.resumed.Broadcast()
	time.Sleep(2 * resumeWindow)
	replica.mu.Unlock()
	awaitArrivals(t, soak, 2)
	send(2)
	awaitArrivals(t, soak, 3)
	for n, arrival := range soak.ledger.arrivals {
		if wantDelayed := n < 2; arrival.delayed != wantDelayed {
			t.Errorf("frame %d: delayed %t, want %t", n, arrival.delayed, wantDelayed)
		}
	}
}

// Guards against violations of the soak's own making: a replica accepts no connections for a while, so that the kernel drops the
// last ACK of a handshake, and the first frame gets through when it is retransmitted, some time after the accept. It may not be
// taken for sent then; a frame behind it is judged, and so is the first frame of a connection that is accepted later.
func TestFirstFrameAfterALateHandshakeIsNotJudgedByTheTimeOfReading(t *testing.T) {
	for name, test := range map[string]struct {
		resumedBefore time.Duration // how long before the accept the replica resumed accepting
		wantDelayed   bool          // the first frame
	}{
		"accepted soon after": {10 * time.Millisecond, true},
		"accepted later":      {handshakeRetryTime, false},
	} {
		soak := &Soak{clock: clock{time.Now().Add(-time.Minute)}, ledger: newLedger(), setting: newSetting(ScenarioFaults, 1)}
		replica, err := newReplica(soak, "s-0", 0, longRunning)
		if err != nil {
			t.Fatal(err)
		}
		defer replica.stop()
		replica.mu.Lock()
		replica.acceptingSince = soak.now() - test.resumedBefore
		replica.mu.Unlock()
		conn, err := net.Dial("tcp", replica.addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		for number := range 2 {
			time.Sleep(3 * retransmitReadTime)
			call := fmt.Sprintf("R%d.0 0 d=500 1\nx", number)
			if _, err := conn.Write(append([]byte{0, 0, 0, byte(len(call))}, call...)); err != nil {
				t.Fatal(err)
			}
			awaitArrivals(t, soak, number+1)
		}
		first, second := soak.ledger.arrivals[0], soak.ledger.arrivals[1]
		if first.delayed != test.wantDelayed || second.delayed {
			t.Errorf("%s: delayed %t and %t, want %t and false", name, first.delayed, second.delayed, test.wantDelayed)
		}
	}
}

func awaitConn(t *testing.T, replica *replica) {
	t.Helper()
	awaitTrue(t, func() bool {
		replica.mu.Lock()
		defer replica.mu.Unlock()
		return len(replica.conns) == 1
	})
}

func awaitArrivals(t *testing.T, soak *Soak, count int) {
	t.Helper()
	awaitTrue(t, func() bool {
		soak.ledger.mu.Lock()
		defer soak.ledger.mu.Unlock()
		return len(soak.ledger.arrivals) == count
	})
}

func awaitTrue(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out")
		}
	}
}
