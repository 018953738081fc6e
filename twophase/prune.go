package twophase

import (
	"math"
	"slices"
)

// This file has the proofs by which a shard is left out of the fetch phase. A shard adds nothing if its summary
// says that nothing matches, or if no hit of it can score as much as the last of the wanted hits that are known to
// exist. An equal score proves nothing, as ties are decided by shard and id.
//
// The proofs are looked at anew before each wave and before the end. What a summary promises counts only until its
// shard has answered, so that in the end all proofs rest on hits alone: promises that were not kept, and versions
// that moved meanwhile, have the shard fetched from after all.

// prune marks the shards that are proved to add nothing, and takes back what is no longer proved.
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

// usableAsProof reports whether a shard's summary may prove anything.
func (query *Query) usableAsProof(shard *shardProgress) bool {
	if shard.distrusted {
		return false
	}
	return !query.options.SharedVersions || !query.hasOtherVersion(shard.summary.Version)
}

// threshold is the score that the wanted number of hits is known to reach. It is not known while there are fewer
// hits. A shard that helps to reach it by its own promise cannot be below it.
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

// appendKnownScores appends a score for each hit that a shard has given or, by its summary, promised.
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

// hasOtherVersion reports whether an answer of another version has come.
func (query *Query) hasOtherVersion(version Version) bool {
	return slices.ContainsFunc(query.shards, func(shard *shardProgress) bool {
		return shard.state == answered && shard.answer.Version != version
	})
}
