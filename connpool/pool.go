// Package connpool decides about connections to replicas: which one carries an attempt, when one is opened, doubted, rested or
// ended, how many attempts go on it, and what its end proves of each. It is told what happens, one method for each thing that
// can happen with the time in it, and acts through a small Host. It does no I/O, has no clock and no goroutine, and knows
// neither frames nor streams: of a dialect it sees the traits alone.
//
// It promises: each attempt that Send took gets exactly one Host.Ends, unless who sent it has given it up; an attempt is told as
// never run only on evidence (it was not written whole, the far side's word as its dialect defines it, no connection); an
// attempt goes to another connection at most once after it was put on one that ended or that takes nothing new, and only if
// it was not written whole; attempts that wait for a place go in order of sending; no more connections stand than Limits
// allow; nothing is put on a connection to a replica that wants nothing new. It never decides which replica gets an attempt,
// nor whether a part is tried again: that is package scheduler.
package connpool

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

const (
	fewAttempts = 4                     // on a connection before another is opened, where descriptors allow: they share its fate
	staleFor    = 10 * time.Second      // after a rested connection broke at its next use, attempts that may not run twice get new ones
	deathShows  = 10 * time.Millisecond // after the first of a process's connections broke, the others have
	recentIDs   = 128                   // ids that a connection remembers after their attempts
	mostPassed  = 8                     // replies elsewhere to later attempts that put a silent connection in doubt
	leastRest   = 4                     // times what a connection may take to come up: the least that one may rest
	longestRest = 24 * time.Hour        // from this limit on connections rest for ever
	pingAfter   = 0.5                   // share of that time in which nothing comes for what is out, before a ping
	lateWake    = 30 * time.Millisecond // a look that comes so much late shows that this process stood still
	resetBurst  = 60.0                  // attempts called off in one go; boxes that guard against rapid resets allow some hundred
	resetRate   = 30.0                  // of them a second: what such boxes take for usual
	resetEarned = 0.5                   // of them by an answer: who gets answers is no attacker
	forEver     = time.Duration(1 << 62)
)

// ConnID and AttemptID name a connection and an attempt; none is used again, and later attempts have larger ids.
type (
	ConnID    uint64
	AttemptID uint64
)

// Attempt is one attempt at a part, as it is to be sent. Its Call is for the host to write; the pool reads its id on the wire.
type Attempt struct {
	ID            AttemptID
	Call          *replicaproto.Call
	NonIdempotent bool          // it may not run twice
	SentAt        time.Duration // since the start

	conn  *conn
	at    *replica
	moved bool // from a connection that ended, or takes nothing new, before it was written
	over  bool // its end is told, or who sent it has given it up
}

// Note is something for the log and the counters.
type Note string

// What is noted.
const (
	ConnectFailed Note = "unreachable" // a connection did not come up
	Dropped       Note = "dropped"     // it ended with attempts out, or unasked
	Malformed     Note = "spoilt"      // what came on it cannot be used
	PingTimeout   Note = "silent"      // a ping had no answer in time
	GoingAway     Note = "goes_away"   // the far side takes nothing new on it
	StreamLimit   Note = "limit"       // attempts wait for the far side's limit
)

// ErrShortage is wrapped by the cause of a connection's end where this machine lacked something for it: it says nothing of
// the far side.
var ErrShortage = errors.New("this machine lacks something for a connection")

// Host carries out what a Pool decides, at once.
type Host interface {
	Open(c ConnID, to scheduler.ReplicaID, addr string, d replicaproto.Protocol) // Up or Ended follow
	Close(c ConnID)                                                              // Ended follows
	Write(c ConnID, l *Attempt)                                                  // queues it there
	Withdraw(c ConnID, l *Attempt) bool                                          // takes it back, unless it is begun
	Abandon(c ConnID, l *Attempt)                                                // has the far side told that nobody waits for it
	Stage(c ConnID, l *Attempt) replicaproto.Stage
	PeerOpen(c ConnID) bool // the far side has not ended it, as far as the machine knows
	Ping(c ConnID)
	ScheduleWakeup(c ConnID, in time.Duration) // Wakes follows
	AttemptEnded(l AttemptID, how scheduler.Outcome, took time.Duration)
	ReplicaForgotten(r scheduler.ReplicaID) // nothing is held of it any more
	Record(c ConnID, to scheduler.ReplicaID, what Note, out int, cause error)
}

// Limits bound all connections.
type Limits struct {
	ConnectTimeout     time.Duration // for a connection to come up; for what is written to be taken
	IdleTimeout        time.Duration // for a connection to rest; 0: for ever
	MaxAttemptsPerConn int           // attempts on a connection
	MaxConns           int           // connections to all replicas
	MaxStreamsPerConn  int           // attempts on a connection whose dialect shares it; 0: Multiplex
	MaxSharedConns     int           // connections to a replica that take attempts, where its dialect shares them; 0: one
}

// replica is one as the list tells it.
type replica struct {
	id      scheduler.ReplicaID
	addr    string
	dialect replicaproto.Protocol
	left    bool // it is gone from the list
	drains  bool
	conns   []*conn
	waiting []*Attempt // for a place on a connection, in order of sending; only where the dialect is Limited
	fullAt  time.Duration
}

// conn is one connection. What it carries is in order of sending.
type conn struct {
	id        ConnID
	replica   *replica
	addr      string
	dialect   replicaproto.Protocol
	traits    replicaproto.Traits
	out       []*Attempt // without a reply
	idleSince time.Duration
	rested    time.Duration // before the first of what is out
	up        bool
	upAt      time.Duration
	closed    bool
	heardAt   time.Duration // the last reply
	passed    int           // replies on other connections to attempts sent after what waits here, since then
	spoilt    bool          // what came here cannot be used
	single    bool          // carries an attempt that may not run twice, alone
	recent    []past        // attempts that nothing more is awaited of, the last of them
	doubted   bool          // nothing came for an attempt that was given up: nothing new is sent here

	room     int           // attempts that the far side takes at a time
	going    bool          // the far side takes nothing new here
	aliveAt  time.Duration // anything came
	pingedAt time.Duration // a ping without an answer; below 0: none
	resets   float64       // attempts that may be called off now without looking like an attack
	resetsAt time.Duration // as of then
	owed     []*Attempt    // given up, and not called off yet: they hold their places
	wakeAt   time.Duration // a wake is set for
}

// past is an attempt that has left its connection: until then the replica may work on it.
type past struct {
	wire  string
	until time.Duration
}

// Pool is the connections of one process. It belongs to one goroutine.
type Pool struct {
	host     Host
	limits   Limits
	replicas map[scheduler.ReplicaID]*replica
	conns    map[ConnID]*conn
	order    []*conn // in order of opening
	now      time.Duration
	last     ConnID
	idle     time.Duration     // learned: how long a connection may rest
	stale    time.Duration     // until then rested connections are not trusted
	dying    map[ConnID]*death // of connections that ended just now
}

// death is a connection that ended with attempts that may have run; whether its replica lives shows a little later.
type death struct {
	replica  *replica
	attempts []*Attempt
	at       time.Duration
}

// New makes a pool without any connection.
func New(host Host, limits Limits) *Pool {
	p := &Pool{host: host, limits: limits, replicas: map[scheduler.ReplicaID]*replica{}, conns: map[ConnID]*conn{},
		dying: map[ConnID]*death{}, idle: limits.IdleTimeout}
	p.limits.MaxAttemptsPerConn, p.limits.MaxConns = max(1, limits.MaxAttemptsPerConn), max(2, limits.MaxConns)
	p.limits.MaxSharedConns = max(1, limits.MaxSharedConns)
	if p.limits.MaxStreamsPerConn <= 0 {
		p.limits.MaxStreamsPerConn = p.limits.MaxAttemptsPerConn
	}
	if limits.IdleTimeout <= 0 {
		p.idle = forEver
	}
	return p
}

// Conns is how many connections stand or come up.
func (p *Pool) Conns() int { return len(p.conns) }

// ReplicaListed tells where a replica is, what it speaks there, and whether it drains: then nothing new goes to it, and what
// has not been begun is taken back.
func (p *Pool) ReplicaListed(now time.Duration, id scheduler.ReplicaID, addr string, d replicaproto.Protocol, drains bool) {
	p.now = now
	r := p.replicas[id]
	if r == nil {
		r = &replica{id: id}
		p.replicas[id] = r
	}
	r.left, r.addr, r.dialect, r.drains = false, addr, d, drains
	if drains {
		p.takeBack(r)
	}
	for _, c := range slices.Clone(r.conns) { // another dialect is another process
		if c.addr != addr { // and another address another machine: who is at the old one now is not known
			p.unqueue(c, 0, false)
		}
		if (c.dialect != d || c.addr != addr) && len(c.out) == 0 {
			p.close(c)
		}
	}
	if !drains {
		p.fill(r)
	}
}

// ReplicaRemoved tells that a replica is gone from the list: what is idle is closed; the rest ends with its attempts.
func (p *Pool) ReplicaRemoved(now time.Duration, id scheduler.ReplicaID) {
	p.now = now
	r := p.replicas[id]
	if r == nil {
		p.host.ReplicaForgotten(id)
		return
	}
	r.left = true
	p.takeBack(r)
	for _, c := range slices.Clone(r.conns) {
		if len(c.out) == 0 {
			p.close(c)
		}
	}
	p.unlist(r)
}

// unlist lets go of a replica that is gone once no connection is left.
func (p *Pool) unlist(r *replica) {
	if r.left && len(r.conns) == 0 && p.replicas[r.id] == r {
		delete(p.replicas, r.id)
		p.host.ReplicaForgotten(r.id)
	}
}

// takeBack takes back what has not been begun for a replica that wants nothing new; it never ran.
func (p *Pool) takeBack(r *replica) {
	p.turnAway(r)
	for _, c := range r.conns {
		for _, l := range slices.Clone(c.out) {
			if !l.over && p.host.Withdraw(c.id, l) {
				p.forget(l, false)
				p.ends(l, scheduler.Overloaded, p.now)
			}
		}
	}
}

// turnAway ends what waits for a place at a replica; it never left.
func (p *Pool) turnAway(r *replica) {
	waiting := r.waiting
	r.waiting = nil
	for _, l := range waiting {
		p.ends(l, scheduler.Overloaded, p.now)
	}
}

// ReplicaRestarted tells when a replica's process started. Connections that are older are closed. Guards against: a machine
// that vanished and came back, whose old connections stay silent until written to, and then reset what is. Should also
// cover: replicas replaced at the same address. Could hurt: if discovery's starts were wrong.
func (p *Pool) ReplicaRestarted(now time.Duration, id scheduler.ReplicaID, at time.Duration) {
	p.now = now
	if r := p.replicas[id]; r != nil {
		for _, c := range slices.Clone(r.conns) {
			if c.up && !c.closed && c.upAt < at-p.limits.ConnectTimeout {
				p.close(c)
			}
		}
	}
}

// Send takes an attempt for a replica; it fails where there is no connection for it and none can be had: it never ran.
func (p *Pool) Send(now time.Duration, l *Attempt, to scheduler.ReplicaID) bool {
	p.now = now
	r := p.replicas[to]
	return r != nil && r.addr != "" && !r.left && !r.drains && p.place(l, r)
}

// place puts an attempt on a connection, or has it wait for a place where the far side says how many it takes.
func (p *Pool) place(l *Attempt, r *replica) bool {
	l.at = r
	if replicaproto.TraitsOf(r.dialect).LimitsStreams && len(r.waiting) > 0 {
		return p.wait(l, r)
	}
	if c := p.choose(r, l); c != nil {
		p.put(l, c)
		return true
	}
	return replicaproto.TraitsOf(r.dialect).LimitsStreams && slices.ContainsFunc(r.conns, func(c *conn) bool { return c.dialect == r.dialect }) && p.wait(l, r)
}

func (p *Pool) wait(l *Attempt, r *replica) bool {
	if len(r.waiting) == 0 {
		r.fullAt = p.now
		for _, c := range r.conns {
			p.host.Record(c.id, r.id, StreamLimit, len(c.out), nil)
			break
		}
	}
	r.waiting = append(r.waiting, l)
	for _, c := range r.conns {
		p.look(c)
	}
	return true
}

func (p *Pool) put(l *Attempt, c *conn) {
	if l.conn = c; len(c.out) == 0 && c.up {
		c.rested = p.now - c.idleSince
	}
	c.out = append(c.out, l)
	c.single = c.single || l.NonIdempotent && !c.traits.Multiplexed
	p.host.Write(c.id, l)
	p.look(c)
}

// fill has attempts that wait go where there is a place for them now, in order of sending.
func (p *Pool) fill(r *replica) {
	for len(r.waiting) > 0 {
		c := p.choose(r, r.waiting[0])
		if c == nil {
			return
		}
		l := r.waiting[0]
		r.waiting = r.waiting[1:]
		p.put(l, c)
	}
}

// ends has an attempt's end told, once; at is when.
func (p *Pool) ends(l *Attempt, how scheduler.Outcome, at time.Duration) {
	if !l.over {
		l.over = true
		p.host.AttemptEnded(l.ID, how, at-l.SentAt)
	}
}

// forget lets go of an attempt that nothing more is awaited of. Its id stays known for a while: what still comes for it
// is no noise, and no other attempt gets that id here.
func (p *Pool) forget(l *Attempt, answered bool) {
	c := l.conn
	if c == nil {
		if r := l.at; r != nil {
			r.waiting = slices.DeleteFunc(r.waiting, func(o *Attempt) bool { return o == l })
		}
		return
	}
	at := slices.Index(c.out, l)
	if at < 0 {
		return
	}
	gone := past{wire: l.Call.SubqueryID}
	if !answered && !c.traits.LimitsStreams && p.host.Stage(c.id, l) == replicaproto.Written {
		gone.until = l.Call.Deadline
	}
	if len(c.recent) == recentIDs {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, gone)
	c.out = slices.Delete(c.out, at, at+1)
	p.rest(c)
	p.fill(c.replica)
}

// rest looks after a connection that may have become idle.
func (p *Pool) rest(c *conn) {
	if len(c.out) > 0 || c.closed {
		return
	}
	once := c.single && p.now < p.stale
	c.idleSince, c.single = p.now, false
	if c.replica.left || c.doubted || once || c.going || c.dialect != c.replica.dialect || c.addr != c.replica.addr {
		p.close(c)
		return
	}
	p.look(c)
}

// Forget tells that nothing is awaited any more of an attempt that is over: its query has ended.
func (p *Pool) Forget(now time.Duration, l *Attempt) {
	p.now = now
	if l.conn == nil || !slices.Contains(l.conn.owed, l) { // what is owed holds its place until it is paid
		p.forget(l, false)
	}
}

// Withdraw takes an attempt back that has not been begun; it tells whether it could. Nothing more is told of it then.
func (p *Pool) Withdraw(now time.Duration, l *Attempt) bool {
	p.now = now
	if l.over || l.conn != nil && !p.host.Withdraw(l.conn.id, l) {
		return false
	}
	l.over = true
	return true
}

// WriteRefused tells that an attempt was refused as it was about to be written: it never ran and is wanted nowhere else.
func (p *Pool) WriteRefused(now time.Duration, l *Attempt) {
	p.now = now
	p.ends(l, scheduler.NeverSent, now)
	p.forget(l, false)
}

// NoRetransmit tells that an attempt is wanted nowhere else: should its connection end before it is written, no other carries it.
// Guards against: parts that go out after their query's answer, or for a client that has left, where none is called off.
func (p *Pool) NoRetransmit(l *Attempt) { l.moved = true }

// WrittenWhole tells whether an attempt was written whole, as far as that is known.
func (p *Pool) WrittenWhole(l *Attempt) bool {
	return l.conn != nil && p.host.Stage(l.conn.id, l) == replicaproto.Written
}

// Abandon tells that nobody waits for an attempt any more; the far side is told, if it has been begun, and nothing more is told
// of it here. A connection on which nothing was heard since that attempt was sent, for longer than a new one may take to come
// up, is in doubt: the next attempt opens another, and this one ends with its attempts. Guards against: machines that vanished,
// whose connections stay open and silent; a new one tells at once whether they are back, and an attempt that it does not carry
// never ran. Should also cover: a replica that reads nothing any more. Could hurt: a connection more for each slow replica.
func (p *Pool) Abandon(now time.Duration, l *Attempt) {
	p.now, l.over = now, true
	c := l.conn
	if c == nil || p.host.Withdraw(c.id, l) {
		p.forget(l, false)
		return
	}
	if c.closed {
		return
	}
	p.callOff(c, l)
	heard := c.heardAt
	if c.traits.Pings { // whatever came shows that the connection is not silent
		heard = max(heard, c.aliveAt)
	}
	if heard < l.SentAt && now-l.SentAt >= p.limits.ConnectTimeout {
		c.doubted = true
	}
}

// callOff has the far side told, no faster than a box takes for usual where each word ends a stream; the rest waits, and
// holds its places. Guards against: cancelled attempts that look like rapid resets (CVE-2023-44487). Should also cover: any box
// that counts resets. Could hurt: by places that are held in a rush of cancels.
func (p *Pool) callOff(c *conn, l *Attempt) {
	if c.traits.LimitsStreams {
		c.owed = append(c.owed, l)
		p.payOff(c)
		return
	}
	p.host.Abandon(c.id, l)
}

// payOff calls off what is owed, as far as it may, in order.
func (p *Pool) payOff(c *conn) {
	c.resets = min(resetBurst, c.resets+resetRate*(p.now-c.resetsAt).Seconds())
	c.resetsAt = p.now
	for len(c.owed) > 0 && c.resets >= 1 {
		c.resets--
		l := c.owed[0]
		c.owed = c.owed[1:]
		p.host.Abandon(c.id, l)
		p.forget(l, false)
	}
	p.look(c)
}

// close ends a connection; its driver tells when that is done.
func (p *Pool) close(c *conn) {
	if !c.closed {
		c.closed = true
		p.host.Close(c.id)
	}
}

// MalformedReceived tells that what came on a connection cannot be used: nothing that follows can be trusted.
func (p *Pool) MalformedReceived(now time.Duration, id ConnID, cause error) {
	p.now = now
	if c := p.conns[id]; c != nil {
		p.spoil(c, Malformed, cause)
	}
}

func (p *Pool) spoil(c *conn, why Note, cause error) {
	if !c.spoilt && !c.closed {
		c.spoilt = true
		p.host.Record(c.id, c.replica.id, why, len(c.out), cause)
		p.close(c)
	}
}

// WriteStalled tells that what was to be written on a connection was not taken: nothing new goes there, what was not begun goes on
// another at once, and where nothing can have run the connection ends now, which proves it. Guards against: attempts that wait
// behind a connection that takes nothing while others would take them. Could hurt: by a connection more.
func (p *Pool) WriteStalled(now time.Duration, id ConnID) {
	p.now = now
	c := p.conns[id]
	if c == nil || c.closed {
		return
	}
	c.doubted = true
	if len(c.out) > 0 && !c.going { // as where it ends by itself
		p.staleAfter(c)
	}
	r := c.replica
	var back []*Attempt
	for _, l := range slices.Clone(c.out) {
		if !l.over && !l.moved && !r.left && !r.drains && p.host.Withdraw(id, l) {
			c.out = slices.DeleteFunc(c.out, func(o *Attempt) bool { return o == l })
			l.moved, l.conn = true, nil
			back = append(back, l)
		}
	}
	if !slices.ContainsFunc(c.out, func(l *Attempt) bool { return p.host.Stage(id, l) == replicaproto.Written }) {
		p.close(c)
	}
	p.again(r, c, back, scheduler.Unreachable, now)
}

// noise is what a reply to nothing that is out makes of a connection.
func noise(wire string) error { return fmt.Errorf("a reply to %.60q, which is not out here", wire) }
