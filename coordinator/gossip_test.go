package coordinator

import (
	"net"
	"testing"
	"time"

	"terntray/internal/fake"
)

// waitUntil runs iterations until a condition holds, for at most five seconds.
func (c *Coordinator) waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c.runPosted()
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", condition)
}

// newWithGossip returns a coordinator with an open gossip socket. Both are closed at the end of the test.
func newWithGossip(t *testing.T, listen, peer string) *Coordinator {
	t.Helper()
	settings := map[string]string{"bounds.peers": "true", "balancers": "40"}
	c, err := newWithInstallation(t, settings, peersFile(listen, peer), readyReplica("s-a", unreachable))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.replicas.Stop)
	if err := c.startGossip(c.installation.Gossip); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.gossip.close()
		c.drivers.Wait()
	})
	c.discovery.Redeliver()
	return c
}

// A co-ordinator reports its attempts to its peer. Messages from an unknown sender are ignored, and malformed messages
// from a peer are counted.
func TestCoordinatorsGossipOnLoopback(t *testing.T) {
	addressA, addressB := fake.FreePort("udp4"), fake.FreePort("udp4")
	a := newWithGossip(t, addressA, addressB)
	b := newWithGossip(t, addressB, addressA)
	a.receive(a.newClient(), newQuery("q", 5*time.Second, 0), 0)
	if a.counts.Attempts != 1 {
		t.Fatalf("%d attempts, want 1", a.counts.Attempts)
	}
	b.waitUntil(t, "the peer has received the message", func() bool { return b.counts.GossipReceived == 1 })
	to := b.gossip.socket.LocalAddr().(*net.UDPAddr)
	stranger := listenUDP(t, fake.FreePort("udp4"))
	if _, err := stranger.WriteToUDP([]byte("who am I"), to); err != nil {
		t.Fatal(err)
	}
	for _, malformed := range [][]byte{{}, []byte("x"), make([]byte, 2000)} {
		if _, err := a.gossip.socket.WriteToUDP(malformed, to); err != nil {
			t.Fatal(err)
		}
	}
	b.waitUntil(t, "three malformed messages have been counted", func() bool { return b.counts.MalformedGossip == 3 })
	if b.counts.GossipReceived != 1 {
		t.Errorf("%d valid messages, want 1", b.counts.GossipReceived)
	}
}

func listenUDP(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := net.ListenUDP("udp4", resolved)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	return socket
}
