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

// shardData holds the hits of a shard for the query, in any order.
type shardData []Hit

// topHits is a simple reference implementation of answering a query from the data of a shard.
func (data shardData) topHits(options Options) []Hit {
	hits := slices.Clone(data)
	slices.SortFunc(hits, CompareHits)
	if options.Ranked {
		hits = hits[:min(len(hits), options.Limit)]
	}
	return hits
}

// onePhaseAnswer returns the answer of fetching from every shard.
func onePhaseAnswer(options Options, shards []shardData) []Hit {
	var all shardData
	for _, data := range shards {
		all = append(all, data...)
	}
	return all.topHits(options)
}

func (data shardData) summary(version Version) Summary {
	summary := Summary{Version: version, Count: len(data), Upper: math.Inf(-1), Lower: math.Inf(1)}
	for _, hit := range data {
		summary.Upper = max(summary.Upper, hit.Score)
		summary.Lower = min(summary.Lower, hit.Score)
	}
	return summary
}

func equal(a, b []Hit) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// alwaysTwoPhases returns a class that executes a query in two phases whenever that is allowed.
func alwaysTwoPhases() *Class {
	class := NewClass(time.Second)
	class.fetchedShare = 0
	class.summaryCost = 0
	class.canMatch = phaseTime{mean: 0.01}
	class.fetch = phaseTime{mean: 0.01}
	return class
}

// For small fleets, any subset of the summaries arrives, in any order. The answer equals that of one phase, and shards
// without a summary are fetched from.
func TestAnySubsetOfSummariesGivesTheOnePhaseAnswer(t *testing.T) {
	kinds := [][]float64{{}, {1}, {2}, {1, 2}, {2, 2}}
	orders := [][]int{{0, 1, 2, 3}, {3, 2, 1, 0}, {1, 3, 0, 2}, {2, 0, 3, 1}}
	runs := 0
	for mix := range 5 * 5 * 5 {
		var shards []shardData
		for n, kind := range []int{mix % 5, mix / 5 % 5, mix / 25, 1} {
			var data shardData
			for i, score := range kinds[kind] {
				data = append(data, Hit{Shard(n), fmt.Sprint("h", i), score})
			}
			shards = append(shards, data)
		}
		for limit := range 5 {
			for subset := range 16 {
				for _, order := range orders {
					options := Options{Ranked: true, Limit: limit}
					query, err := alwaysTwoPhases().Begin(0, options, []Shard{0, 1, 2, 3},
						time.Second, 2*time.Second, 3)
					if err != nil {
						t.Fatal(err)
					}
					runs++
					runToEnd(t, query, options, shards, subset, order)
				}
			}
		}
	}
	if runs != 125*5*16*4 {
		t.Errorf("%d runs", runs)
	}
}

// runToEnd runs a query to its end. The summaries of a subset of the shards arrive, the others never do.
func runToEnd(t *testing.T, query *Query, options Options, shards []shardData, subset int, order []int) {
	t.Helper()
	now := time.Duration(0)
	fetchedFrom := 0
	for range 40 {
		switch s := query.Next(now); s.Action {
		case CanMatch:
			for _, n := range order {
				if subset>>n&1 == 1 {
					query.Summarized(now, Shard(n), Replica(n), shards[n].summary("v1"))
				}
			}
		case Wait:
			now = s.Wakeup
		case Fetch:
			for _, id := range s.Shards {
				fetchedFrom |= 1 << id
				if err := query.Answered(now, id, Replica(id), Answer{"v1", shards[id].topHits(options)}); err != nil {
					t.Fatal(err)
				}
			}
		case Done:
			if got, want := query.Hits(), onePhaseAnswer(options, shards); !equal(got, want) {
				t.Fatalf("limit %d, shards %v, summaries %b: got %v, want %v", options.Limit, shards, subset, got, want)
			}
			if options.Limit > 0 && fetchedFrom|subset != 15 {
				t.Fatalf("shards %b neither summarized nor fetched from", 15&^(fetchedFrom|subset))
			}
			return
		case Reject:
			t.Fatalf("rejected: %s", s.Reason)
		}
	}
	t.Fatal("the query does not end")
}

// Summaries are missing, malformed, false or have loose bounds, arrive in any order, and data changes meanwhile.
// Either the answer equals that of all shards, each in a state that it had during the query, or the query is
// rejected.
func TestAnyFleet(t *testing.T) { rapid.Check(t, anyFleet) }

// FuzzAnyFleet runs the same check with inputs from the fuzzer.
func FuzzAnyFleet(f *testing.F) { f.Fuzz(rapid.MakeFuzz(anyFleet)) }

func anyFleet(t *rapid.T) {
	options := Options{Ranked: rapid.Bool().Draw(t, "ranked"), SharedVersions: rapid.Bool().Draw(t, "shared")}
	if options.Ranked {
		options.Limit = rapid.IntRange(0, 6).Draw(t, "limit")
	}
	count := rapid.IntRange(1, 9).Draw(t, "shards")
	version := make([]int, count)
	states := make([][]shardData, count) // by version
	score := rapid.SampledFrom([]float64{-2, -1, math.Copysign(0, -1), 0, 0.5, 1, 1, 2,
		math.MaxFloat64, -math.MaxFloat64})
	fill := func(n int) {
		var data shardData
		for i := range rapid.IntRange(0, 4).Draw(t, "hits") {
			data = append(data, Hit{Shard(n), fmt.Sprint("h", i), score.Draw(t, "score")})
		}
		states[n] = append(states[n], data)
	}
	var ids []Shard
	for n := range count {
		fill(n)
		ids = append(ids, Shard(n))
	}
	class := alwaysTwoPhases()
	query, err := class.Begin(0, options, ids, time.Second, 2*time.Second, rapid.IntRange(1, 3).Draw(t, "max attempts"))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	summaryVersion := make([]int, count) // version of the accepted summary; negative if none
	sentFalse, answeredVersion := false, make([]int, count)
	for n := range count {
		summaryVersion[n], answeredVersion[n] = -1, -1
	}
	asked := make([]bool, count)
	var pending []Shard
	for range 300 {
		if len(pending) > 0 {
			at := rapid.IntRange(0, len(pending)-1).Draw(t, "next answer")
			id := pending[at]
			pending = slices.Delete(pending, at, at+1)
			if rapid.IntRange(0, 3).Draw(t, "data changes before answer") == 0 {
				version[id]++
				fill(int(id))
			}
			v := version[id]
			if err := query.Answered(now, id, 1,
				Answer{Version(fmt.Sprint("v", v)), states[id][v].topHits(options)}); err != nil {
				t.Fatal(err)
			}
			answeredVersion[id] = v
		}
		switch s := query.Next(now); s.Action {
		case CanMatch:
			for _, id := range rapid.Permutation(ids).Draw(t, "order") {
				v := version[id]
				good := states[id][v].summary(Version(fmt.Sprint("v", v)))
				switch rapid.IntRange(0, 9).Draw(t, "summary") {
				case 0: // missing
				case 1: // malformed
					bad := []Summary{{Count: 1}, {Version: "v", Count: -1}, {Version: "v", Count: 1, Upper: math.NaN()},
						{Version: "v", Count: 1, Upper: 1, Lower: 2},
						{Version: "v", Count: 2, Upper: math.Inf(-1), Lower: math.Inf(-1)}}
					if query.Summarized(now, id, 1, bad[rapid.IntRange(0, len(bad)-1).Draw(t, "bad")]) {
						t.Fatal("a summary that contradicts itself was accepted")
					}
				case 2: // loose
					good.Upper, good.Lower = math.Inf(1), math.Inf(-1)
					query.Summarized(now, id, 1, good)
					summaryVersion[id] = v
				case 3: // false, too low
					if good.Count > 0 {
						good.Upper, good.Lower, sentFalse = -3, -4, true
					}
					query.Summarized(now, id, 1, good)
					summaryVersion[id] = v
				default:
					query.Summarized(now, id, 1, good)
					summaryVersion[id] = v
				}
				if rapid.IntRange(0, 4).Draw(t, "data changes after summary") == 0 {
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
					t.Fatalf("shard %d is fetched from twice", id)
				}
				asked[id] = true
			}
			pending = append(pending, s.Shards...)
		case Reject:
			return
		case Done:
			if options.Ranked && options.Limit == 0 {
				if len(query.Hits()) > 0 {
					t.Fatal("got hits with a limit of 0")
				}
				return
			}
			var held []shardData
			for n := range count {
				switch {
				case asked[n]:
					held = append(held, states[n][answeredVersion[n]])
				case summaryVersion[n] < 0:
					t.Fatalf("shard %d was pruned without a summary", n)
				default:
					held = append(held, states[n][summaryVersion[n]])
				}
			}
			if want := onePhaseAnswer(options, held); !sentFalse && !equal(query.Hits(), want) {
				t.Fatalf("got %v, want %v", query.Hits(), want)
			}
			return
		}
	}
	t.Fatal("the query does not end")
}

// A shard whose upper bound equals the score of the last wanted hit is not pruned, since ties are decided by shard
// and id.
func TestTiesAreFetched(t *testing.T) {
	query, _ := alwaysTwoPhases().Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3},
		time.Second, 2*time.Second, 2)
	query.Next(0)
	for n, upper := range []float64{5, 5, 4, math.Copysign(0, -1)} {
		query.Summarized(0, Shard(n), Replica(n), Summary{"v", 1, upper, upper})
	}
	if s := query.Next(0); s.Action != Fetch || fmt.Sprint(s.Shards) != "[0 1]" {
		t.Errorf("%+v", s)
	}
}

// After a slow can-match phase, the fetch phase can meet only the deadline, but not the objective, or neither of
// them. In the second case the query is rejected at once and nothing is fetched.
func TestSlowCanMatchPhase(t *testing.T) {
	class := alwaysTwoPhases()
	class.fetch = phaseTime{0.3, 0.01}
	query, _ := class.Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3, 4}, time.Second, 2*time.Second, 2)
	query.Next(0)
	if s := query.Next(900 * ms); s.Action != Fetch { // too late for the objective, in time for the deadline
		t.Errorf("%+v", s)
	}
	query, _ = class.Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3, 4}, time.Second, 2*time.Second, 2)
	query.Next(0)
	if s := query.Next(1800 * ms); s.Action != Reject || query.fetched != 0 {
		t.Errorf("%+v, fetched from %d shards", s, query.fetched)
	}
}

// If two replicas of a shard have different versions, its summaries are not used as proofs until the versions agree.
func TestReplicasWithDifferentVersionsProveNothing(t *testing.T) {
	class := alwaysTwoPhases()
	run := func(now time.Duration, from Replica, v Version) Step {
		query, _ := class.Begin(now, Options{Ranked: true, Limit: 1}, []Shard{0, 1, 2, 3},
			now+time.Second, now+2*time.Second, 2)
		query.Next(now)
		for n := range 3 {
			query.Summarized(now, Shard(n), 7, Summary{"v", 1, 9, 9})
		}
		query.Summarized(now, 3, from, Summary{v, 0, 0, 0})
		return query.Next(now)
	}
	for n, step := range []struct {
		from    Replica
		v       Version
		fetched bool
	}{{1, "a", false}, {2, "b", true}, {2, "a", false}, {1, "b", true}, {2, "b", false}} {
		if s := run(time.Duration(n)*ms, step.from, step.v); slices.Contains(s.Shards, 3) != step.fetched {
			t.Errorf("step %d: %+v", n, s)
		}
	}
}

// The hits of a shard exceed the upper bound of its summary. The query is rejected, and summaries of the replica
// that sent it are distrusted for a while.
func TestFalseSummaryRejectsTheQuery(t *testing.T) {
	class := alwaysTwoPhases()
	query, _ := class.Begin(0, Options{Ranked: true, Limit: 2}, []Shard{0, 1, 2, 3}, time.Second, 2*time.Second, 2)
	query.Next(0)
	for n := range 4 {
		query.Summarized(0, Shard(n), Replica(n), Summary{"v", 2, 5, 1})
	}
	query.Next(0)
	if err := query.Answered(0, 2, 2, Answer{"v", []Hit{{2, "a", 7}, {2, "b", 1}}}); err != nil {
		t.Fatal(err)
	}
	if s := query.Next(0); s.Action != Reject || !class.distrusts(0, 2) || class.distrusts(0, 1) ||
		class.distrusts(distrustTime, 2) {
		t.Errorf("%+v", s)
	}
}

// Queries are executed in one phase if no shards can be pruned or if phases are slow because of overload, and in
// two phases again afterwards.
func TestTwoPhasesOnlyWhereTheySaveWork(t *testing.T) {
	class, now := NewClass(time.Second), time.Duration(0)
	run := func(matching float64, latency time.Duration) (twoPhase int) {
		for range 200 {
			now += 20 * ms
			var ids []Shard
			for n := range 20 {
				ids = append(ids, Shard(n))
			}
			query, _ := class.Begin(now, Options{}, ids, now+time.Second, now+2*time.Second, 2)
			for s := query.Next(now); s.Action != Done && s.Action != Reject; s = query.Next(now) {
				switch s.Action {
				case CanMatch:
					twoPhase++
					now += latency
					for n := range 20 {
						count := 1
						if float64(n) >= matching*20 {
							count = 0
						}
						query.Summarized(now, Shard(n), 1, Summary{"v", count, 1, 1})
					}
				case Fetch:
					now += latency
					for _, id := range s.Shards {
						query.Answered(now, id, 1, Answer{"v", []Hit{{id, "a", 1}}})
					}
				}
			}
			query.Close()
		}
		return twoPhase
	}
	if n := run(0.1, 50*ms); n < 180 {
		t.Errorf("%d of 200 in two phases if a tenth of the shards match", n)
	}
	run(1, 50*ms)
	if n := run(1, 50*ms); n > 12 {
		t.Errorf("%d of 200 in two phases if all shards match", n)
	}
	run(0.1, 450*ms)
	if n := run(0.1, 450*ms); n > 0 {
		t.Errorf("%d of 200 in two phases under overload", n)
	}
	run(0.1, 50*ms)
	if n := run(0.1, 50*ms); n < 150 {
		t.Errorf("%d of 200 in two phases after overload", n)
	}
}

func TestInvalidOptionsAndAnswersAreRejected(t *testing.T) {
	for _, bad := range []struct {
		options Options
		shards  []Shard
	}{{Options{Limit: 3}, []Shard{1}}, {Options{Ranked: true, Limit: -1}, []Shard{1}}, {Options{}, nil},
		{Options{}, []Shard{1, 1}}} {
		if _, err := alwaysTwoPhases().Begin(0, bad.options, bad.shards, time.Second, time.Second, 2); err == nil {
			t.Errorf("%+v was accepted", bad)
		}
	}
	query, _ := alwaysTwoPhases().Begin(0, Options{Ranked: true, Limit: 1}, []Shard{0}, time.Second, time.Second, 1)
	query.Next(0)
	for _, bad := range []Answer{{"", nil}, {"v", []Hit{{0, "a", 1}, {0, "b", 1}}}, {"v", []Hit{{1, "a", 1}}},
		{"v", []Hit{{0, "", 1}}}, {"v", []Hit{{0, "a", math.NaN()}}}, {"v", []Hit{{0, "a", math.Inf(1)}}}} {
		if query.Answered(0, 0, 1, bad) == nil {
			t.Errorf("%+v was accepted", bad)
		}
	}
}
