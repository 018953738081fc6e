package connpool

import (
	"slices"
	"time"

	"terntray/internal/replicaproto"
)

// choose picks the connection for an attempt: of those that are up, have room and do not know the part's id already the
// one with fewest attempts, or one that is coming up; a new one if all have a few, as long as this replica has no more
// than its part of them. An attempt that may not run twice goes alone, on the one that has been idle for
// longest, or on a new one while rested ones have proven to break at their next use. Guards against: such attempts lost with
// a connection that others' replies spoil, or that the far side closes after a reply. Could hurt: by a connection or two
// more to each replica. Where the dialect shares connections, one carries all that its far side takes, and another is
// opened only beyond that, up to a few.
func (p *Pool) choose(r *replica, l *Attempt) *conn {
	var best, shared *conn
	fresh := l.NonIdempotent && p.now < p.stale
	takes := 0
	for _, c := range r.conns {
		if !c.closed && !c.doubted && !c.going && c.addr == r.addr && c.dialect == r.dialect {
			takes++
		}
		if !p.usable(c, r, l) {
			continue
		}
		if p.apart(c, l, fresh) {
			if shared == nil || c.up && !shared.up || c.up == shared.up && len(c.out) < len(shared.out) {
				shared = c
			}
			continue
		}
		if best == nil || c.up && !best.up || c.up == best.up && (len(c.out) > len(best.out) ||
			l.NonIdempotent && c.idleSince < best.idleSince) {
			best = c
		}
	}
	if best != nil {
		return best
	}
	if replicaproto.TraitsOf(r.dialect).Multiplexed && takes >= p.limits.MaxSharedConns {
		if shared == nil {
			return nil
		}
		p.close(shared) // idle, and not trusted
		return p.open(r)
	}
	part := fresh || len(r.conns) < max(2, p.limits.MaxConns/max(1, len(p.replicas)))
	if len(p.conns) < p.limits.MaxConns && (part || shared == nil) || (fresh || shared == nil) && p.closeIdle() {
		return p.open(r)
	}
	return shared
}

// usable tells whether an attempt can be put on a connection now.
func (p *Pool) usable(c *conn, r *replica, l *Attempt) bool {
	idle := len(c.out) == 0 && c.up && p.now-c.idleSince >= p.idle
	return c.addr == r.addr && c.dialect == r.dialect && !c.closed && !c.doubted && !c.going && !idle &&
		len(c.out)+p.ghosts(c) < c.room && (c.traits.Multiplexed || !c.knows(l.Call.SubqueryID))
}

// apart tells whether an attempt should rather go on another connection, if there is one for it.
func (p *Pool) apart(c *conn, l *Attempt, fresh bool) bool {
	if c.traits.Multiplexed {
		return fresh && c.up && len(c.out) == 0 && p.now-c.idleSince >= p.limits.ConnectTimeout
	}
	return c.single || len(c.out) >= fewAttempts || l.NonIdempotent && len(c.out) > 0 || fresh && c.up
}

// open has a connection opened.
func (p *Pool) open(r *replica) *conn {
	p.last++
	c := &conn{id: p.last, replica: r, addr: r.addr, dialect: r.dialect, traits: replicaproto.TraitsOf(r.dialect), room: p.limits.MaxAttemptsPerConn,
		resets: resetBurst, resetsAt: p.now, pingedAt: -1, wakeAt: forEver, aliveAt: p.now}
	if c.traits.Multiplexed {
		c.room = p.limits.MaxStreamsPerConn
	}
	r.conns, p.order, p.conns[c.id] = append(r.conns, c), append(p.order, c), c
	p.host.Open(c.id, r.id, r.addr, r.dialect)
	return c
}

// closeIdle makes room for a connection by closing the one that has been idle for longest.
func (p *Pool) closeIdle() bool {
	var longest *conn
	for _, c := range p.order {
		if c.up && !c.closed && len(c.out) == 0 && (longest == nil || c.idleSince < longest.idleSince) {
			longest = c
		}
	}
	if longest != nil {
		p.close(longest)
	}
	return longest != nil
}

// knows tells whether an id is out here or was of late.
func (c *conn) knows(wire string) bool { return c.find(0, wire) != nil || c.lately(wire) != nil }

// find finds an attempt that is out by its id or, where that is 0, by its part's.
func (c *conn) find(id AttemptID, wire string) *Attempt {
	at := slices.IndexFunc(c.out, func(l *Attempt) bool { return l.ID == id || id == 0 && l.Call.SubqueryID == wire })
	if at < 0 {
		return nil
	}
	return c.out[at]
}

func (c *conn) lately(wire string) *past {
	at := slices.IndexFunc(c.recent, func(g past) bool { return g.wire == wire })
	if at < 0 {
		return nil
	}
	return &c.recent[at]
}

// ghosts is how many attempts were given up here that the replica may still work on: they hold places side by side.
// Guards against: parts that wait unread behind them. Should also cover: a replica that hangs. Could hurt: by a
// connection more while many are given up.
func (p *Pool) ghosts(c *conn) (n int) {
	for _, g := range c.recent {
		if g.until > p.now {
			n++
		}
	}
	return n
}

// heard notes that a reply to an attempt came here. Other connections to the same replica that have been silent since before
// that attempt was sent come into doubt with it: nothing new is sent there. Guards against: connections that fall silent
// under a replica that lives. Should also cover: what a replica does not read any more. Could hurt: by a connection
// opened anew after heavy parts. Where pings tell, they do.
func (p *Pool) heard(c *conn, l *Attempt, at time.Duration) {
	c.heardAt, c.passed = at, 0
	c.resets += resetEarned
	for _, o := range c.replica.conns {
		if o == c || o.traits.Pings || len(o.out) == 0 || o.out[0].SentAt >= l.SentAt || o.heardAt >= l.SentAt {
			continue
		}
		if o.passed++; o.passed >= mostPassed {
			o.doubted = true
		}
	}
}

// staleAfter learns from a connection that broke before anything was heard for what was written to it after a
// rest: from now on none rests for as long. Guards against: far sides, or what lies between, that drop idle
// connections sooner than stated, and single-use parts lost by it. Should also cover: a far side that
// restarts unseen. Could hurt: by connections opened anew after a crash that looked like it; never under
// four times what a new one may take.
func (p *Pool) staleAfter(c *conn) {
	first := c.out[0]
	if quiet := c.heardAt < first.SentAt && p.now-first.SentAt < p.limits.ConnectTimeout; quiet && c.rested > 0 {
		p.idle = min(p.idle, max(c.rested/2, leastRest*p.limits.ConnectTimeout))
		p.stale = p.now + staleFor
	}
}

// look has the connection looked at when something may be due on it.
func (p *Pool) look(c *conn) {
	if c.closed {
		return
	}
	due := forEver
	if len(c.out) == 0 && c.up && p.idle <= longestRest {
		due = c.idleSince + p.idle
	}
	if c.traits.Pings && c.up && len(c.out) > 0 {
		due = min(due, p.pingDue(c))
	}
	if len(c.owed) > 0 {
		due = min(due, p.now+time.Duration(max(0, 1-c.resets)/resetRate*float64(time.Second))+time.Millisecond)
	}
	if len(c.replica.waiting) > 0 && c.up && c.room == 0 {
		due = min(due, c.replica.fullAt+p.limits.ConnectTimeout)
	}
	if due < c.wakeAt {
		c.wakeAt = due
		p.host.ScheduleWakeup(c.id, max(0, due-p.now))
	}
}

// pingDue is when a connection with attempts out is to be asked for a sign of life, or, once it was, when it counts as dead.
func (p *Pool) pingDue(c *conn) time.Duration {
	if c.pingedAt >= 0 {
		return c.pingedAt + time.Duration((1-pingAfter)*float64(p.limits.ConnectTimeout))
	}
	return max(c.aliveAt, c.out[0].SentAt) + time.Duration(pingAfter*float64(p.limits.ConnectTimeout))
}
