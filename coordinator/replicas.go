package coordinator

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"terntray/config"
	"terntray/connpool"
	"terntray/internal/replicaproto"
	"terntray/internal/replicaproto/frames"
	"terntray/internal/replicaproto/http2"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
)

const (
	spare      = 24 // descriptors for all that is no connection of a client or to a replica
	fleetShare = 3  // of the others one in so many may be a connection to a replica
)

// replica is one as discovery lists it.
type replica struct {
	id    scheduler.ReplicaID
	uid   string
	addr  string
	tls   string       // the name of what TLS needs there; empty: cleartext
	state atomic.Int32 // a guard.EndpointState; read by all
}

// fleet drives the connections to replicas as package pool decides: it is that package's host. Its fields belong to the
// goroutine that takes the turns.
type fleet struct {
	c             *Coordinator
	all           map[scheduler.ReplicaID]*replica
	pool          *connpool.Pool
	links         map[connpool.ConnID]*link
	attempts      map[connpool.AttemptID]*attemptState // whose end is not told
	lastAttempt   connpool.AttemptID
	connectWithin time.Duration
	mostLinks     int
	batch         int
	dirty         []*link          // with calls queued in this turn
	sizes         *wire.ValueSizes // of values
	installation  *config.Config
	secure        map[string]*config.ClientTLS // what TLS needs, by name; replaced as a whole
	context       context.Context
	stop          context.CancelFunc
}

func (f *fleet) begin(c *Coordinator, d *Deployment) error {
	*f = fleet{c: c, all: map[scheduler.ReplicaID]*replica{}, links: map[connpool.ConnID]*link{}, attempts: map[connpool.AttemptID]*attemptState{},
		mostLinks: math.MaxInt, sizes: &wire.ValueSizes{}}
	f.context, f.stop = context.WithCancel(context.Background())
	if d.Limits.Sockets > 0 {
		f.mostLinks = max(2, (d.Limits.Sockets-spare)/fleetShare)
	}
	limits := connpool.Limits{MaxConns: f.mostLinks}
	var errs [4]error
	f.connectWithin, errs[0] = d.duration("bounds.connectTimeout", time.Second)
	limits.IdleTimeout, errs[1] = d.duration("bounds.idleClose", 0)
	limits.MaxAttemptsPerConn, errs[2] = d.wholeNumber("bounds.multiplex", math.MaxInt32)
	f.batch, errs[3] = d.wholeNumber("familyInfo.batch", 1)
	limits.ConnectTimeout, f.batch = f.connectWithin, max(1, f.batch)
	if f.installation = d.Installation; f.installation == nil {
		f.installation, _ = config.Read("") // nothing is read
	}
	limits.MaxStreamsPerConn, limits.MaxSharedConns = f.installation.HTTP2.Streams, f.installation.HTTP2.Connections
	var err error
	if f.secure, err = f.installation.LoadTLS(); err != nil {
		return fmt.Errorf("installation: %w", err)
	}
	limits.IdleTimeout /= 2 // the far side closes idle ones after that time at the latest
	f.pool = connpool.New(f, limits)
	return errors.Join(errs[:]...)
}

// session makes the state machine of a new connection.
func (f *fleet) session(kind replicaproto.Protocol, to *replica) replicaproto.Session {
	switch {
	case kind != replicaproto.HTTP2:
		return frames.New(f.batch, f.sizes)
	case to.tls != "":
		return http2.New("https", to.addr)
	}
	return http2.New("http", to.addr)
}

// speaks tells which dialect a replica speaks, and keeps what TLS needs there.
func (f *fleet) speaks(r *replica, model string) (kind replicaproto.Protocol) {
	kind, r.tls = f.installation.ProtocolOf(model, r.addr)
	return kind
}

// named gives the replica of a uid. Its id is drawn from the uid alone, so that all co-ordinators use the
// same; should two uids draw one id, the later takes the next.
func (f *fleet) named(uid string) *replica {
	h := fnv.New32a()
	h.Write([]byte(uid))
	id := scheduler.ReplicaID(h.Sum32())
	for f.all[id] != nil && f.all[id].uid != uid {
		id++
	}
	if f.all[id] == nil {
		f.all[id] = &replica{id: id, uid: uid}
	}
	return f.all[id]
}

// endpoint is a replica by its id; one that is not known counts as removed.
func (f *fleet) endpoint(id scheduler.ReplicaID) *replica {
	if r := f.all[id]; r != nil {
		return r
	}
	unknown := &replica{id: id}
	unknown.state.Store(int32(invariant.Removed))
	return unknown
}

// uid names a replica in the log.
func (f *fleet) uid(id scheduler.ReplicaID) string {
	if r := f.all[id]; r != nil {
		return r.uid
	}
	return "-"
}

// went tells whether an attempt was written whole.
func (f *fleet) went(l *attemptState) bool { return l.Call != nil && f.pool.WrittenWhole(&l.Attempt) }

// send has an attempt sent; it fails where there is no connection for it and none can be had.
func (f *fleet) send(l *attemptState) bool {
	f.lastAttempt++
	p := l.subquery
	l.ID = f.lastAttempt
	l.call = replicaproto.Call{Attempt: uint64(l.ID), Group: uint64(p.query.id), SubqueryID: p.wireID, Shard: p.shard, Text: p.callText(),
		Deadline: l.deadline, Permit: func(now time.Duration) bool { return f.c.mayWrite(l, now) }}
	l.Call = &l.call
	f.attempts[l.ID] = l
	if !f.pool.Send(f.c.loop.Now(), &l.Attempt, l.replica) {
		delete(f.attempts, l.ID)
		return false
	}
	return true
}

// flush lets the writers begin with what was queued in this turn.
func (f *fleet) flush() {
	for _, k := range f.dirty {
		k.more.Signal()
	}
	f.dirty = f.dirty[:0]
}

// Open opens a connection.
func (f *fleet) Open(id connpool.ConnID, to scheduler.ReplicaID, addr string, kind replicaproto.Protocol) {
	k := newLink(f.c, id, f.all[to], addr, kind)
	f.links[id] = k
	f.c.drivers.Go(k.run)
}

// Close ends one.
func (f *fleet) Close(id connpool.ConnID) { f.links[id].close() }

// on has something done to a connection's session, unless it has been given back.
func (f *fleet) on(id connpool.ConnID, do func(replicaproto.Session)) {
	k := f.links[id]
	if k == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	do(k.session)
}

// Write queues an attempt's call.
func (f *fleet) Write(id connpool.ConnID, l *connpool.Attempt) {
	f.on(id, func(s replicaproto.Session) { s.Queue(l.Call) })
	f.dirty = append(f.dirty, f.links[id])
}

// Withdraw takes it back, unless it is begun.
func (f *fleet) Withdraw(id connpool.ConnID, l *connpool.Attempt) (taken bool) {
	f.on(id, func(s replicaproto.Session) { taken = s.Withdraw(l.Call) })
	return taken
}

// Abandon has the replica told that nobody waits for it.
func (f *fleet) Abandon(id connpool.ConnID, l *connpool.Attempt) {
	f.on(id, func(s replicaproto.Session) { s.Abandon(l.Call) })
	f.dirty = append(f.dirty, f.links[id])
}

// Stage is how far it has come.
func (f *fleet) Stage(id connpool.ConnID, l *connpool.Attempt) (at replicaproto.Stage) {
	if f.links[id] == nil {
		return l.Call.Stage // it stays as it is
	}
	f.on(id, func(replicaproto.Session) { at = l.Call.Stage })
	return at
}

// PeerOpen tells whether the far side has not ended a connection.
func (f *fleet) PeerOpen(id connpool.ConnID) bool { return f.links[id].alive() }

// Ping asks the far side for a sign of life.
func (f *fleet) Ping(id connpool.ConnID) {
	f.on(id, func(s replicaproto.Session) { s.Ping() })
	f.dirty = append(f.dirty, f.links[id])
}

// ScheduleWakeup has the pool told when a time has passed.
func (f *fleet) ScheduleWakeup(id connpool.ConnID, in time.Duration) {
	f.c.loop.After(in, "", func() { f.pool.Wakeup(f.c.loop.Now(), id) })
}

// AttemptEnded tells how an attempt ended.
func (f *fleet) AttemptEnded(id connpool.AttemptID, how scheduler.Outcome, took time.Duration) {
	if l := f.attempts[id]; l != nil {
		f.c.attemptEnded(l, how, took)
	}
}

// ReplicaForgotten lets go of a replica.
func (f *fleet) ReplicaForgotten(id scheduler.ReplicaID) { delete(f.all, id) }

// Record counts and logs what happened to a connection.
func (f *fleet) Record(event connpool.Event) {
	c := f.c
	switch event.Kind {
	case connpool.ConnectFailed:
		c.counts.ConnsFailed++
	case connpool.Dropped:
		c.counts.ConnsDropped++
	case connpool.Malformed:
		c.counts.ConnsMalformed++
	case connpool.PingTimeout:
		c.counts.ConnsSilent++
	case connpool.GoingAway:
		c.counts.ConnsGoingAway++
	case connpool.StreamLimit:
		c.counts.StreamLimitReached++
	}
	if errors.As(event.Cause, new(*tlsFailure)) {
		c.counts.TLSFailed++
	}
	c.logLimited("event=%s replica=%s addr=%s outstanding=%d cause=%q", event.Kind, f.uid(event.Replica), f.links[event.Conn].addr,
		event.Outstanding, event.Cause)
}

// linkUp notes that calls may go on a connection.
func (c *Coordinator) linkUp(k *link) {
	c.counts.ConnsOpened++
	c.fleet.pool.ConnUp(c.loop.Now(), k.id)
}

// linkEnded takes a connection back; both of its goroutines have ended.
func (c *Coordinator) linkEnded(k *link, cause error, at time.Duration) {
	c.fleet.pool.ConnEnded(c.loop.Now(), k.id, cause, at)
	delete(c.fleet.links, k.id)
}

// came takes what was read on a connection at a time, and what is wrong with the rest.
func (c *Coordinator) came(k *link, all []replicaproto.Event, bad error, at time.Duration) {
	p := c.fleet.pool
	if replicaproto.TraitsOf(k.kind).Pings {
		p.BytesReceived(c.loop.Now(), k.id, at)
	}
	for n := range all {
		e := &all[n]
		switch e.Kind {
		case replicaproto.Reply:
			c.replyReceived(k, e, at)
		case replicaproto.NeverRan, replicaproto.MayHaveRun:
			p.AttemptSettled(c.loop.Now(), k.id, connpool.AttemptID(e.Attempt), e.Kind == replicaproto.NeverRan, at)
		case replicaproto.CallLimit:
			p.StreamLimitChanged(c.loop.Now(), k.id, e.MaxCalls)
		case replicaproto.GoingAway:
			p.GoingAway(c.loop.Now(), k.id, e.Detail)
		case replicaproto.Ready:
			c.linkUp(k)
		}
	}
	if bad != nil {
		p.MalformedReceived(c.loop.Now(), k.id, bad)
	}
}
