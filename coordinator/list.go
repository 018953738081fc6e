package coordinator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"terntray/incarnation"
	"terntray/internal/netconn"
	"terntray/internal/wire"
	"terntray/invariant"
	"terntray/scheduler"
)

const (
	hold      = 5 * time.Second        // a watch may wait so long, where the settings do not imply it
	answersIn = 2 * time.Second        // for the whole list to come
	dueIn     = 1 * time.Second        // how much later than it may wait a watch's answer counts as lost: what it misses is told 2 s later,
	agentsIn  = 500 * time.Millisecond // and for both, where an agent on this machine tells what changes, which answers at once
	askAgain  = 200 * time.Millisecond // between beginnings of a watch where changes come unasked
)

// list follows discovery's list of replicas.
type list struct {
	c        *Coordinator
	host     string // where it is followed
	failing  bool   // the last call did
	asked    bool   // changes come only to those who ask, and the module decides when
	hold     time.Duration
	held     wire.EndpointList
	stopCall context.CancelFunc
	boots    *incarnation.Tracker
	stopMove context.CancelFunc // of the watch at a new address that has yet to tell the whole list; or nil
}

// start tells the module the list as it was last held and, where changes come unasked, begins to follow it.
func (l *list) start(c *Coordinator) {
	l.c, l.held, l.host = c, c.deployment.Known, c.deployment.Discovery
	l.asked = c.config.Discovery == scheduler.DiscoverySubscribe
	// Half of the time in which silence counts as told leaves room for a second call.
	l.hold = hold
	if every := c.config.PollInterval; every > 0 {
		l.hold = min(every/2, time.Minute)
	}
	l.stopCall = func() {}
	l.retell()
	if !l.asked {
		l.follow()
	}
}

func (l *list) stop() {
	l.stopCall()
	l.stay()
}

// stay calls a move to another address off.
func (l *list) stay() {
	if l.stopMove != nil {
		l.stopMove()
		l.stopMove = nil
	}
}

// move has the list followed at another address. The old one is heard until the new one has told the whole list.
func (l *list) move(host string) {
	l.stay()
	if host != l.host {
		l.failing = false
		ctx, stop := context.WithCancel(context.Background())
		l.stopMove = stop
		l.watch(ctx, host)
	}
}

// arrived makes the address that has told the whole list the one where it is followed.
func (l *list) arrived(host string) {
	l.stopCall()
	l.c.log.Printf("event=list_moved from=%s to=%s", l.host, host)
	l.host, l.stopCall, l.stopMove = host, l.stopMove, nil
}

// retell tells the module the list as it is held.
func (l *list) retell() {
	whole := l.held
	whole.All = true
	l.tell(&whole, true)
}

// follow begins a watch, instead of any that stands.
func (l *list) follow() {
	l.stopCall()
	ctx, stop := context.WithCancel(context.Background())
	l.stopCall = stop
	l.watch(ctx, l.host)
}

// watch asks for the whole list, then for what changes, until that fails or is stopped.
func (l *list) watch(ctx context.Context, host string) {
	post := func(do func()) {
		l.c.loop.Post(func() {
			if ctx.Err() == nil {
				do()
			}
		})
	}
	began := l.c.loop.Now()
	l.c.drivers.Go(func() {
		err := l.calls(ctx, host, func(told *wire.EndpointList) {
			post(func() {
				l.c.counts.EndpointLists++
				if host != l.host {
					l.arrived(host)
				}
				l.failing = false
				l.tell(told, false)
			})
		})
		post(func() {
			l.broke(host, err)
			if l.asked && l.stopMove == nil {
				return // the module says when
			}
			l.c.loop.After(began+askAgain-l.c.loop.Now(), "", func() { // at once, if it went well for so long
				if ctx.Err() == nil {
					l.watch(ctx, host)
				}
			})
		})
	})
}

// broke takes a watch that has ended. The module is told of it, but where changes come unasked only of the first
// in a row, and not while the list is moving: the new address has yet to tell it.
func (l *list) broke(host string, cause error) {
	l.c.counts.EndpointListFailures++
	if len(l.held.Targets) > 0 { // an old list is better than none
		l.c.ready.Store(true)
	}
	told := l.stopMove == nil && (l.asked || !l.failing)
	if told || !l.failing {
		l.c.log.Printf("event=list_failed at=%s cause=%q", host, cause)
	}
	if told {
		l.c.scheduler.EndpointPollFailed(l.c.loop.Now())
	}
	l.failing = true
}

// calls makes one call after the other on one connection; it returns what ended it.
func (l *list) calls(ctx context.Context, host string, tell func(*wire.EndpointList)) error {
	var conn net.Conn
	var answers wire.EndpointListReader
	release := func() {
		if conn != nil {
			conn.Close()
		}
	}
	defer func() { release() }()
	request, wait, rev, within := wire.ListRequest(host), time.Duration(0), int64(0), answersIn
	if !l.asked {
		within = agentsIn
	}
	var told *wire.EndpointList
	for {
		if conn == nil {
			if told != nil {
				tell(told)
				told = nil
			}
			var err error
			if conn, err = netconn.Dial(ctx, host, time.Now().Add(within)); err != nil {
				return err
			}
			answers = wire.EndpointListReader{}
			now, forget := conn, netconn.CloseOnDone(ctx, conn)
			release = func() {
				forget()
				now.Close()
			}
		}
		conn.SetDeadline(time.Now().Add(wait + within))
		_, err := conn.Write(request)
		if told != nil { // the next call goes first, as a full inbox may hold this up
			tell(told)
			told = nil
		}
		if err != nil {
			return err
		}
		var last bool
		if told, last, err = nextListing(conn, &answers); err != nil {
			return err
		}
		if last {
			release()
			conn, release = nil, func() {}
		}
		if !told.All && (wait == 0 || told.Rev < rev) {
			return fmt.Errorf("changes of revision %d after %d", told.Rev, rev)
		}
		rev = told.Rev
		request, wait = wire.WatchRequest(host, rev, l.hold.Milliseconds()), l.hold
		within = min(within, dueIn)
	}
}

func nextListing(conn net.Conn, answers *wire.EndpointListReader) (*wire.EndpointList, bool, error) {
	for {
		told, last, err := answers.Next()
		if told != nil || err != nil {
			return told, last, err
		}
		n, err := conn.Read(answers.Free())
		answers.Filled(n)
		switch {
		case err == nil || n > 0:
		case errors.Is(err, io.EOF) && !answers.Complete():
			answers.ConnClosed()
		default:
			return nil, false, err
		}
	}
}

// tell tells the module what discovery said and keeps the list that follows from it.
func (l *list) tell(told *wire.EndpointList, old bool) {
	c := l.c
	if odd := told.DropUnusable(); len(odd) > 0 {
		c.log.Printf("event=odd_targets rev=%d targets=%q", told.Rev, odd)
	}
	now := time.Now()
	l.boots.ObserveWallClock(c.loop.Since(now), now)
	if !old {
		l.boots.ListReceived(c.loop.Since(now))
	}
	held := map[string]bool{}
	if told.All {
		l.held.Targets = told.Targets
		for _, t := range told.Targets {
			held[t.UID] = true
		}
		for _, r := range c.fleet.all {
			if !held[r.uid] {
				r.state.Store(int32(invariant.Removed))
				c.fleet.pool.ReplicaRemoved(c.loop.Now(), r.id)
			}
		}
	} else {
		l.change(told.Targets)
	}
	l.held.Rev = told.Rev
	c.scheduler.EndpointListBegins(c.loop.Now(), told.All, old)
	for _, t := range told.Targets {
		l.tellOf(t)
	}
	if !old && len(l.held.Targets) > 0 {
		c.ready.Store(true)
	}
	if !old && len(told.Targets) > 0 {
		c.log.Printf("event=list rev=%d all=%t targets=%d", told.Rev, told.All, len(told.Targets))
	}
}

func (l *list) tellOf(t wire.Target) {
	c := l.c
	r := c.fleet.named(t.UID)
	r.state.Store(int32(states[t.State]))
	if r.addr != t.Endpoint && t.State != wire.Removed {
		c.log.Printf("event=listed replica=%s id=%d addr=%s zone=%s", t.UID, r.id, t.Endpoint, t.Zone)
	}
	if t.State == wire.Removed {
		c.fleet.pool.ReplicaRemoved(c.loop.Now(), r.id)
	} else {
		r.addr = t.Endpoint
		c.fleet.pool.ReplicaListed(c.loop.Now(), r.id, r.addr, c.fleet.speaks(r, t.Model), t.State == wire.Draining)
	}
	started, cell, zone := scheduler.StartUnknown, scheduler.CellNumber(0), scheduler.ZoneIndex(-1)
	if t.BootMS > 0 {
		exact := false
		started, exact = l.boots.StartOf(c.loop.Now(), t.UID, t.BootMS)
		closesBefore := started
		if !exact { // whatever is up may be the process' before
			closesBefore += c.fleet.connectWithin
		}
		c.fleet.pool.ReplicaRestarted(c.loop.Now(), r.id, closesBefore)
	}
	if t.Cell != nil {
		cell = scheduler.CellNumber(*t.Cell)
	}
	if at, ok := c.zones[t.Zone]; ok {
		zone = at
	}
	c.scheduler.EndpointListed(c.loop.Now(), scheduler.Endpoint{ID: r.id, State: lives[t.State], Started: started, Cell: cell, Zone: zone,
		Size: c.fleet.installation.SizeOf(t.Model)})
}

// change applies changes to the list that is held.
func (l *list) change(targets []wire.Target) {
	byUID := map[string]wire.Target{}
	for _, t := range targets {
		byUID[t.UID] = t
	}
	var kept []wire.Target
	for _, t := range l.held.Targets {
		if _, changed := byUID[t.UID]; !changed {
			kept = append(kept, t)
		}
	}
	for _, t := range targets {
		if t.State != wire.Removed {
			kept = append(kept, t)
		}
	}
	l.held.Targets = kept
}
