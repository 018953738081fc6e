package fake

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"golang.org/x/net/http2"
)

// Behavior is what a replica does with a call that reached it. It runs on the connection's goroutine.
type Behavior = func(*Replica, Call)

// Succeed replies with a value that names the replica and the shard.
func Succeed(replica *Replica, call Call) {
	replica.Reply(call, "OK", "v<"+replica.UID+"."+strconv.Itoa(call.Shard)+">")
}

// Fail replies that the subquery failed.
func Fail(replica *Replica, call Call) { replica.Reply(call, "ERROR", "") }

// Silent never replies.
func Silent(*Replica, Call) {}

// ResetConnection resets the connection.
func ResetConnection(_ *Replica, call Call) {
	resetOnClose(call.Conn)
	call.Conn.Close()
}

// resetOnClose has the close of a TCP connection send a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Reject says that the call was not executed, by the word that its protocol has for that.
func Reject(replica *Replica, call Call) {
	if call.http2 == nil {
		replica.Reply(call, "REJECTED", "")
		return
	}
	call.http2.resetStream(call.stream, http2.ErrCodeRefusedStream)
}

// CancelStream ends the call's stream without saying whether it was executed; in frames it fails.
func CancelStream(replica *Replica, call Call) {
	if call.http2 == nil {
		Fail(replica, call)
		return
	}
	call.http2.resetStream(call.stream, http2.ErrCodeCancel)
}

// Garbage writes what is a message of neither protocol.
func Garbage(_ *Replica, call Call) {
	fmt.Fprint(call.Conn, "\xff\xff\xff\xffgarbage, which is no frame of anything")
}

// After delays a behavior, whatever else comes meanwhile, as with any number of cores.
func After(delay time.Duration, behavior Behavior) Behavior {
	return func(replica *Replica, call Call) {
		time.AfterFunc(delay, func() { behavior(replica, call) })
	}
}

const (
	perMille       = 1000
	maxExecutionMS = 8 // of an Unreliable replica's work
)

// Unreliable executes most calls well and, for some in a thousand, does anything else that the protocols allow or
// forbid. Each call that is executed goes into the ledger first.
func Unreliable(ledger *ExecutionLedger, random *Random, faultsPerMille int) Behavior {
	faults := []Behavior{Fail, CancelStream, Silent, ResetConnection, Garbage, Succeed}
	return func(replica *Replica, call Call) {
		ledger.NoteReceived(call.ID)
		faulty := random.IntN(perMille) < faultsPerMille
		if faulty && random.IntN(2) == 0 {
			Reject(replica, call)
			return
		}
		ledger.NoteExecuted(replica.UID, call.ID)
		work := time.Duration(1+random.IntN(maxExecutionMS)) * time.Millisecond
		time.AfterFunc(work, func() {
			if !faulty {
				Succeed(replica, call)
				return
			}
			faults[random.IntN(len(faults))](replica, call)
		})
	}
}
