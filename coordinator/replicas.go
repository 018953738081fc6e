package coordinator

import (
	"errors"
	"fmt"
	"math"
	"time"

	"terntray/config"
	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/replicaconn"
	"terntray/scheduler"
)

const (
	// reservedSockets is the number of file descriptors for everything except connections to clients and replicas:
	// the listener, connections to discovery, gossip, files and the log, with some to spare.
	reservedSockets = 24
	// replicaConnDivisor limits connections to replicas: at most one in replicaConnDivisor of the other descriptors.
	replicaConnDivisor = 3
)

// maxReplicaConns returns the maximum number of connections to replicas, given the limit on file descriptors.
func maxReplicaConns(sockets int) int {
	if sockets <= 0 {
		return math.MaxInt
	}
	return max(2, (sockets-reservedSockets)/replicaConnDivisor)
}

// configureReplicas creates the driver of replica connections.
func (c *Coordinator) configureReplicas() error {
	deployment := c.deployment
	c.installation = deployment.Installation
	if c.installation == nil {
		c.installation, _ = config.Read("") // no file: the defaults
	}
	limits := connpool.Limits{
		MaxConns:          maxReplicaConns(deployment.Limits.Sockets),
		MaxStreamsPerConn: c.installation.HTTP2.Streams,
		MaxSharedConns:    c.installation.HTTP2.Connections,
	}
	var timeoutErr, idleErr, attemptsErr, callsErr error
	limits.ConnectTimeout, timeoutErr = deployment.duration("bounds.connectTimeout", time.Second)
	limits.IdleTimeout, idleErr = deployment.duration("bounds.idleClose", 0)
	limits.IdleTimeout /= 2 // replicas close idle connections after the full time at the latest
	limits.MaxAttemptsPerConn, attemptsErr = deployment.wholeNumber("bounds.multiplex", math.MaxInt32)
	maxCalls, callsErr := deployment.wholeNumber("familyInfo.batch", 1)
	driver, err := replicaconn.New(replicaconn.Config{
		Replicas:         c.installation,
		Limits:           limits,
		MaxCallsPerFrame: maxCalls,
	}, c.loop, replicaHandler{c}, c.log)
	if err != nil {
		return fmt.Errorf("installation: %w", err)
	}
	c.replicas = driver
	return errors.Join(timeoutErr, idleErr, attemptsErr, callsErr)
}

// sendAttempt passes an attempt to the driver. It returns false if there is no connection for it and none can be
// opened.
func (c *Coordinator) sendAttempt(attempt *attemptState) bool {
	subquery := attempt.subquery
	attempt.ID = c.replicas.NextAttemptID()
	attempt.call = replicaproto.Call{
		Attempt:    uint64(attempt.ID),
		Group:      uint64(subquery.query.id),
		SubqueryID: subquery.wireID,
		Shard:      subquery.shard,
		Text:       subquery.callText(),
		Deadline:   attempt.deadline,
		Permit:     func(now time.Duration) bool { return c.mayWrite(attempt, now) },
	}
	attempt.Call = &attempt.call
	c.attemptsInFlight[attempt.ID] = attempt
	if !c.replicas.Send(&attempt.Attempt, attempt.replica) {
		delete(c.attemptsInFlight, attempt.ID)
		return false
	}
	return true
}

// replicaHandler implements replicaconn.Handler. It passes events of attempts and connections to the coordinator.
type replicaHandler struct{ c *Coordinator }

// AttemptEnded handles the end of an attempt without a reply.
func (handler replicaHandler) AttemptEnded(id connpool.AttemptID, outcome scheduler.Outcome, took time.Duration) {
	if attempt := handler.c.attemptsInFlight[id]; attempt != nil {
		handler.c.attemptEnded(attempt, outcome, took)
	}
}

// ReplyReceived handles the reply that ends an attempt.
func (handler replicaHandler) ReplyReceived(id connpool.AttemptID, reply *replicaproto.Event, readAt time.Duration) {
	if attempt := handler.c.attemptsInFlight[id]; attempt != nil {
		handler.c.replyReceived(attempt, reply, readAt)
	}
}

// ReplyUnconfirmed handles a reply that is withheld until its length is confirmed.
func (handler replicaHandler) ReplyUnconfirmed(
	id connpool.AttemptID, reply *replicaproto.Event, readAt time.Duration,
) {
	if attempt := handler.c.attemptsInFlight[id]; attempt != nil {
		handler.c.replyUnconfirmed(attempt, reply, readAt)
	}
}

// LateReply counts a reply to an attempt that had already ended.
func (handler replicaHandler) LateReply() { handler.c.counts.LateReplies++ }

// ConnUp counts an established connection.
func (handler replicaHandler) ConnUp() { handler.c.counts.ConnsOpened++ }

// ConnEvent counts and logs an event of a connection.
func (handler replicaHandler) ConnEvent(event replicaconn.ConnEvent) {
	c := handler.c
	c.counts.addConnEvent(event)
	c.logLimited("event=%s replica=%s addr=%s outstanding=%d cause=%q",
		event.Kind, event.ReplicaUID, event.Addr, event.Outstanding, event.Cause)
}

// CertificatesExpiring records how many certificates expire soon.
func (handler replicaHandler) CertificatesExpiring(count int) {
	handler.c.counts.CertificatesExpiring = count
}

// HasRefusedCalls reports whether mayWrite has refused calls of which the loop has not been notified.
func (handler replicaHandler) HasRefusedCalls() bool { return handler.c.refusedWrites.hasPending() }

// NotifyRefusedCalls notifies the loop of the calls that mayWrite has refused.
func (handler replicaHandler) NotifyRefusedCalls() { handler.c.reportRefusedWrites() }
