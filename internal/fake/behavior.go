package fake

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"golang.org/x/net/http2"
)

// Behavior handles a call that a replica has received. It runs on the goroutine that reads the connection, or on one of
// its own if the call was queued.
type Behavior = func(*Replica, Call)

// Succeed replies OK, with the value of Replica.ValueOf or, without it, one that names the replica and the shard.
func Succeed(replica *Replica, call Call) { replica.Reply(call, "OK", valueOf(replica, call)) }

func valueOf(replica *Replica, call Call) string {
	replica.Mu.Lock()
	defined := replica.ValueOf
	replica.Mu.Unlock()
	if defined != nil {
		return defined(call)
	}
	return "v<" + replica.UID + "." + strconv.Itoa(call.Shard) + ">"
}

// Fail replies ERROR.
func Fail(replica *Replica, call Call) { replica.Reply(call, "ERROR", "") }

// Silent never replies.
func Silent(*Replica, Call) {}

// ResetConnection resets the TCP connection.
func ResetConnection(_ *Replica, call Call) {
	resetOnClose(call.Conn)
	call.Conn.Close()
}

// resetOnClose makes closing a TCP connection send a reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Reject reports that the call was not executed: REJECTED in frames, REFUSED_STREAM in HTTP/2.
func Reject(replica *Replica, call Call) {
	if call.http2 == nil {
		replica.Reply(call, "REJECTED", "")
		return
	}
	call.http2.resetStream(call.stream, http2.ErrCodeRefusedStream)
}

// CancelStream resets the call's HTTP/2 stream with CANCEL, which leaves open whether the call was executed. In frames,
// which have no equivalent, it replies ERROR.
func CancelStream(replica *Replica, call Call) {
	if call.http2 == nil {
		Fail(replica, call)
		return
	}
	call.http2.resetStream(call.stream, http2.ErrCodeCancel)
}

// Garbage writes bytes that are invalid in both protocols.
func Garbage(_ *Replica, call Call) {
	fmt.Fprint(call.Conn, "\xff\xff\xff\xffgarbage, which is no frame of anything")
}

// After returns a behavior that runs another one after a delay. Delayed calls do not wait for one another, as if the
// replica had unlimited cores.
func After(delay time.Duration, behavior Behavior) Behavior {
	return func(replica *Replica, call Call) {
		time.AfterFunc(delay, func() { behavior(replica, call) })
	}
}

const (
	perMille       = 1000
	maxExecutionMS = 8 // longest execution on an Unreliable replica
)

// Unreliable returns a behavior that executes most calls correctly and handles faultsPerMille in a thousand in some
// other way, allowed by the protocols or not. Each call is recorded in the ledger before it is executed.
func Unreliable(ledger *ExecutionLedger, random *Random, faultsPerMille int) Behavior {
	faults := []Behavior{Fail, CancelStream, Silent, ResetConnection, Garbage, Succeed}
	return func(replica *Replica, call Call) {
		ledger.RecordReceived(call.ID)
		faulty := random.IntN(perMille) < faultsPerMille
		if faulty && random.IntN(2) == 0 {
			Reject(replica, call)
			return
		}
		ledger.RecordExecuted(replica.UID, call.ID)
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
