// Package twophase decides how a query is executed in two phases: can-match, in which each shard is asked for a summary
// of what it has, and fetch, in which only those shards are asked for hits that may contribute to the answer.
//
// A Class keeps what was learned of the queries of one class. Class.Begin opens a Query; its owner calls
// Query.Next, carries out the Step that it returns, reports what came by Summarized, NoSummary and Answered, and
// asks Next again. The time comes with each call. The package does no I/O, has no clock and no goroutine, and
// places nothing: which replica gets a subquery, and whether again, is decided in package scheduler.
//
// It promises that an answer is the one that fetching from every shard would have given, each shard in a state that it
// had at some moment during the query, or that there is none. A shard is left out only on the proof of its own summary
// (prune.go), and only as long as the answers bear that proof out. A query that can no longer be complete in time is
// rejected at once. Each shard is asked for hits once.
package twophase

import (
	"cmp"
	"math"
	"time"
)

type (
	// Shard names a shard.
	Shard int
	// Replica names a replica that holds some shards.
	Replica uint32
	// Version names a state of a shard's data; empty is no version.
	Version string
)

// Options are what a query wants.
type Options struct {
	Ranked bool // the best hits by score; else all that match
	Limit  int  // number of hits that are wanted; only where Ranked
	// SharedVersions says that all shards share one sequence of versions: an answer of another version than a summary
	// ends that summary's proof.
	SharedVersions bool
}

// Summary is what a shard says of a query without answering it.
type Summary struct {
	Version Version
	Count   int     // of its hits
	Upper   float64 // no hit scores above; +Inf where that is not known
	Lower   float64 // every hit scores at least this; -Inf where that is not known
}

// consistent reports whether a summary can be used as a proof. One that contradicts itself proves nothing.
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

// Hit is one result. Its score has no meaning where the query is not ranked.
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

// Answer is the hits of one shard: of a ranked query the best ones in order, Options.Limit at the most.
type Answer struct {
	Version Version
	Hits    []Hit
}

// Action is what the owner of a query has to do next.
type Action int

// The actions.
const (
	Wait     Action = iota // nothing until something is reported, or until Step.Wakeup
	CanMatch               // ask Step.Shards for their summaries
	Fetch                  // ask Step.Shards for their hits; what is still out for summaries is cancelled
	Done                   // the answer is complete: Query.Hits
	Reject                 // no complete answer can come in time
)

// Step is the next action of a query.
type Step struct {
	Action Action
	Shards []Shard
	Reason string // for logs
	// Wakeup, where the action is Wait, is when Next has to be called again at the latest.
	Wakeup time.Duration
}
