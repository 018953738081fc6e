package coordinator

// At SIGTERM package server begins to send clients away (server/shutdown.go tells the steps and their times). For a
// while clients may still connect, and all queries that are open or still come run as ever. The process ends when
// the last client connection has ended and no query is open; only then are the connections to replicas, to discovery
// and to other coordinators closed (Serve). The shutdown as a whole has no time limit of its own: each query ends by
// its deadline.

// shutDown begins the graceful shutdown. It is called on the loop, once.
func (c *Coordinator) shutDown() {
	c.log.Printf("event=shutting_down %s", c.countersLine())
	c.server.Shutdown(func() {
		c.loop.Post(func() { c.clientsClosed = true })
	})
}

// isShutDown tells whether nothing is left to do.
func (c *Coordinator) isShutDown() bool { return c.clientsClosed && len(c.queries) == 0 }
