package coordinator

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"terntray/internal/protocol"
)

const (
	lastWords   = time.Second            // what a connection that cannot be written to may still bring
	frameWithin = 100 * time.Millisecond // for a frame that has begun to come; each is sent in one go
	recentIDs   = 128                    // ids that a connection remembers after their legs
	mostPassed  = 8                      // replies elsewhere to later legs that put a silent connection in doubt
)

// stage is how far the frame of a leg has come.
type stage int

const (
	waiting stage = iota // not begun: it can still be taken back
	begun
	written // its last byte has been handed to the machine
)

// frame is one to be written: the call of a leg, or the word that a part is given up.
type frame struct {
	leg    *leg
	giveUp string
}

// link is one connection to a replica: a goroutine that reads, one that writes. The goroutine that takes
// the turns owns out, idleSince, up, closed and the like; mu guards the rest and the stages of legs.
type link struct {
	c       *Coordinator
	replica *replica
	addr    string

	out       []*leg // sent or to be sent here, without a reply, in order
	idleSince time.Duration
	rested    time.Duration // before the first of what is out
	up        bool
	upAt      time.Duration
	closed    bool
	resting   bool          // a timer will look whether it has been idle for too long
	heardAt   time.Duration // the last reply
	passed    int           // replies on other connections to legs sent after what waits here, since then
	spoilt    bool          // what came here cannot be used
	single    bool          // carries a leg that may not run twice, alone
	recent    []past        // legs that nothing more is awaited of, the last of them
	doubted   bool          // nothing came for a leg that was given up: nothing new is sent here

	mu    sync.Mutex
	more  *sync.Cond
	queue []frame
	conn  net.Conn
	ended bool
}

// past is a leg that has left its connection: until then the replica may work on it.
type past struct {
	wire  string
	until time.Duration
}

func newLink(c *Coordinator, r *replica) *link {
	k := &link{c: c, replica: r, addr: r.addr}
	k.more = sync.NewCond(&k.mu)
	return k
}

func (k *link) uid() string {
	if k == nil {
		return "-"
	}
	return k.replica.uid
}

func (k *link) find(wire string) *leg {
	for _, l := range k.out {
		if l.part.wire == wire {
			return l
		}
	}
	return nil
}

// heard notes that a reply to a leg came here. Other connections to the same replica that have been silent since before
// that leg was sent come into doubt with it: nothing new is sent there. Guards against: connections that fall silent
// under a replica that lives. Should also cover: what a replica does not read any more. Could hurt: by a connection
// opened anew after heavy parts.
func (k *link) heard(l *leg, at time.Duration) {
	k.heardAt, k.passed = at, 0
	for _, o := range k.replica.links {
		if o == k || len(o.out) == 0 || o.out[0].sentAt >= l.sentAt || o.heardAt >= l.sentAt {
			continue
		}
		if o.passed++; o.passed >= mostPassed {
			o.doubted = true
		}
	}
}

// knows tells whether an id is out here or was of late.
func (k *link) knows(wire string) bool { return k.find(wire) != nil || k.lately(wire) != nil }

func (k *link) lately(wire string) *past {
	at := slices.IndexFunc(k.recent, func(p past) bool { return p.wire == wire })
	if at < 0 {
		return nil
	}
	return &k.recent[at]
}

// ghosts is how many legs were given up here that the replica may still work on: they hold places side by side.
// Guards against: parts that wait unread behind them. Should also cover: a replica that hangs. Could hurt: by a
// connection more while many are given up.
func (k *link) ghosts() (n int) {
	for _, p := range k.recent {
		if p.until > k.c.now {
			n++
		}
	}
	return n
}

// forget lets go of a leg that nothing more is awaited of. Its id stays known for a while: what still comes for it
// is no noise, and no other leg gets that id here.
func (k *link) forget(l *leg, answered bool) {
	at := slices.Index(k.out, l)
	if at < 0 {
		return
	}
	if len(k.recent) == recentIDs {
		k.recent = slices.Delete(k.recent, 0, 1)
	}
	gone := past{wire: l.part.wire}
	if !answered && k.stageOf(l) == written {
		gone.until = l.sentAt + time.Duration(l.waitMS)*time.Millisecond
	}
	k.recent = append(k.recent, gone)
	if k.out = slices.Delete(k.out, at, at+1); len(k.out) == 0 {
		once := k.single && k.c.now < k.c.fleet.staleUntil
		k.idleSince, k.single = k.c.now, false
		if k.rest(); k.replica.left || k.doubted || once {
			k.close()
		}
	}
}

// rest closes the connection once it has been idle for as long as the settings allow.
func (k *link) rest() {
	limit := k.c.fleet.idleLimit
	if k.resting || k.closed || len(k.out) > 0 || limit > 24*time.Hour {
		return
	}
	k.resting = true
	k.c.after(k.idleSince+limit-k.c.now, "", func() {
		if k.resting = false; len(k.out) == 0 && k.c.now-k.idleSince >= limit {
			k.close()
		}
		k.rest()
	})
}

func (k *link) queueUp(f frame) {
	k.mu.Lock()
	k.queue = append(k.queue, f)
	k.mu.Unlock()
	k.c.fleet.dirty = append(k.c.fleet.dirty, k)
}

func (k *link) stageOf(l *leg) stage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return l.stage
}

// withdraw takes back a leg whose frame has not been begun.
func (k *link) withdraw(l *leg) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.stage != waiting {
		return false
	}
	k.queue = slices.DeleteFunc(k.queue, func(f frame) bool { return f.leg == l })
	return true
}

// giveUp has the replica told that a leg is given up, if its frame has been begun. A connection on which
// nothing was heard since that leg was sent, for longer than a new one may take to come up, is in doubt: the
// next leg opens another, and this one ends with its legs. Guards against: machines that vanished, whose
// connections stay open and silent; a new one tells at once whether they are back, and a leg that it does not
// carry never ran. Should also cover: a replica that reads nothing any more. Could hurt: a connection more
// for each slow replica.
func (k *link) giveUp(l *leg) {
	if k.withdraw(l) {
		k.forget(l, false)
		return
	}
	if k.closed {
		return
	}
	k.queueUp(frame{giveUp: l.part.wire})
	if k.heardAt < l.sentAt && k.c.now-l.sentAt >= k.c.fleet.connectWithin {
		k.doubted = true
	}
}

// spoil ends a connection on which something came that cannot be used: nothing that follows can be trusted.
func (k *link) spoil(cause error) {
	if !k.spoilt && !k.closed {
		k.c.counts.Spoilt++
		k.c.seldom("event=spoilt replica=%s addr=%s out=%d cause=%q", k.replica.uid, k.addr, len(k.out), cause)
		k.spoilt = true
		k.close()
	}
}

// close ends the connection; its goroutines give it back.
func (k *link) close() {
	k.closed = true
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended = true
	k.more.Signal()
	if k.conn != nil {
		k.conn.Close()
	}
}

// run opens the connection, reads it to its end and gives it back.
func (k *link) run() {
	cause := k.carry()
	at := k.c.since(time.Now())
	k.c.post(func() { k.c.linkEnded(k, cause, at) })
}

func (k *link) carry() error {
	f := &k.c.fleet
	dialer := net.Dialer{Timeout: f.connectWithin}
	conn, err := dialer.DialContext(f.context, "tcp", k.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	k.mu.Lock()
	k.conn = conn
	ended := k.ended
	k.mu.Unlock()
	if ended {
		return net.ErrClosed
	}
	defer stopWith(f.context, conn)()
	k.c.post(func() { k.c.linkUp(k) })
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		k.write(conn)
	}()
	var cause error
	if panicked := guard(func() { cause = k.read(conn) }); panicked != "" {
		cause = errors.New(panicked)
	}
	conn.Close()
	k.mu.Lock()
	k.ended = true
	k.more.Signal()
	k.mu.Unlock()
	<-writer
	return cause
}

// read reads until the connection ends. Guards against: noise and lengths that do not fit, which leave a frame
// unfinished. Should also cover: a replica that stops in the midst of one. Could hurt: large values on slow links.
func (k *link) read(conn net.Conn) error {
	replies := protocol.Replies{Sizes: k.c.fleet.sizes}
	timed, looked := false, false
	for {
		n, err := conn.Read(replies.Room())
		at := k.c.since(time.Now())
		replies.Filled(n)
		var all []*protocol.Reply
		r, bad := replies.Next()
		for ; r != nil; r, bad = replies.Next() {
			all = append(all, r)
		}
		partly := replies.Waiting() > 0
		if errors.Is(err, os.ErrDeadlineExceeded) && partly && bad == nil {
			if !looked { // it may have come while this process stood still
				looked = true
				conn.SetReadDeadline(time.Now().Add(lastLook))
				continue
			}
			bad = errors.New("a frame that does not go on")
		}
		if len(all) > 0 || bad != nil {
			k.c.post(func() {
				for _, r := range all {
					if !k.spoilt {
						k.c.replied(k, r, at)
					}
				}
				if bad != nil {
					k.spoil(bad)
				}
			})
		}
		switch {
		case bad != nil:
			return bad
		case err != nil:
			return err
		case partly:
			conn.SetReadDeadline(time.Now().Add(frameWithin))
		case timed:
			conn.SetReadDeadline(time.Time{})
		}
		timed, looked = partly, false
	}
}

// write writes what is queued, all that waits in one go. How many bytes went tells which frames did. What the
// machine does not take in the time that a new connection may need ends this one. Guards against: parts that
// go out long after their retrieval's answer or a drain, from behind a replica that reads nothing. Should
// also cover: links that take nothing. Could hurt: large texts on a slow link, where buffers are small.
func (k *link) write(conn net.Conn) {
	type end struct {
		leg *leg
		at  int
	}
	var bytes []byte
	var ends []end
	for {
		k.mu.Lock()
		for len(k.queue) == 0 && !k.ended {
			k.more.Wait()
		}
		if k.ended {
			k.mu.Unlock()
			return
		}
		bytes, ends = bytes[:0], ends[:0]
		for len(k.queue) > 0 {
			if first := k.queue[0]; first.leg == nil {
				bytes = protocol.AppendGiveUp(bytes, first.giveUp)
				k.queue = k.queue[1:]
				continue
			}
			var call []protocol.CallPart
			for _, f := range k.queue[:min(len(k.queue), k.c.fleet.batch)] {
				if f.leg == nil || f.leg.part.of != k.queue[0].leg.part.of {
					break
				}
				f.leg.stage = begun
				p := f.leg.part
				call = append(call, protocol.CallPart{
					ID: p.wire, Shard: p.shard, WaitMS: f.leg.waitMS, Text: p.of.query.Text,
				})
			}
			bytes = protocol.AppendCall(bytes, call...)
			for _, f := range k.queue[:len(call)] {
				ends = append(ends, end{f.leg, len(bytes)})
			}
			k.queue = k.queue[len(call):]
		}
		k.queue = nil
		k.mu.Unlock()
		if hasEnded(conn) {
			k.mu.Lock()
			for _, e := range ends {
				e.leg.stage = waiting
			}
			k.mu.Unlock()
			conn.SetReadDeadline(time.Now().Add(lastWords))
			return
		}
		conn.SetWriteDeadline(time.Now().Add(k.c.fleet.connectWithin))
		n, err := conn.Write(bytes)
		k.mu.Lock()
		for _, e := range ends {
			if e.at <= n {
				e.leg.stage = written
			}
		}
		k.mu.Unlock()
		if err != nil {
			k.c.post(func() { k.doubted = true })
			conn.SetReadDeadline(time.Now().Add(lastWords))
			return
		}
	}
}

// hasEnded tells whether the far side has closed a connection, which its reader may not have been able to tell yet.
// Guards against: frames written after that, which may then have run as far as anybody knows.
func hasEnded(conn net.Conn) bool {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	raw.Control(func(fd uintptr) {
		one := make([]byte, 1)
		n, _, err := syscall.Recvfrom(int(fd), one, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended
}
