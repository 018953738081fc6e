package server

import "time"

// Graceful shutdown on SIGTERM:
//
//  1. The coordinator calls Shutdown on the event loop (coordinator/shutdown.go). From then on /up answers 503, each
//     response closes its connection, and idle connections are closed.
//  2. For shutdownAcceptTime clients may still connect, and connections that have not yet sent a complete request may
//     still send it. They are served as usual, because a load balancer notices the 503 only with a delay.
//  3. Then the listener closes, after a final accept of the connections queued by the kernel (acceptAll).
//  4. Each connection closes after its response, or when its request is late (readDeadline). Queries in flight continue
//     until their own deadlines; nothing is cancelled. A query that arrives during the shutdown, late ones included, is
//     answered before the earliest time at which the platform may kill the process (AnswerBy).
//  5. When the last connection has closed, done is called. The coordinator ends its loop once no query is open.

// Shutdown starts a graceful shutdown and returns immediately. The signal for it may have been sent up to delayed ago, as
// this process was stalled. It calls done on a separate goroutine when all connections have closed.
func (server *Server) Shutdown(delayed time.Duration, done func()) {
	now := time.Now()
	answerBy := now.Add(server.timeToAnswer() - delayed)
	server.answerBy.Store(&answerBy)
	server.shutdownStart.Store(&now)
	server.conns.wakeAll()
	time.AfterFunc(shutdownAcceptTime, func() {
		server.setAcceptDeadline(0)
		server.running.Wait()
		done()
	})
}

// timeToAnswer returns the time from the start of shutdown within which all queries that arrive during it are answered.
func (server *Server) timeToAnswer() time.Duration {
	return shutdownAcceptTime + min(server.longestDeadline, maxCountedDeadline) - killMargin
}

// AnswerBy returns the loop time by which a query that arrives now has to be answered, whatever its deadline, as the process
// may be killed soon afterwards. It returns false unless a shutdown has started.
func (server *Server) AnswerBy() (at time.Duration, limited bool) {
	answerBy := server.answerBy.Load()
	if answerBy == nil {
		return 0, false
	}
	return server.loop.Since(*answerBy), true
}

func (server *Server) isShuttingDown() bool { return server.shutdownStart.Load() != nil }

// finalAcceptMayRestart reports whether a final accept that found no free slot or failed may start over. Later than
// AnswerBy, no response would reach a client before the process is killed.
func (server *Server) finalAcceptMayRestart() bool {
	answerBy := server.answerBy.Load()
	return answerBy == nil || time.Now().Before(*answerBy)
}

// shutdownReadDeadline returns the read deadline during shutdown for a request that is incomplete or the first of its
// connection: the end of shutdownAcceptTime, since later requests might not be answered before the process is killed,
// but no earlier than lateRequestTime after its first byte or, for the first request, after accept. The start time must
// have a monotonic clock reading, so that a step of the wall clock does not end connections.
func (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {
	limit := start.Add(shutdownAcceptTime)
	earliest := client.waitingSince.Add(lateRequestTime)
	if limit.Before(earliest) {
		limit = earliest
	}
	return limit
}
