package coordinator

// At SIGTERM package server starts to close client connections; server/shutdown.go describes the steps and their
// times. Clients may still connect for a while, and queries that are open or still arrive are served as before. The
// process ends when the last client connection has ended and no query is open. Only then does Serve close the
// connections to replicas and discovery and the gossip socket. The shutdown as a whole has no time limit: each query
// ends by its deadline, and one that arrives during the shutdown before the process may be killed.

// shutDown starts the graceful shutdown. It is called once, on the loop.
func (c *Coordinator) shutDown() {
	c.log.Printf("event=shutting_down %s", c.countersLine())
	c.server.Shutdown(c.loop.StalledFor(), func() {
		c.loop.Post(func() { c.clientsClosed = true })
	})
}

// isShutDown reports whether the shutdown is complete.
func (c *Coordinator) isShutDown() bool { return c.clientsClosed && len(c.queries) == 0 }
