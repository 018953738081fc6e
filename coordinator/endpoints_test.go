package coordinator

import (
	"context"
	"io"
	"log"
	"testing"
	"time"

	"terntray/internal/fake"
)

// A process starts anew with the endpoint list of its last incarnation. It serves nobody by that list as long as
// a newer one may be had at once: the replicas may have moved or be draining. Where discovery is down, the old
// list is all there is.
func TestReadyOnlyAfterDiscoveryAnswersOrFails(t *testing.T) {
	for _, told := range []bool{true, false} {
		a, err := fake.NewDiscoveryAgent()
		if err != nil {
			t.Fatal(err)
		}
		d := newDeployment(t, readyReplica("s-a", unreachable))
		d.Discovery = a.Listener.Addr().String()
		c, err := New(d, log.New(io.Discard, "", 0))
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- c.Serve(ctx) }()
		call := <-a.Calls
		if c.ready.Load() {
			t.Error("it is ready with the list of its last incarnation")
		}
		if told {
			call.Respond(`{"rev":5,"all":true,"targets":[{"uid":"s-a","endpoint":"127.0.0.1:1","az":"west","pod_group":0,"state":"draining"}]}`)
		} else { // discovery is down: the old one is all there is
			call.Conn.Close()
		}
		for end := time.Now().Add(20 * time.Second); !c.ready.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("told %t: it is never ready", told)
			}
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}
