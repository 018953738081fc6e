package server

import "time"

// At SIGTERM:
//
//  1. The coordinator calls Shutdown on the event loop (coordinator/shutdown.go). From then on /up answers 503, each
//     response is its connection's last, and idle connections close.
//  2. For shutdownAcceptTime clients may still connect, and a connection on which no request has come yet, or only a
//     part of one, may still send it. They are served as ever, as a load balancer notices the 503 only after a while.
//  3. Then the listener closes, after a final accept of what the kernel has queued (acceptAll).
//  4. Each connection ends with its response, or when its request is late (readDeadline). Queries in flight run on
//     until their own deadlines; nothing is cancelled.
//  5. When the last connection has ended, done is called; the coordinator ends its loop once no query is open.

// Shutdown begins the graceful shutdown; it returns at once. Done is called on a goroutine of its own.
func (server *Server) Shutdown(done func()) {
	now := time.Now()
	server.shutdownStart.Store(&now)
	server.conns.wakeAll()
	time.AfterFunc(shutdownAcceptTime, func() {
		server.setAcceptDeadline(0)
		server.running.Wait()
		done()
	})
}

func (server *Server) isShuttingDown() bool { return server.shutdownStart.Load() != nil }

// finalAcceptMayRestart tells whether the final accept, which found no slot or an error, may begin anew: until
// writeTimeout after shutdownAcceptTime. Later, no response would reach a client before the process is killed.
func (server *Server) finalAcceptMayRestart() bool {
	start := server.shutdownStart.Load()
	return start == nil || time.Since(*start) < shutdownAcceptTime+writeTimeout
}

// shutdownReadDeadline is until when a request may come that has begun, or is a connection's first, at the
// shutdown: as long as clients may connect, as later ones might not be answered before the process is killed. One
// that has just begun to come has a moment in any case. The start keeps its monotonic reading, so that a step of
// the wall clock ends nothing.
func (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {
	limit := start.Add(shutdownAcceptTime)
	least := client.waitingSince.Add(lateRequestTime)
	if limit.Before(least) {
		limit = least
	}
	return limit
}
