package connpool

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"terntray/internal/replicaproto"
	"terntray/scheduler"
)

// world plays what may happen in any order against a pool, and judges by what connections and attempts saw alone.
type world struct {
	*farm
	chance *rand.Rand
	limits Limits
	kind   replicaproto.Protocol
	drains bool
	left   bool
	all    []*Attempt
	took   map[AttemptID]bool // by Send
	given  map[AttemptID]bool // up, or withdrawn by who sent it
	word   map[AttemptID]bool // the far side said that it never ran
	puts   map[AttemptID]int  // on connections
	room   map[ConnID]int     // as told; absent: not told
	up     map[ConnID]bool
	gone   map[ConnID]bool // ended
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{chance: rand.New(rand.NewPCG(seed, 7)), took: map[AttemptID]bool{}, given: map[AttemptID]bool{},
		word: map[AttemptID]bool{}, puts: map[AttemptID]int{}, room: map[ConnID]int{}, up: map[ConnID]bool{}, gone: map[ConnID]bool{}}
	w.kind = []replicaproto.Protocol{replicaproto.Frames, replicaproto.HTTP2}[w.chance.IntN(2)]
	w.limits = Limits{ConnectTimeout: 250 * time.Millisecond, IdleTimeout: time.Duration(w.chance.IntN(3)) * time.Second,
		MaxAttemptsPerConn: 1 + w.chance.IntN(8), MaxConns: 2 + w.chance.IntN(6), MaxStreamsPerConn: 1 + w.chance.IntN(20), MaxSharedConns: 1 + w.chance.IntN(2)}
	w.farm = newFarm(t, w.limits)
	w.p.host = w
	w.p.ReplicaListed(0, 1, "a:1", w.kind, false)
	return w
}

// Write judges what is put on a connection.
func (w *world) Write(c ConnID, l *Attempt) {
	w.farm.Write(c, l)
	w.puts[l.ID]++
	open, waits := 0, false
	for _, o := range w.all {
		if o.conn != nil && o.conn.id == c {
			open++
		}
		if o.ID < l.ID && w.took[o.ID] && !w.given[o.ID] && len(w.ended[o.ID]) == 0 && o.conn == nil {
			waits = true
		}
	}
	switch {
	case w.drains || w.left:
		w.t.Errorf("leg %d is put on a connection to a replica that wants nothing new", l.ID)
	case w.gone[c] || w.shut[c]:
		w.t.Errorf("leg %d is put on a connection that has ended", l.ID)
	case w.puts[l.ID] > 2 && w.kind == replicaproto.Frames:
		w.t.Errorf("leg %d is put on a connection for the third time", l.ID)
	case w.kind == replicaproto.HTTP2 && waits:
		w.t.Errorf("leg %d goes before one that waits for longer", l.ID)
	}
	if most, told := w.room[c]; told && w.kind == replicaproto.HTTP2 && open > 0 && len(w.p.conns[c].outstanding) > most {
		w.t.Errorf("%d legs on a connection that takes %d", len(w.p.conns[c].outstanding), most)
	}
	if w.kind == replicaproto.Frames {
		for _, o := range w.p.conns[c].outstanding {
			if o != l && o.Call.SubqueryID == l.Call.SubqueryID {
				w.t.Errorf("two legs of %s on one connection", l.Call.SubqueryID)
			}
		}
	}
}

func (w *world) Abandon(c ConnID, l *Attempt) {
	if l.Call.Stage == replicaproto.Waiting {
		w.t.Errorf("the far side is told of leg %d, of which it never heard", l.ID)
	}
}

func (w *world) Open(c ConnID, to scheduler.ReplicaID, addr string, d replicaproto.Protocol) {
	w.farm.Open(c, to, addr, d)
	stand := 0
	for _, o := range w.stands() {
		if !w.shut[o] { // what is closed to make room is given back in no time
			stand++
		}
	}
	if stand > w.limits.MaxConns {
		w.t.Errorf("%d connections of %d", stand, w.limits.MaxConns)
	}
}

// AttemptEnded judges what is told of an attempt.
func (w *world) AttemptEnded(l AttemptID, how scheduler.Outcome, took time.Duration) {
	w.farm.AttemptEnded(l, how, took)
	attempt := w.all[l-1]
	never := how == scheduler.Overloaded || how == scheduler.Unreachable
	switch {
	case len(w.ended[l]) > 1 || w.given[l]:
		w.t.Errorf("leg %d ended %v, given up %t", l, w.ended[l], w.given[l])
	case never && attempt.Call.Stage == replicaproto.Written && !w.word[l]:
		w.t.Errorf("leg %d was written whole and is told as never run", l)
	}
}

func (w *world) stands() (all []ConnID) {
	for _, c := range w.open {
		if !w.gone[c] {
			all = append(all, c)
		}
	}
	return all
}

// happens has one thing happen.
func (w *world) happens() {
	c := ConnID(0)
	if all := w.stands(); len(all) > 0 {
		c = all[w.chance.IntN(len(all))]
	}
	var on []*Attempt
	if c > 0 {
		for _, l := range w.all {
			if l.conn != nil && l.conn.id == c && !l.finished {
				on = append(on, l)
			}
		}
	}
	n := w.chance.IntN(100)
	switch {
	case n < 35:
		l := w.attempt([]string{"q.1", "q.2", "q.3", "q.4", "q.5", "q.6"}[w.chance.IntN(6)])
		l.NonIdempotent = w.chance.IntN(3) == 0
		w.all = append(w.all, l)
		w.took[l.ID] = true
		if !w.p.Send(w.now, l, 1) {
			w.took[l.ID] = false
		}
	case n < 45 && len(on) > 0 && w.up[c]:
		l := on[w.chance.IntN(len(on))]
		l.Call.Stage = max(l.Call.Stage, replicaproto.Stage(1+w.chance.IntN(2)))
	case n < 60 && len(on) > 0 && w.up[c]:
		l := on[w.chance.IntN(len(on))]
		l.Call.Stage = replicaproto.Written
		id, wire := l.ID, l.Call.SubqueryID
		if w.kind == replicaproto.Frames {
			id = 0
		}
		if got, _ := w.p.ReplyReceived(w.now, c, id, wire, w.now); got != nil {
			w.AttemptEnded(got.ID, scheduler.Succeeded, 0)
		}
	case n < 66 && len(w.all) > 0:
		l := w.all[w.chance.IntN(len(w.all))]
		if w.took[l.ID] && !w.given[l.ID] && len(w.ended[l.ID]) == 0 {
			w.given[l.ID] = true
			w.p.Abandon(w.now, l)
			if w.chance.IntN(2) == 0 {
				w.p.Forget(w.now, l)
			}
		}
	case n < 74 && c > 0 && !w.up[c] && !w.shut[c]:
		w.up[c] = true
		w.p.ConnUp(w.now, c)
	case n < 78 && c > 0:
		w.gone[c] = true
		w.p.ConnEnded(w.now, c, errors.New("as if"), w.now)
	case n < 82 && c > 0 && w.up[c] && w.kind == replicaproto.HTTP2 && !w.shut[c]:
		w.room[c] = w.chance.IntN(5)
		w.p.StreamLimitChanged(w.now, c, w.room[c])
	case n < 84 && c > 0 && w.up[c] && w.kind == replicaproto.HTTP2 && !w.shut[c]:
		w.p.GoingAway(w.now, c, "as if")
	case n < 87 && len(on) > 0 && w.up[c] && w.kind == replicaproto.HTTP2:
		l := on[w.chance.IntN(len(on))]
		if l.Call.Stage != replicaproto.Waiting {
			w.word[l.ID] = w.chance.IntN(2) == 0
			w.p.AttemptSettled(w.now, c, l.ID, w.word[l.ID], w.now)
		}
	case n == 87:
		w.drains, w.left = w.chance.IntN(2) == 0, false
		w.p.ReplicaListed(w.now, 1, "a:1", w.kind, w.drains)
	case n == 88:
		w.left = true
		w.p.ReplicaRemoved(w.now, 1)
	case n == 89 && c > 0 && w.up[c]:
		w.p.ReplicaRestarted(w.now, 1, w.now+time.Second)
	case n < 95 && c > 0 && w.up[c]:
		w.p.BytesReceived(w.now, c, w.now)
	case n >= 95:
		w.later(time.Duration(w.chance.IntN(400)) * time.Millisecond)
	}
	for _, c := range w.stands() { // drivers give back what is closed
		if w.shut[c] && w.chance.IntN(2) == 0 {
			w.gone[c] = true
			w.p.ConnEnded(w.now, c, errors.New("closed"), w.now)
		}
	}
}

// close has all connections end, and checks that nothing is left.
func (w *world) close() {
	for len(w.stands()) > 0 {
		for _, c := range w.stands() {
			w.gone[c] = true
			w.p.ConnEnded(w.now, c, errors.New("the end"), w.now)
		}
		w.later(time.Second)
	}
	w.later(time.Second)
	for _, l := range w.all {
		if w.took[l.ID] && !w.given[l.ID] && len(w.ended[l.ID]) != 1 {
			w.t.Errorf("leg %d of %d, stage %d, ended %v", l.ID, len(w.all), l.Call.Stage, w.ended[l.ID])
		}
	}
	if len(w.p.conns)+len(w.p.byAge)+len(w.p.pendingResets) > 0 {
		w.t.Errorf("%d connections, %d dying are left", len(w.p.conns), len(w.p.pendingResets))
	}
}

func play(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	for range 300 {
		w.happens()
		if t.Failed() {
			t.Fatalf("seed %d, after %d legs: go test ./pool -run TestAnyHistory", seed, len(w.all))
		}
	}
	if w.close(); t.Failed() {
		t.Fatalf("seed %d at the end", seed)
	}
}

// Whatever happens in whatever order, what the package promises holds.
func TestAnyHistory(t *testing.T) {
	for seed := range uint64(2000) {
		play(t, seed)
	}
}

// FuzzHistories hunts on.
func FuzzHistories(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(play)
}
