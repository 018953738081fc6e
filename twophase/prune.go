package twophase

import (
	"math"
	"slices"
)

// This file decides which shards are pruned, that is, proved to contribute nothing and skipped in the fetch phase.
// A shard is pruned if its summary says that nothing matches, or if its upper bound is below the threshold, the highest
// score that at least Options.Limit hits are known to reach. A bound equal to the threshold proves nothing, as ties are
// decided by shard and id.
//
// Pruning is repeated before each wave and before the query completes. Once a shard has answered, its hits replace the
// hits promised by its summary, so in the end all proofs are based on actual hits. If a promise was not kept, or the
// version has changed meanwhile, the shards concerned are fetched from after all.

// prune marks the shards that are proved to contribute nothing and unmarks those whose proof no longer holds.
func (query *Query) prune() {
	threshold, known := query.threshold()
	for _, shard := range query.shards {
		if shard.state == pruned {
			shard.state = summarized
		}
		if shard.state != summarized || !query.usableAsProof(shard) {
			continue
		}
		empty := shard.summary.Count == 0
		belowThreshold := query.options.Ranked && known && shard.summary.Upper < threshold
		if empty || belowThreshold {
			shard.state = pruned
		}
	}
}

// usableAsProof reports whether the summary of a shard may be used as a proof.
func (query *Query) usableAsProof(shard *shardProgress) bool {
	if shard.distrusted {
		return false
	}
	return !query.options.SharedVersions || !query.hasOtherVersion(shard.summary.Version)
}

// threshold returns the highest score that at least Options.Limit hits are known to reach, or false if fewer hits are
// known. A shard whose own promised hits count towards the threshold cannot be below it.
func (query *Query) threshold() (score float64, known bool) {
	if !query.options.Ranked {
		return 0, false
	}
	var scores []float64
	for _, shard := range query.shards {
		scores = query.appendKnownScores(scores, shard)
	}
	if len(scores) < query.options.Limit {
		return 0, false
	}
	slices.Sort(scores)
	return scores[len(scores)-query.options.Limit], true
}

// appendKnownScores appends a score for each hit that a shard has returned or that its summary promises.
func (query *Query) appendKnownScores(scores []float64, shard *shardProgress) []float64 {
	switch shard.state {
	case answered:
		for _, hit := range shard.answer.Hits {
			scores = append(scores, hit.Score)
		}
	case summarized, pruned:
		if shard.distrusted || math.IsInf(shard.summary.Lower, -1) {
			return scores
		}
		for range min(shard.summary.Count, query.options.Limit) {
			scores = append(scores, shard.summary.Lower)
		}
	}
	return scores
}

// hasOtherVersion reports whether a shard has answered with another version.
func (query *Query) hasOtherVersion(version Version) bool {
	return slices.ContainsFunc(query.shards, func(shard *shardProgress) bool {
		return shard.state == answered && shard.answer.Version != version
	})
}
