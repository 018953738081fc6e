package twophase

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

// data is a block's, as a box holds it: the hits of the question, in any order.
type data []Hit

// best answers a question from a block's data, the slow and plain way.
func (d data) best(f Options) []Hit {
	all := slices.Clone(d)
	slices.SortFunc(all, Before)
	if f.Ranked {
		all = all[:min(len(all), f.Limit)]
	}
	return all
}

// truth is what asking every block would give.
func truth(f Options, blocks []data) []Hit {
	var all data
	for _, d := range blocks {
		all = append(all, d...)
	}
	return all.best(f)
}

func (d data) summary(v Version) Summary {
	s := Summary{Version: v, Count: len(d), Upper: math.Inf(-1), Lower: math.Inf(1)}
	for _, h := range d {
		s.Upper, s.Lower = max(s.Upper, h.Score), min(s.Lower, h.Score)
	}
	return s
}

func equal(a, b []Hit) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// sure is a track that asks in two phases whenever it may.
func sure() *Class {
	t := NewClass(time.Second)
	t.share, t.cost, t.first, t.second = 0, 0, took{0.01, 0}, took{0.01, 0}
	return t
}

// Every subset of summaries that arrive, in every order, over small fleets: the answer is the one of one phase, and what
// was not summarized is asked.
func TestEverySubsetInEveryOrder(t *testing.T) {
	kinds := [][]float64{{}, {1}, {2}, {1, 2}, {2, 2}}
	orders := [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 3, 0, 2}, {2, 0, 3, 1}}
	runs := 0
	for mix := range 5 * 5 * 5 {
		var blocks []data
		for n, kind := range []int{mix % 5, mix / 5 % 5, mix / 25, 1} {
			var d data
			for i, score := range kinds[kind] {
				d = append(d, Hit{Shard(n), fmt.Sprint("h", i), score})
			}
			blocks = append(blocks, d)
		}
		for best := range 5 {
			for subset := range 16 {
				for _, order := range orders {
					f := Options{Ranked: true, Limit: best}
					r, err := sure().Begin(0, f, []Shard{0, 1, 2, 3}, time.Second, 2*time.Second, 3)
					if err != nil {
						t.Fatal(err)
					}
					runs++
					finish(t, r, f, blocks, subset, order)
				}
			}
		}
	}
	if runs != 125*5*16*4 {
		t.Errorf("%d runs", runs)
	}
}

// finish plays a run to its end: summaries of a subset arrive, the others never do.
func finish(t *testing.T, r *Query, f Options, blocks []data, subset int, order []int) {
	t.Helper()
	now := time.Duration(0)
	wereAsked := 0
	for range 40 {
		switch s := r.Next(now); s.Action {
		case CanMatch:
			for _, n := range order {
				if subset>>n&1 == 1 {
					r.Summarized(now, Shard(n), Replica(n), blocks[n].summary("v1"))
				}
			}
		case Wait:
			now = s.Wakeup
		case Fetch:
			for _, id := range s.Shards {
				wereAsked |= 1 << id
				if err := r.Answered(now, id, Replica(id), Answer{"v1", blocks[id].best(f)}); err != nil {
					t.Fatal(err)
				}
			}
		case Done:
			if got, want := r.Hits(), truth(f, blocks); !equal(got, want) {
				t.Fatalf("best %d of %v, summaries %b: %v, want %v", f.Limit, blocks, subset, got, want)
			}
			if f.Limit > 0 && wereAsked|subset != 15 {
				t.Fatalf("blocks %b neither summarized nor asked", 15&^(wereAsked|subset))
			}
			return
		case Reject:
			t.Fatalf("refused: %s", s.Reason)
		}
	}
	t.Fatal("it does not end")
}

// Whatever arrives, in whatever order, with data that moves, summaries that are missing, malformed, loose or false, and
// holders that differ: an answer is that of all blocks, each in a state that it had during the question; or there is none.
func TestAnyFleet(t *testing.T) { rapid.Check(t, anyFleet) }

// FuzzAnyFleet hunts on.
func FuzzAnyFleet(f *testing.F) { f.Fuzz(rapid.MakeFuzz(anyFleet)) }

func anyFleet(t *rapid.T) {
	f := Options{Ranked: rapid.Bool().Draw(t, "ranked"), SharedVersions: rapid.Bool().Draw(t, "shared")}
	if f.Ranked {
		f.Limit = rapid.IntRange(0, 6).Draw(t, "best")
	}
	count := rapid.IntRange(1, 9).Draw(t, "blocks")
	version := make([]int, count)
	states := make([][]data, count) // by version
	score := rapid.SampledFrom([]float64{-2, -1, math.Copysign(0, -1), 0, 0.5, 1, 1, 2, math.MaxFloat64, -math.MaxFloat64})
	fill := func(n int) {
		var d data
		for i := range rapid.IntRange(0, 4).Draw(t, "hits") {
			d = append(d, Hit{Shard(n), fmt.Sprint("h", i), score.Draw(t, "score")})
		}
		states[n] = append(states[n], d)
	}
	var ids []Shard
	for n := range count {
		fill(n)
		ids = append(ids, Shard(n))
	}
	track := sure()
	r, err := track.Begin(0, f, ids, time.Second, 2*time.Second, rapid.IntRange(1, 3).Draw(t, "allowance"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	proved := make([]int, count) // the version of the summary that was taken; below 0: none
	lied, was := false, make([]int, count)
	for n := range count {
		proved[n], was[n] = -1, -1
	}
	asked := make([]bool, count)
	var pending []Shard
	for range 300 {
		if len(pending) > 0 {
			at := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
			id := pending[at]
			pending = slices.Delete(pending, at, at+1)
			if rapid.IntRange(0, 3).Draw(t, "moves") == 0 {
				version[id]++
				fill(int(id))
			}
			v := version[id]
			if err := r.Answered(now, id, 1, Answer{Version(fmt.Sprint("v", v)), states[id][v].best(f)}); err != nil {
				t.Fatal(err)
			}
			was[id] = v
		}
		switch s := r.Next(now); s.Action {
		case CanMatch:
			for _, id := range rapid.Permutation(ids).Draw(t, "order") {
				v := version[id]
				good := states[id][v].summary(Version(fmt.Sprint("v", v)))
				switch rapid.IntRange(0, 9).Draw(t, "summary") {
				case 0: // missing
				case 1: // malformed
					bad := []Summary{{Count: 1}, {Version: "v", Count: -1}, {Version: "v", Count: 1, Upper: math.NaN()},
						{Version: "v", Count: 1, Upper: 1, Lower: 2}, {Version: "v", Count: 2, Upper: math.Inf(-1), Lower: math.Inf(-1)}}
					if r.Summarized(now, id, 1, bad[rapid.IntRange(0, len(bad)-1).Draw(t, "bad")]) {
						t.Fatal("a summary that contradicts itself is taken")
					}
				case 2: // loose
					good.Upper, good.Lower = math.Inf(1), math.Inf(-1)
					r.Summarized(now, id, 1, good)
					proved[id] = v
				case 3: // false, too low
					if good.Count > 0 {
						good.Upper, good.Lower, lied = -3, -4, true
					}
					r.Summarized(now, id, 1, good)
					proved[id] = v
				default:
					r.Summarized(now, id, 1, good)
					proved[id] = v
				}
				if rapid.IntRange(0, 4).Draw(t, "data moves") == 0 {
					version[id]++
					fill(int(id))
				}
			}
		case Wait:
			if len(pending) == 0 {
				now = s.Wakeup
			}
		case Fetch:
			for _, id := range s.Shards {
				if asked[id] {
					t.Fatalf("block %d is asked twice", id)
				}
				asked[id] = true
			}
			pending = append(pending, s.Shards...)
		case Reject:
			return
		case Done:
			if f.Ranked && f.Limit == 0 {
				if len(r.Hits()) > 0 {
					t.Fatal("hits where none are wanted")
				}
				return
			}
			var held []data
			for n := range count {
				switch {
				case asked[n]:
					held = append(held, states[n][was[n]])
				case proved[n] < 0:
					t.Fatalf("block %d was left out without a summary", n)
				default:
					held = append(held, states[n][proved[n]])
				}
			}
			if want := truth(f, held); !lied && !equal(r.Hits(), want) {
				t.Fatalf("%v, want %v", r.Hits(), want)
			}
			return
		}
	}
	t.Fatal("it does not end")
}

// Ties at the last place, between what was asked and what was not, are never left out.
func TestTiesAreAsked(t *testing.T) {
	r, _ := sure().Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3}, time.Second, 2*time.Second, 2)
	r.Next(0)
	for n, upper := range []float64{5, 5, 4, math.Copysign(0, -1)} {
		r.Summarized(0, Shard(n), Replica(n), Summary{"v", 1, upper, upper})
	}
	if s := r.Next(0); s.Action != Fetch || fmt.Sprint(s.Shards) != "[0 1]" {
		t.Errorf("%+v", s)
	}
}

// A first phase that has used up the time: the second is not begun, and the refusal comes at once.
func TestFirstPhaseThatTakesAllTheTime(t *testing.T) {
	track := sure()
	track.second = took{0.3, 0.01}
	r, _ := track.Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3, 4}, time.Second, 2*time.Second, 2)
	r.Next(0)
	if s := r.Next(900 * ms); s.Action != Fetch { // too late for the agreed time; the cut-off can be kept
		t.Errorf("%+v", s)
	}
	r, _ = track.Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3, 4}, time.Second, 2*time.Second, 2)
	r.Next(0)
	if s := r.Next(1800 * ms); s.Action != Reject || r.asks != 0 {
		t.Errorf("%+v after %d asks", s, r.asks)
	}
}

// Two holders of a block at different versions: it is asked, until they agree.
func TestHoldersThatDiffer(t *testing.T) {
	track := sure()
	ask := func(now time.Duration, from Replica, v Version) Step {
		r, _ := track.Begin(now, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3}, now+time.Second, now+2*time.Second, 2)
		r.Next(now)
		for n := range 3 {
			r.Summarized(now, Shard(n), 7, Summary{"v", 1, 9, 9})
		}
		r.Summarized(now, 3, from, Summary{v, 0, 0, 0})
		return r.Next(now)
	}
	for n, step := range []struct {
		from  Replica
		v     Version
		asked bool
	}{{1, "a", false}, {2, "b", true}, {2, "a", false}, {1, "b", true}, {2, "b", false}} {
		if s := ask(time.Duration(n)*ms, step.from, step.v); slices.Contains(s.Shards, 3) != step.asked {
			t.Errorf("step %d: %+v", n, s)
		}
	}
}

// An answer above its own bound spoils that holder's summaries, and the question.
func TestLiarsAreFound(t *testing.T) {
	track := sure()
	r, _ := track.Begin(0, Options{Ranked: true, Limit: 2}, []Shard{0, 1, 2, 3}, time.Second, 2*time.Second, 2)
	r.Next(0)
	for n := range 4 {
		r.Summarized(0, Shard(n), Replica(n), Summary{"v", 2, 5, 1})
	}
	r.Next(0)
	if err := r.Answered(0, 2, 2, Answer{"v", []Hit{{2, "a", 7}, {2, "b", 1}}}); err != nil {
		t.Fatal(err)
	}
	if s := r.Next(0); s.Action != Reject || !track.isSpoilt(0, 2) || track.isSpoilt(0, 1) || track.isSpoilt(spoiltFor, 2) {
		t.Errorf("%+v", s)
	}
}

// Under a jam, and where all blocks are left, the choice falls on one phase; it finds its way back.
func TestTwoPhasesOnlyWhereTheyPay(t *testing.T) {
	track, now := NewClass(time.Second), time.Duration(0)
	play := func(left float64, takes time.Duration) (two int) {
		for range 200 {
			now += 20 * ms
			var ids []Shard
			for n := range 20 {
				ids = append(ids, Shard(n))
			}
			r, _ := track.Begin(now, Options{}, ids, now+time.Second, now+2*time.Second, 2)
			for s := r.Next(now); s.Action != Done && s.Action != Reject; s = r.Next(now) {
				switch s.Action {
				case CanMatch:
					two++
					now += takes
					for n := range 20 {
						count := 1
						if float64(n) >= left*20 {
							count = 0
						}
						r.Summarized(now, Shard(n), 1, Summary{"v", count, 1, 1})
					}
				case Fetch:
					now += takes
					for _, id := range s.Shards {
						r.Answered(now, id, 1, Answer{"v", []Hit{{id, "a", 1}}})
					}
				}
			}
			r.Close(now)
		}
		return two
	}
	if n := play(0.1, 50*ms); n < 180 {
		t.Errorf("%d of 200 in two phases where a tenth is left", n)
	}
	play(1, 50*ms)
	if n := play(1, 50*ms); n > 12 {
		t.Errorf("%d of 200 in two phases where all are left", n)
	}
	play(0.1, 450*ms)
	if n := play(0.1, 450*ms); n > 0 {
		t.Errorf("%d of 200 in two phases in a jam", n)
	}
	play(0.1, 50*ms)
	if n := play(0.1, 50*ms); n < 150 {
		t.Errorf("%d of 200 in two phases after it", n)
	}
}

func TestFormsThatCannotBe(t *testing.T) {
	for _, bad := range []struct {
		f      Options
		blocks []Shard
	}{{Options{Limit: 3}, []Shard{1}}, {Options{Ranked: true, Limit: -1}, []Shard{1}}, {Options{}, nil}, {Options{}, []Shard{1, 1}}} {
		if _, err := sure().Begin(0, bad.f, bad.blocks, time.Second, time.Second, 2); err == nil {
			t.Errorf("%+v passes", bad)
		}
	}
	r, _ := sure().Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0}, time.Second, time.Second, 1)
	r.Next(0)
	for _, bad := range []Answer{{"", nil}, {"v", []Hit{{0, "a", 1}, {0, "b", 1}}}, {"v", []Hit{{1, "a", 1}}}, {"v", []Hit{{0, "", 1}}},
		{"v", []Hit{{0, "a", math.NaN()}}}, {"v", []Hit{{0, "a", math.Inf(1)}}}} {
		if r.Answered(0, 0, 1, bad) == nil {
			t.Errorf("%+v passes", bad)
		}
	}
}
