package coordinator

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"terntray/decide"
	"terntray/internal/protocol"
)

const (
	spare      = 24                    // descriptors for all that is no connection of a client or to a replica
	fewLegs    = 4                     // on a connection before another is opened, where descriptors allow: they share its fate
	staleFor   = 10 * time.Second      // after a rested connection broke at its next use, legs that may not run twice get new ones
	deathShows = 10 * time.Millisecond // after the first of a process's connections broke, the others have
	fleetShare = 3                     // of the others one in so many may be a connection to a replica
)

// replica is one as discovery lists it, with the connections to it.
type replica struct {
	id    decide.ReplicaID
	uid   string
	addr  string
	left  bool
	links []*link
}

// fleet owns the connections to replicas. Its fields belong to the goroutine that takes the turns.
type fleet struct {
	all                      map[decide.ReplicaID]*replica
	connectWithin, idleLimit time.Duration
	multiplex, batch         int
	mostLinks, links         int
	dirty                    []*link         // with frames queued in this turn
	sizes                    *protocol.Sizes // of values
	staleUntil               time.Duration   // rested connections are not trusted
	context                  context.Context
	stop                     context.CancelFunc
}

func newFleet(d *Deployment) (fleet, error) {
	f := fleet{all: map[decide.ReplicaID]*replica{}, mostLinks: math.MaxInt, sizes: &protocol.Sizes{}}
	f.context, f.stop = context.WithCancel(context.Background())
	if d.Limits.Sockets > 0 {
		f.mostLinks = max(2, (d.Limits.Sockets-spare)/fleetShare)
	}
	var errs [4]error
	var idle time.Duration
	f.connectWithin, errs[0] = d.span("bounds.connectTimeout", time.Second)
	idle, errs[1] = d.span("bounds.idleClose", 0)
	f.multiplex, errs[2] = d.whole("bounds.multiplex", math.MaxInt32)
	f.batch, errs[3] = d.whole("familyInfo.batch", 1)
	f.multiplex, f.batch = max(1, f.multiplex), max(1, f.batch)
	// The far side closes idle ones after that time at the latest, so half of it; see staleAfter.
	if f.idleLimit = idle / 2; idle == 0 {
		f.idleLimit = math.MaxInt64
	}
	return f, errors.Join(errs[:]...)
}

// named gives the replica of a uid. Its id is drawn from the uid alone, so that all co-ordinators use the
// same; should two uids draw one id, the later takes the next.
func (f *fleet) named(uid string) *replica {
	h := fnv.New32a()
	h.Write([]byte(uid))
	id := decide.ReplicaID(h.Sum32())
	for f.all[id] != nil && f.all[id].uid != uid {
		id++
	}
	if f.all[id] == nil {
		f.all[id] = &replica{id: id, uid: uid}
	}
	return f.all[id]
}

// leaves closes what is idle of a replica that is gone; the rest ends with its legs.
func (c *Coordinator) leaves(r *replica) {
	r.left = true
	c.takeBack(r)
	for _, k := range r.links {
		if len(k.out) == 0 {
			k.close()
		}
	}
	c.fleet.unlist(r)
}

// unlist lets go of a replica that is gone once nothing connects it to this process.
func (f *fleet) unlist(r *replica) {
	if r.left && len(r.links) == 0 && f.all[r.id] == r {
		delete(f.all, r.id)
	}
}

// takeBack takes back what has not been begun for a replica that wants nothing new; it never ran.
func (c *Coordinator) takeBack(r *replica) {
	for _, k := range r.links {
		for _, l := range slices.Clone(k.out) {
			if !l.over && k.withdraw(l) {
				k.forget(l, false)
				c.tell(l, decide.TurnedAway)
			}
		}
	}
}

// restarted closes connections that are older than their replica's process. Guards against: a machine that
// vanished and came back, whose old connections stay silent until written to, and then reset what is.
// Should also cover: replicas replaced at the same address. Could hurt: if discovery's starts were wrong.
func (c *Coordinator) restarted(r *replica, at time.Duration) {
	for _, k := range r.links {
		if k.up && !k.closed && k.upAt < at-c.fleet.connectWithin {
			k.close()
		}
	}
}

// send queues a leg on a connection to its replica; it fails where there is none and none can be had.
func (f *fleet) send(c *Coordinator, l *leg, to decide.ReplicaID) bool {
	r := f.all[to]
	if r == nil || r.addr == "" {
		return false
	}
	k := f.choose(c, r, l)
	if k == nil {
		return false
	}
	if l.link = k; len(k.out) == 0 && k.up {
		k.rested = c.now - k.idleSince
	}
	k.out = append(k.out, l)
	k.single = k.single || l.single
	k.queueUp(frame{leg: l})
	return true
}

// choose picks the connection for a leg: of those that are up, have room and do not know the part's id already the
// one with fewest legs, or one that is coming up; a new one if all have a few, as long as this replica has no more
// than its part of them. A leg that may not run twice goes alone, on the one that has been idle for
// longest, or on a new one while rested ones have proven to break at their next use. Guards against: such legs lost with a connection that others' replies spoil, or that the far side
// closes after a reply. Could hurt: by a connection or two more to each replica.
func (f *fleet) choose(c *Coordinator, r *replica, l *leg) *link {
	var best, shared *link
	fresh := l.single && c.now < f.staleUntil
	for _, k := range r.links {
		idle := len(k.out) == 0 && k.up && c.now-k.idleSince >= f.idleLimit
		if k.addr != r.addr || k.closed || k.doubted || idle || len(k.out)+k.ghosts() >= f.multiplex ||
			k.knows(l.part.wire) {
			continue
		}
		if k.single || len(k.out) >= fewLegs || l.single && len(k.out) > 0 || fresh && k.up {
			if shared == nil || k.up && !shared.up || k.up == shared.up && len(k.out) < len(shared.out) {
				shared = k
			}
			continue
		}
		if best == nil || k.up && !best.up || k.up == best.up && (len(k.out) > len(best.out) ||
			l.single && k.idleSince < best.idleSince) {
			best = k
		}
	}
	part := fresh || len(r.links) < max(2, f.mostLinks/max(1, len(f.all)))
	if best == nil && (f.links < f.mostLinks && (part || shared == nil) || (fresh || shared == nil) && f.closeIdle()) {
		best = newLink(c, r)
		r.links = append(r.links, best)
		f.links++
		c.drivers.Go(best.run)
	}
	if best == nil {
		return shared
	}
	return best
}

// closeIdle makes room for a connection by closing the one that has been idle for longest.
func (f *fleet) closeIdle() bool {
	var longest *link
	for _, r := range f.all {
		for _, k := range r.links {
			if k.up && !k.closed && len(k.out) == 0 && (longest == nil || k.idleSince < longest.idleSince) {
				longest = k
			}
		}
	}
	if longest != nil {
		longest.close()
	}
	return longest != nil
}

// flush lets the writers begin with what was queued in this turn.
func (f *fleet) flush() {
	for _, k := range f.dirty {
		k.more.Signal()
	}
	f.dirty = f.dirty[:0]
}

// linkUp notes that a connection has come up.
func (c *Coordinator) linkUp(k *link) {
	c.counts.Opened++
	k.up, k.upAt, k.idleSince = true, c.now, c.now
	k.rest()
}

// linkEnded takes a connection back; both of its goroutines have ended. Legs whose last byte was written may have
// run. The others never did: if it had been up, another one carries them, once. Guards against: a replica that
// counts as unreachable as it has closed a connection. Could hurt: never, a second one that ends tells.
func (c *Coordinator) linkEnded(k *link, cause error, at time.Duration) {
	c.fleet.links--
	k.replica.links = slices.DeleteFunc(k.replica.links, func(o *link) bool { return o == k })
	defer c.fleet.unlist(k.replica)
	switch {
	case !k.up:
		c.counts.Refused++
		c.seldom("event=unreachable replica=%s addr=%s cause=%q", k.replica.uid, k.addr, cause)
	case k.spoilt:
	case len(k.out) > 0 || !k.closed:
		c.counts.Dropped++
		c.seldom("event=dropped replica=%s addr=%s out=%d cause=%q", k.replica.uid, k.addr, len(k.out), cause)
	}
	if len(k.out) > 0 && !k.closed {
		c.fleet.staleAfter(k)
	}
	out := k.out
	k.out, k.closed = nil, true
	broke := func(how decide.Outcome) {
		for _, l := range out {
			if !l.over && l.stage == written {
				c.ends(l, how, at-l.sentAt)
			}
		}
	}
	for _, l := range out {
		switch {
		case l.over || l.stage == written:
		case k.up && !l.moved && !k.replica.left && !l.part.of.closed && c.resend(l, k.replica):
		default:
			c.ends(l, decide.Unreachable, at-l.sentAt)
		}
	}
	switch {
	case k.spoilt:
		broke(decide.Spoilt)
	case k.replica.lives():
		c.after(deathShows, "", func() {
			if k.replica.lives() {
				broke(decide.Spoilt)
			} else {
				broke(decide.Reset)
			}
		})
	default:
		broke(decide.Reset)
	}
}

// lives tells whether a connection to the replica is still up. Guards against: a connection that breaks and passes
// for its replica's death. Should also cover: a far side that drops rested ones. Could hurt: a process that dies
// so slowly that others are up for long.
func (r *replica) lives() bool {
	return slices.ContainsFunc(r.links, func(k *link) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.up && !k.closed && k.conn != nil && !hasEnded(k.conn)
	})
}

func (c *Coordinator) resend(l *leg, r *replica) bool {
	l.moved, l.stage = true, waiting
	return c.fleet.send(c, l, r.id)
}

// staleAfter learns from a connection that broke before anything was heard for what was written to it after a
// rest: from now on none rests for as long. Guards against: far sides, or what lies between, that drop idle
// connections sooner than stated, and single-use parts lost by it. Should also cover: a far side that
// restarts unseen. Could hurt: by connections opened anew after a crash that looked like it; never under
// four times what a new one may take.
func (f *fleet) staleAfter(k *link) {
	first := k.out[0]
	if quiet := k.heardAt < first.sentAt && k.c.now-first.sentAt < f.connectWithin; quiet && k.rested > 0 {
		f.idleLimit = min(f.idleLimit, max(k.rested/2, 4*f.connectWithin))
		f.staleUntil = k.c.now + staleFor
	}
}

var lives = map[string]decide.Life{
	protocol.Ready: decide.Active, protocol.Draining: decide.Leaving, protocol.Gone: decide.Left,
}
