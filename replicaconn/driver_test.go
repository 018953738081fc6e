package replicaconn

import (
	"io"
	"log"
	"testing"
	"time"

	"terntray/config"
	"terntray/connpool"
	"terntray/eventloop"
	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// ignoringHandler is a Handler that ignores all events and has refused no call.
type ignoringHandler struct{}

func (ignoringHandler) AttemptEnded(connpool.AttemptID, scheduler.Outcome, time.Duration)       {}
func (ignoringHandler) ReplyReceived(connpool.AttemptID, *replicaproto.Event, time.Duration)    {}
func (ignoringHandler) LateReply()                                                              {}
func (ignoringHandler) ConnUp()                                                                 {}
func (ignoringHandler) ConnEvent(ConnEvent)                                                     {}
func (ignoringHandler) ReplyUnconfirmed(connpool.AttemptID, *replicaproto.Event, time.Duration) {}
func (ignoringHandler) CertificatesExpiring(int)                                                {}
func (ignoringHandler) HasRefusedCalls() bool                                                   { return false }
func (ignoringHandler) NotifyRefusedCalls()                                                     {}

// newTestDriver returns a driver whose loop does not run.
func newTestDriver(t *testing.T, limits connpool.Limits) *Driver {
	t.Helper()
	replicas, err := config.Read("") // no file: the defaults
	if err != nil {
		t.Fatal(err)
	}
	driver, err := New(Config{Replicas: replicas, Limits: limits}, eventloop.New(), ignoringHandler{},
		log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(driver.Stop)
	return driver
}
