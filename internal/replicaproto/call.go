package replicaproto

import "time"

// Stage is how far a call has progressed on its connection.
type Stage int

// The stages of a call. Only a Written call can have run: replicas do not run partly received calls.
const (
	Waiting  Stage = iota // no byte was written; the call can still be withdrawn
	Begun                 // some bytes may have been written
	Written               // the last byte was handed to the operating system
	Withheld              // not permitted: Permit refused, or less than MinTimeLeft was left; never fully written
)

// Call is one attempt as it is written to a connection. The Session of that connection sets Stage and Stream; package
// connpool resets both when it moves a call to another connection. The other fields are constant.
type Call struct {
	Attempt    uint64 // identifies the call in events
	Group      uint64 // calls with the same group may share a message, in protocols that allow this
	SubqueryID string // on the wire
	Shard      int
	Text       []byte

	// Deadline is when the caller stops waiting for the reply, as time since process start. The replica is sent the
	// time that remains until then when the call's first byte is written.
	Deadline time.Duration
	// Permit is called when the first byte is about to be written, and again before the last one if that had to wait,
	// with the connection's mutex held. If it returns false, or less than MinTimeLeft remains at the first byte, the
	// call is never written, or never completed. A nil Permit permits every call.
	Permit func(now time.Duration) bool

	Stage  Stage
	Stream uint32 // the stream ID in protocols with streams; 0: none yet
}

// MinTimeLeft is the minimum time until the deadline for a call to be sent. The time is sent in whole
// milliseconds, so a shorter one would be sent as 0.
const MinTimeLeft = time.Millisecond

// Begin reports whether the first byte of a call may be written now, and sets the call's stage to Begun or Withheld. It
// returns the time left in milliseconds, which is sent to the replica.
func (call *Call) Begin(now time.Duration) (waitMS int64, permitted bool) {
	waitMS = (call.Deadline - now).Milliseconds()
	if call.Permit != nil && !call.Permit(now) || waitMS < MinTimeLeft.Milliseconds() {
		call.Stage = Withheld
		return 0, false
	}
	call.Stage = Begun
	return waitMS, true
}

// MayEnd reports whether the last byte of a call that has begun may be written now; if not, it sets the call's stage to
// Withheld.
func (call *Call) MayEnd(now time.Duration) bool {
	if call.Permit != nil && !call.Permit(now) {
		call.Stage = Withheld
		return false
	}
	return true
}

// Revocable reports whether a call can still be withdrawn: no byte of it was written or is in the current output.
func (call *Call) Revocable() bool { return call.Stage == Waiting || call.Stage == Withheld }

// CallEnd is the position of a call's last byte in an output.
type CallEnd struct {
	Call   *Call
	Offset int // size of the output up to and including the call's last byte
}
