// Package twophase controls the execution of two-phase queries. In the can-match phase each shard is asked for a
// summary of its matches; in the fetch phase only the shards that may contribute to the answer are asked for hits.
//
// A Class holds estimates learned from the queries of one class. Class.Begin opens a Query. Its owner calls Query.Next,
// carries out the returned Step, reports the replies by Summarized, NoSummary and Answered, and calls Next again. The
// current time is an argument of each call. The package does no I/O and has no clock and no goroutine. Placement and
// retries of subqueries are decided by package scheduler.
//
// The package guarantees that an answer is equal to that of fetching from every shard, each in a state that it had at
// some time during the query; otherwise the query has no answer. A shard is skipped only if its own summary proves that
// it cannot contribute (prune.go), and only while the answers do not invalidate that proof. A query that can no longer
// complete in time is rejected at once. Each shard is asked for hits at most once.
package twophase

import (
	"cmp"
	"math"
	"time"
)

type (
	// Shard identifies a shard.
	Shard int
	// Replica identifies a replica, which holds some of the shards.
	Replica uint32
	// Version identifies a state of a shard's data; empty means that there is none.
	Version string
)

// Options specifies which hits a query wants.
type Options struct {
	Ranked bool // the best hits by score; otherwise all matches
	Limit  int  // number of hits wanted; only if Ranked
	// SharedVersions means that all shards share one sequence of versions: an answer with a different version than a
	// summary invalidates that summary as a proof.
	SharedVersions bool
}

// Summary describes the hits of a shard for a query without listing them.
type Summary struct {
	Version Version
	Count   int     // number of hits
	Upper   float64 // upper bound of the scores; +Inf if unknown
	Lower   float64 // lower bound of the scores; -Inf if unknown
}

// consistent reports whether a summary does not contradict itself and so can be used as a proof.
func (summary Summary) consistent() bool {
	if summary.Version == "" || summary.Count < 0 {
		return false
	}
	if math.IsNaN(summary.Upper) || math.IsNaN(summary.Lower) {
		return false
	}
	if summary.Count == 0 {
		return true
	}
	unreachable := math.IsInf(summary.Upper, -1) || math.IsInf(summary.Lower, 1)
	return summary.Lower <= summary.Upper && !unreachable
}

// Hit is one result. Its score is meaningless if the query is not ranked.
type Hit struct {
	Shard Shard
	ID    string
	Score float64
}

// CompareHits is a sort comparison for the hits of an answer: highest score first, then lowest shard, then lowest id.
// Negative zero equals zero.
func CompareHits(a, b Hit) int {
	return cmp.Or(cmp.Compare(b.Score+0, a.Score+0), cmp.Compare(a.Shard, b.Shard), cmp.Compare(a.ID, b.ID))
}

// Answer holds the hits of one shard, in order; for a ranked query, at most the best Options.Limit of them.
type Answer struct {
	Version Version
	Hits    []Hit
}

// Action is the next action of the owner of a query.
type Action int

// The actions.
const (
	Wait     Action = iota // wait for the next reply, at most until Step.Wakeup
	CanMatch               // ask Step.Shards for their summaries
	Fetch                  // cancel pending summary requests and ask Step.Shards for their hits
	Done                   // the answer is complete; see Query.Hits
	Reject                 // a complete answer is no longer possible in time
)

// Step describes the next action of a query.
type Step struct {
	Action Action
	Shards []Shard
	Reason string // for logs
	// Wakeup is the latest time for the next call of Next, if the action is Wait.
	Wakeup time.Duration
}
