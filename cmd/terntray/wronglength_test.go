package main

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/valuecheck"
)

// valuesBefore are the values that a process receives before the reply with a wrong length. Those of replica s-a have 8
// bytes for the shards up to 9 and 9 bytes for the others.
var valuesBefore = []string{"none", "one size", "several sizes", "two sizes"}

func receiveValuesBefore(client *clientConn, replica *fake.Replica, before string) {
	client.t.Helper()
	if before != "none" {
		receiveValues(client, replica, enoughValues)
	}
	larger := map[string]int{"several sizes": 1, "two sizes": enoughValues}[before]
	for n := range larger {
		client.send(query("look", fmt.Sprint("larger", n), 10, 23))
		client.expect(map[int]string{23: value(replica, 23)})
	}
}

// Guards against clients being served a value that is cut short: the length of a reply is too small, so that the reply
// looks like a good one with a shorter value. It may be the process's first reply or follow values of one or several
// sizes, and the rest of the value may arrive with it or up to 240 ms later.
func TestValueCutShortByItsLengthIsNotServed(t *testing.T) {
	for _, model := range []string{"m", "h2"} {
		for _, before := range valuesBefore {
			for _, missing := range []int{1, 3, 8} {
				for _, delay := range []time.Duration{0, 10 * time.Millisecond, 240 * time.Millisecond} {
					name := fmt.Sprintf("%s, values before: %s, %d missing after %v", model, before, missing, delay)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						testShortLength(t, model, before, missing, delay)
					})
				}
			}
		}
	}
}

func testShortLength(t *testing.T, model, before string, missing int, delay time.Duration) {
	replica := newReplica(t, "s-a", 0, succeed)
	replica.Model = model
	program, _ := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
	client := program.connect()
	receiveValuesBefore(client, replica, before)
	shards := []int{3, 4}
	if before == "two sizes" {
		shards = []int{23, 22} // of the larger size: with one byte missing they have the smaller one
	}
	replica.SetBehavior(fake.ShortLength(missing, delay))
	client.send(query("claim", "q1", 10, shards[0]))
	if answer := client.receive(); answer.status != 500 {
		t.Errorf("non-idempotent: status %d %s", answer.status, answer.body)
	}
	replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
		replica.SetBehavior(succeed)
		fake.ShortLength(missing, delay)(replica, call)
	})
	client.send(query("look", "q2", 10, shards[1]))
	client.expect(map[int]string{shards[1]: value(replica, shards[1])})
	if counters := program.counters(); counters["spoilt"] != 2 {
		t.Errorf("counters %v", counters)
	}
}

// Guards against clients being served a value that is cut short because its connection ends before the rest comes: an end,
// orderly or not, shows nothing about the length of the reply before it. That the size is unusual does.
func TestValueCutShortBeforeItsConnectionEndsIsNotServed(t *testing.T) {
	const (
		settled   = 80                    // values of one size after which another one is unusual
		endsAfter = 50 * time.Millisecond // less than a value is withheld over frames
	)
	for _, model := range []string{"m", "h2"} {
		for end, endConnection := range map[string]fake.Behavior{"reset": reset, "orderly": fake.CloseConnection} {
			for _, missing := range []int{1, 3, 8} {
				t.Run(fmt.Sprintf("%s, %s, %d missing", model, end, missing), func(t *testing.T) {
					t.Parallel()
					replica := newReplica(t, "s-a", 0, succeed)
					replica.Model = model
					replica.OmitsContentLength = true
					program, _ := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
					client := program.connect()
					receiveValues(client, replica, settled)
					replica.SetBehavior(func(replica *fake.Replica, call fake.Call) {
						replica.SetBehavior(succeed)
						replica.IgnorePings(true) // an answer would be taken for what follows the value
						fake.CutShort(missing)(replica, call)
						time.AfterFunc(endsAfter, func() {
							endConnection(replica, call)
							replica.IgnorePings(false)
						})
					})
					client.send(query("look", "q1", 10, 3))
					client.expect(map[int]string{3: value(replica, 3)})
					if legs := program.counters()["legs"]; legs != settled+2 {
						t.Errorf("%d attempts, want %d", legs, settled+2)
					}
				})
			}
		}
	}
}

// Guards against clients being served another query's reply behind their own: the length of a reply takes in the next one
// on its connection, whole, in part or twice, and its rest arrives with it or later. Both subqueries may have run.
func TestValueThatTakesInTheNextReplyIsNotServed(t *testing.T) {
	for _, model := range []string{"m", "h2"} {
		for _, before := range valuesBefore {
			for name, long := range map[string]fake.LongLength{
				"whole": {Copies: 1, TakenIn: -1}, "twice": {Copies: 2, TakenIn: -1},
				"two bytes":              {Copies: 1, TakenIn: 2},
				"two bytes, rest late":   {Copies: 1, TakenIn: 2, Delay: 240 * time.Millisecond},
				"half, rest late":        {Copies: 1, TakenIn: 20, Delay: 240 * time.Millisecond},
				"once of two, rest late": {Copies: 2, TakenIn: 45, Delay: 60 * time.Millisecond},
			} {
				t.Run(fmt.Sprintf("%s, values before: %s, %s", model, before, name), func(t *testing.T) {
					t.Parallel()
					testLongLength(t, model, before, long)
				})
			}
		}
	}
}

func testLongLength(t *testing.T, model, before string, long fake.LongLength) {
	replica := newReplica(t, "s-a", 0, succeed)
	replica.Model = model
	program, _ := startDeploymentWith(t, settings, allHTTP2, 1024, replica)
	client := program.connect()
	receiveValuesBefore(client, replica, before)
	replica.SetBehavior(long.Behavior())
	client.send(query("look", "q1", 10, 3, 4))
	client.expect(map[int]string{3: value(replica, 3), 4: value(replica, 4)})
	if counters := program.counters(); counters["spoilt"] == 0 {
		t.Errorf("counters %v", counters)
	}
}

// Guards against a confirmation that delays sound replies: once values of two sizes are known, a query takes no longer than
// before replies were withheld at all, by the median of queries that alternate between both sizes.
func TestValuesOfTwoSizesAreNotDelayed(t *testing.T) {
	const (
		learned  = 300                   // queries after which both sizes are known
		measured = 101                   // queries
		limit    = 20 * time.Millisecond // the former wait for each reply
	)
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	var took []time.Duration
	for n := range learned + measured {
		shard := 3 + 20*(n%2)
		start := time.Now()
		client.send(query("look", fmt.Sprint("q", n), 10, shard))
		client.expect(map[int]string{shard: value(replica, shard)})
		if n >= learned {
			took = append(took, time.Since(start))
		}
	}
	slices.Sort(took)
	if median := took[measured/2]; median >= limit {
		t.Errorf("the median is %v, want under %v; values are withheld for up to %v", median, limit,
			valuecheck.ConfirmationWait)
	}
}
