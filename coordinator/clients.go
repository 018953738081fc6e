package coordinator

import (
	"fmt"
	"strings"
	"time"

	"terntray/invariant"
	"terntray/server"
)

// client is the connection that a query came on (server.ClientConn); its server guarantees one open query at a
// time. Tests replace it.
type client interface {
	HasLeft(now time.Duration) bool
	Respond(build func(last bool) []byte)
	CloseAfterResponse()
}

// clientHandler implements server.Handler: it hands what clients do to the coordinator.
type clientHandler struct{ c *Coordinator }

// maxTimeoutFactor bounds what a client may say that it waits, in deadlines of its class: more cannot be meant.
const maxTimeoutFactor = 10

// serverConfig is what the server has to know of the deployment.
func (c *Coordinator) serverConfig() server.Config {
	limits := c.deployment.Limits
	config := server.Config{Classes: c.serverClasses(), MemoryMB: limits.MemoryMB, Sockets: limits.Sockets}
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

// Ready is what /up says: whether the endpoint list is known. Queries are taken whether or not it is.
func (handler clientHandler) Ready() bool { return handler.c.ready.Load() }

// IsSheddingLoad tells whether this process is short of CPU, so that only a share of the arrivals is admitted.
func (handler clientHandler) IsSheddingLoad() bool { return handler.c.admission.isShedding() }

// Admit counts one arrival and tells whether it is admitted.
func (handler clientHandler) Admit() bool { return handler.c.admission.admit() }

// QueryArrived takes a query in. The time that it waited for the loop shows whether this process' core is short.
func (handler clientHandler) QueryArrived(arrival server.Arrival) {
	c := handler.c
	now := c.loop.Now()
	c.admission.observeQueueDelay(now, now-arrival.ParsedAt)
	c.queryArrives(arrival.Client, arrival.Query, arrival.ReceivedAt)
}

// ClientLeft ends what the client has open.
func (handler clientHandler) ClientLeft(client *server.ClientConn) {
	handler.c.clientDisconnected(client)
}

// RequestRefused counts a request that was none.
func (handler clientHandler) RequestRefused() { handler.c.counts.Malformed++ }

// ConnClosed counts the end of a client's connection.
func (handler clientHandler) ConnClosed(closed server.ConnClosed) {
	c := handler.c
	c.counts.ClientConnsClosed[closed.Reason]++
	if closed.Violation != invariant.Allowed {
		c.reportViolation(closed.Violation, "close", fmt.Sprint(closed.Address, " ", closed.Reason), noReplica)
	}
}

// CountersText is the line of the counters.
func (handler clientHandler) CountersText() string { return handler.c.countersLine() }

// EstimatesText is what the scheduler has learned, for a person to read.
func (handler clientHandler) EstimatesText() string { return handler.c.estimatesPage() }
