package replicaproto

import "time"

// Stage is how far a call has come on its connection.
type Stage int

// The stages of a call. A call can have run only if it is Written: of one that is not whole a replica runs nothing.
const (
	Waiting  Stage = iota // no byte of it was written: it can still be withdrawn
	Begun                 // some bytes may have been written
	Written               // its last byte was handed to the operating system
	Withheld              // Permit refused it as its first byte was about to be written; no byte of it ever is
)

// Call is one attempt as it is put on a connection. Only the Session changes Stage and Stream; the rest stays.
type Call struct {
	Attempt    uint64 // names it in events
	Group      uint64 // calls of one group may share a message
	SubqueryID string // on the wire
	Shard      int
	Text       []byte

	// Deadline is when the reply stops being awaited, as time since the process' start. Replicas are told what is left
	// of it when the call's first byte is written.
	Deadline time.Duration
	// Permit is asked when the first byte is about to be written, under the connection's mutex. What it refuses is
	// never written. Nil permits everything that has MinTimeLeft.
	Permit func(now time.Duration) bool

	Stage  Stage
	Stream uint32 // where the protocol has streams; 0: none yet
}

// MinTimeLeft is the least time until its deadline with which a call is of use: replicas are told whole milliseconds.
const MinTimeLeft = time.Millisecond

// Begin tells whether the first byte of a call may be written now and, if so, how many milliseconds the replica is told
// that its reply is awaited. The call's stage is changed accordingly.
func (call *Call) Begin(now time.Duration) (waitMS int64, permitted bool) {
	waitMS = (call.Deadline - now).Milliseconds()
	if call.Permit != nil && !call.Permit(now) || waitMS < MinTimeLeft.Milliseconds() {
		call.Stage = Withheld
		return 0, false
	}
	call.Stage = Begun
	return waitMS, true
}

// Revocable tells whether no byte of a call was written and none is about to be.
func (call *Call) Revocable() bool { return call.Stage == Waiting || call.Stage == Withheld }

// CallEnd is where the last byte of a call stands in an output.
type CallEnd struct {
	Call   *Call
	Offset int // bytes of the output up to and including the call's last
}
