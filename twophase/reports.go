package twophase

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

var errNoVersion = errors.New("answer has no version")

// Summarized records the summary of a shard, sent by a replica, and reports whether it can be used. If it contradicts
// itself, the shard is fetched from. A summary that is late or was not requested is ignored.
func (query *Query) Summarized(now time.Duration, id Shard, from Replica, summary Summary) (usable bool) {
	shard := query.byID[id]
	if shard == nil || shard.state != pending || query.phase != canMatchPhase {
		return false
	}
	replicasAgree := query.class.observeVersion(now, id, from, summary.Version)
	if !summary.consistent() {
		shard.state = noSummary
		return false
	}
	shard.state = summarized
	shard.summary = summary
	shard.summarizer = from
	shard.distrusted = !replicasAgree || query.class.distrusts(now, from)
	return true
}

// NoSummary records that no summary of a shard is available, so that it is fetched from.
func (query *Query) NoSummary(id Shard) {
	if shard := query.byID[id]; shard != nil && shard.state == pending {
		shard.state = noSummary
	}
}

// Answered records the hits of a shard, sent by a replica. It returns an error if they cannot be used; the shard then
// still needs an answer.
//
// If the hits contradict the shard's summary of the same version, the summary was false. As other shards may have
// been pruned because of it, the query is rejected, and summaries of the replica that sent it are distrusted for
// distrustTime.
func (query *Query) Answered(now time.Duration, id Shard, from Replica, answer Answer) error {
	shard := query.byID[id]
	if shard == nil || shard.state != fetching {
		return fmt.Errorf("unexpected answer: shard %d was not asked for hits", id)
	}
	if err := query.checkAnswer(id, answer); err != nil {
		return err
	}
	query.class.observeVersion(now, id, from, answer.Version)
	if query.contradicts(shard, answer) {
		query.class.distrust(now, shard.summarizer)
		query.rejection = "a shard's answer contradicts its summary"
	}
	shard.state = answered
	shard.answer = answer
	if len(query.shardsInState(fetching)) == 0 {
		query.class.fetch.observe(now - query.waveStartedAt)
		query.waveStartedAt = now
	}
	return nil
}

// checkAnswer validates an answer without regard to the summary.
func (query *Query) checkAnswer(id Shard, answer Answer) error {
	if answer.Version == "" {
		return errNoVersion
	}
	if query.options.Ranked && len(answer.Hits) > query.options.Limit {
		return fmt.Errorf("answer has %d hits, want at most %d", len(answer.Hits), query.options.Limit)
	}
	seen := make(map[string]bool, len(answer.Hits))
	for n, hit := range answer.Hits {
		switch {
		case hit.Shard != id || hit.ID == "" || seen[hit.ID]:
			return fmt.Errorf("hit %d has an unexpected shard or an empty or duplicate id: shard %d, id %.40q",
				n, hit.Shard, hit.ID)
		case math.IsNaN(hit.Score) || math.IsInf(hit.Score, 0):
			return fmt.Errorf("hit %d has no finite score", n)
		case n > 0 && CompareHits(answer.Hits[n-1], hit) >= 0:
			return fmt.Errorf("hit %d is out of order", n)
		}
		seen[hit.ID] = true
	}
	return nil
}

// contradicts reports whether an answer shows that the shard's trusted summary of the same version was false.
func (query *Query) contradicts(shard *shardProgress, answer Answer) bool {
	summary := shard.summary
	if shard.distrusted || summary.Version == "" || summary.Version != answer.Version {
		return false
	}
	wanted := summary.Count
	if query.options.Ranked {
		wanted = min(wanted, query.options.Limit)
	}
	if len(answer.Hits) != wanted {
		return true
	}
	outOfBounds := func(hit Hit) bool { return hit.Score > summary.Upper || hit.Score < summary.Lower }
	return query.options.Ranked && slices.ContainsFunc(answer.Hits, outOfBounds)
}
