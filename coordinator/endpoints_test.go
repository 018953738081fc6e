package coordinator

import (
	"context"
	"io"
	"log"
	"testing"
	"time"

	"terntray/internal/fake"
)

// A restarted process knows the endpoint list of its last run, in which replicas may since have moved or be draining.
// It must not report itself as ready until discovery has sent a newer list, or has failed so that the old list is the
// best available.
func TestReadyOnlyAfterDiscoveryAnswersOrFails(t *testing.T) {
	for _, responds := range []bool{true, false} {
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
			t.Error("ready with only the list of the last run")
		}
		if responds {
			call.Respond(`{"rev":5,"all":true,"targets":[{"uid":"s-a","endpoint":"127.0.0.1:1","az":"west","pod_group":0,"state":"draining"}]}`)
		} else { // discovery fails
			call.Conn.Close()
		}
		for end := time.Now().Add(20 * time.Second); !c.ready.Load(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("discovery responds %t: never ready", responds)
			}
		}
		stop()
		<-ended
		a.Listener.Close()
	}
}
