package connpool

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// ConnUp tells that a connection has come up: calls may go.
func (p *Pool) ConnUp(now time.Duration, id ConnID) {
	p.now = now
	c := p.conns[id]
	if c == nil {
		return
	}
	c.up, c.upAt, c.idleSince, c.aliveAt = true, now, now, now
	p.rest(c)
	p.look(c)
}

// StreamLimitChanged tells how many attempts the far side takes on a connection at a time. Those that are begun go on; of the others what is
// beyond waits for a place again. Guards against: attempts that are refused for a limit that is known. Could hurt: never.
func (p *Pool) StreamLimitChanged(now time.Duration, id ConnID, most int) {
	p.now = now
	c := p.conns[id]
	if c == nil {
		return
	}
	lower := most < c.room
	if c.room = min(most, p.limits.MaxStreamsPerConn); lower {
		p.unqueue(c, c.room, false)
	}
	p.fill(c.replica)
	p.look(c)
}

// unqueue has what was not begun on a connection beyond a number of attempts wait for a place again; where the connection is lost for them, only once.
func (p *Pool) unqueue(c *conn, beyond int, lost bool) {
	var back []*Attempt
	for n := len(c.out) - 1; n >= 0 && len(c.out) > beyond; n-- {
		l := c.out[n]
		if l.over || !p.host.Withdraw(c.id, l) {
			continue
		}
		c.out = slices.Delete(c.out, n, n+1)
		l.conn = nil
		if lost && l.moved {
			p.ends(l, scheduler.Overloaded, p.now)
			continue
		}
		l.moved = l.moved || lost
		back = append(back, l)
	}
	p.await(c.replica, back)
}

// await has attempts wait for a place, all in order of sending.
func (p *Pool) await(r *replica, attempts []*Attempt) {
	if len(r.waiting) == 0 {
		r.fullAt = p.now
	}
	r.waiting = append(r.waiting, attempts...)
	slices.SortFunc(r.waiting, func(a, b *Attempt) int { return cmp.Compare(a.ID, b.ID) })
}

// GoingAway tells that the far side takes nothing new on a connection. What was not begun goes on another; this one ends
// with its attempts.
func (p *Pool) GoingAway(now time.Duration, id ConnID, words string) {
	p.now = now
	c := p.conns[id]
	if c == nil || c.going {
		return
	}
	c.going = true
	p.host.Record(c.id, c.replica.id, GoingAway, len(c.out), errors.New(words))
	p.unqueue(c, 0, true)
	r := c.replica
	if r.left || r.drains {
		p.turnAway(r)
	}
	p.fill(r)
	if len(c.out) == 0 {
		p.close(c)
	}
}

// BytesReceived tells that anything came on a connection, or an answer to a ping.
func (p *Pool) BytesReceived(now time.Duration, id ConnID, at time.Duration) {
	p.now = now
	if c := p.conns[id]; c != nil {
		c.aliveAt, c.pingedAt = max(c.aliveAt, at), -1
		p.look(c)
	}
}

// ReplyReceived tells that a reply came, read at a time; it names its attempt or, with 0, its part alone. It returns the attempt that
// it ends; nil where none waits for it: then it came late, or it is noise and the connection ends.
func (p *Pool) ReplyReceived(now time.Duration, id ConnID, attempt AttemptID, wire string, at time.Duration) (l *Attempt, late bool) {
	p.now = now
	c := p.conns[id]
	if c == nil || c.spoilt {
		return nil, false
	}
	c.aliveAt, c.pingedAt = max(c.aliveAt, at), -1
	l = c.find(attempt, wire)
	if l != nil && !l.over {
		l.over = true
		p.forget(l, true)
		p.heard(c, l, at)
		return l, false
	}
	before := c.lately(wire)
	if l == nil && before == nil {
		p.spoil(c, Malformed, noise(wire))
		return nil, false
	}
	c.heardAt, c.passed = at, 0
	if l != nil {
		c.owed = slices.DeleteFunc(c.owed, func(o *Attempt) bool { return o == l })
		p.forget(l, true)
	} else {
		before.until = 0
	}
	return nil, true
}

// AttemptSettled tells that an attempt ended by the far side's word without an answer, at a time.
func (p *Pool) AttemptSettled(now time.Duration, id ConnID, attempt AttemptID, neverRan bool, at time.Duration) {
	p.now = now
	c := p.conns[id]
	if c == nil {
		return
	}
	c.aliveAt, c.pingedAt = max(c.aliveAt, at), -1
	l := c.find(attempt, "")
	if l == nil {
		return
	}
	c.owed = slices.DeleteFunc(c.owed, func(o *Attempt) bool { return o == l })
	how := scheduler.Failed
	if neverRan {
		how = scheduler.Overloaded
	}
	p.ends(l, how, at)
	p.forget(l, true)
}

// ConnEnded takes a connection back that has ended at a time. Attempts whose last byte was written may have
// run. The others never did: if it had been up, another one carries them, once. Guards against: a replica that
// counts as unreachable as it has closed a connection. Could hurt: never, a second one that ends tells.
func (p *Pool) ConnEnded(now time.Duration, id ConnID, cause error, at time.Duration) {
	p.now = now
	c := p.conns[id]
	if c == nil {
		return
	}
	r := c.replica
	delete(p.conns, id)
	same := func(o *conn) bool { return o == c }
	r.conns, p.order = slices.DeleteFunc(r.conns, same), slices.DeleteFunc(p.order, same)
	switch {
	case !c.up:
		p.host.Record(c.id, r.id, ConnectFailed, len(c.out), cause)
	case c.spoilt:
	case len(c.out) > 0 && !c.going || !c.closed && !c.going:
		p.host.Record(c.id, r.id, Dropped, len(c.out), cause)
	}
	if len(c.out) > 0 && !c.closed && !c.going {
		p.staleAfter(c)
	}
	never := scheduler.Unreachable
	if errors.Is(cause, ErrShortage) {
		never = scheduler.NeverSent
	}
	out := c.out
	c.out, c.owed, c.closed = nil, nil, true
	var ran, again []*Attempt
	for _, l := range out {
		switch {
		case l.over:
		case p.host.Stage(id, l) == replicaproto.Written:
			ran = append(ran, l)
		case c.up && !l.moved && !r.left && !r.drains:
			l.moved, l.conn, l.Call.Stage, l.Call.Stream = true, nil, replicaproto.Waiting, 0
			again = append(again, l)
		default:
			p.ends(l, never, at)
		}
	}
	p.again(r, c, again, never, at)
	switch {
	case c.spoilt:
		p.broke(ran, scheduler.MalformedReply, at)
	case p.lives(r):
		p.dying[id] = &death{r, ran, at}
		p.host.ScheduleWakeup(id, deathShows)
	default:
		p.broke(ran, scheduler.ConnectionReset, at)
	}
	p.unlist(r)
}

// again has attempts go on another connection, or wait for a place; where none can be had, or the one that ended
// never came up and was the last, nothing is there for any: they end so.
func (p *Pool) again(r *replica, ended *conn, attempts []*Attempt, how scheduler.Outcome, at time.Duration) {
	if !ended.traits.LimitsStreams {
		for _, l := range attempts {
			if !p.place(l, r) {
				p.ends(l, how, at)
			}
		}
		return
	}
	p.await(r, attempts)
	if ended.up {
		p.fill(r)
	}
	if len(r.conns) == 0 {
		waiting := r.waiting
		r.waiting = nil
		p.broke(waiting, how, at)
	}
}

func (p *Pool) broke(attempts []*Attempt, how scheduler.Outcome, at time.Duration) {
	for _, l := range attempts {
		p.ends(l, how, at)
	}
}

// lives tells whether a connection to the replica is still up. Guards against: a connection that breaks and passes
// for its replica's death. Should also cover: a far side that drops rested ones. Could hurt: a process that dies
// so slowly that others are up for long.
func (p *Pool) lives(r *replica) bool {
	return slices.ContainsFunc(r.conns, func(c *conn) bool { return c.up && !c.closed && p.host.PeerOpen(c.id) })
}

// Wakeup tells that a time has passed that Host.Wake was told for a connection.
func (p *Pool) Wakeup(now time.Duration, id ConnID) {
	p.now = now
	if d := p.dying[id]; d != nil {
		delete(p.dying, id)
		how := scheduler.ConnectionReset
		if p.lives(d.replica) {
			how = scheduler.MalformedReply
		}
		p.broke(d.attempts, how, d.at)
		return
	}
	c := p.conns[id]
	if c == nil || c.closed || now < c.wakeAt {
		return
	}
	stood := now-c.wakeAt > lateWake
	if c.wakeAt = forEver; len(c.out) == 0 && c.up && now-c.idleSince >= p.idle {
		p.close(c)
		return
	}
	if c.traits.Pings && c.up && len(c.out) > 0 {
		p.ask(c, stood)
	}
	if len(c.owed) > 0 && !c.closed {
		p.payOff(c)
	}
	if r := c.replica; len(r.waiting) > 0 && now >= r.fullAt+p.limits.ConnectTimeout {
		if r.fullAt = now; p.takesNothing(r) {
			p.turnAway(r)
		}
	}
	p.look(c)
}

// ask asks a silent connection for a sign of life, and gives it up if none came. Guards against: connections that are
// silent as their machine has vanished. Should also cover: a far side that reads nothing. Could hurt: where this process
// itself stood still; then the answer may lie unread, and it is asked again.
func (p *Pool) ask(c *conn, stood bool) {
	switch {
	case stood:
		c.aliveAt, c.pingedAt = max(c.aliveAt, p.now), -1
	case p.now < p.pingDue(c):
	case c.pingedAt >= 0:
		p.spoil(c, PingTimeout, errors.New("a ping had no answer in time"))
	default:
		c.pingedAt = p.now
		p.host.Ping(c.id)
	}
}

// takesNothing tells whether every connection to a replica is up and takes no attempts at all.
func (p *Pool) takesNothing(r *replica) bool {
	return !slices.ContainsFunc(r.conns, func(c *conn) bool { return !c.up || c.room > 0 && !c.closed && !c.going })
}
