package coordinator

import (
	"fmt"
	"strings"
	"time"

	"terntray/invariant"
	"terntray/server"
)

// client is the connection on which a query arrived (server.ClientConn). The server guarantees that it has at most
// one open query. Tests use a fake.
type client interface {
	HasDisconnected(now time.Duration) bool
	Respond(build func(last bool) []byte)
	CloseAfterResponse()
}

// clientHandler implements server.Handler. It passes client events to the coordinator.
type clientHandler struct{ c *Coordinator }

// maxTimeoutFactor bounds the timeout that a client may state, as a multiple of its class's deadline. A query with a
// larger one is taken for a mistake and refused.
const maxTimeoutFactor = 10

// serverConfig returns the configuration of the server.
func (c *Coordinator) serverConfig() server.Config {
	limits := c.deployment.Limits
	config := server.Config{Classes: c.serverClasses(), MemoryMB: limits.MemoryMB, Sockets: limits.Sockets}
	for _, class := range c.schedulerConfig.Classes {
		config.LongestDeadline = max(config.LongestDeadline, class.Deadline)
	}
	if limits.Sockets > 0 {
		config.ReservedSockets = reservedSockets + maxReplicaConns(limits.Sockets)
	}
	return config
}

func (c *Coordinator) serverClasses() map[string]server.Class {
	classes := map[string]server.Class{}
	secondSteps := strings.Split(c.deployment.settings["familyInfo.classFetch"], ",")
	for n, class := range c.schedulerConfig.Classes {
		classes[class.Name] = server.Class{
			MaxTimeout: maxTimeoutFactor * class.Deadline,
			TwoPhase:   c.twoPhase.allowed[class.Name],
			TwoStep:    n < len(secondSteps) && !isZero(secondSteps[n]),
			Effect:     class.Effect,
		}
	}
	return classes
}

// Ready reports whether /up shows this process as ready: discovery has sent an endpoint list, or has failed while an
// older one is known. Queries are accepted in either case.
func (handler clientHandler) Ready() bool { return handler.c.ready.Load() }

// IsSheddingLoad reports whether this process is short of CPU and admits only a share of the arrivals.
func (handler clientHandler) IsSheddingLoad() bool { return handler.c.admission.isShedding() }

// Admit counts one arrival and reports whether it is admitted.
func (handler clientHandler) Admit() bool { return handler.c.admission.admit() }

// QueryArrived handles a query. The time that the query waited for the loop shows whether this process is short of
// CPU.
func (handler clientHandler) QueryArrived(arrival server.Arrival) {
	c := handler.c
	now := c.loop.Now()
	c.admission.observeQueueDelay(now, now-arrival.ParsedAt)
	arrived := arrival.ReceivedAt
	if !arrival.ReceivedAtKnown {
		arrived = c.loop.EarliestArrival(arrived)
	}
	c.queryArrives(arrival.Client, arrival.Query, arrived)
}

// ClientDisconnected closes the open query, if any, of a client that has disconnected.
func (handler clientHandler) ClientDisconnected(client *server.ClientConn) {
	handler.c.clientDisconnected(client)
}

// RequestRefused counts a request that the server refused before it became a query.
func (handler clientHandler) RequestRefused() { handler.c.counts.Malformed++ }

// ConnClosed counts a closed client connection.
func (handler clientHandler) ConnClosed(closed server.ConnClosed) {
	c := handler.c
	c.counts.ClientConnsClosed[closed.Reason]++
	if closed.Violation != invariant.Allowed {
		c.reportViolation(closed.Violation, "close", fmt.Sprint(closed.Address, " ", closed.Reason), noReplica)
	}
}

// CountersText returns the text of the counters page.
func (handler clientHandler) CountersText() string { return handler.c.countersLine() }

// EstimatesText returns the scheduler's estimates in readable form.
func (handler clientHandler) EstimatesText() string { return handler.c.estimatesPage() }
