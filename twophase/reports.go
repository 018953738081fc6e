package twophase

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

var errNoVersion = errors.New("no version")

// Summarized takes the summary of a shard, from a replica, and reports whether it can be used. One that contradicts
// itself proves nothing: the shard is fetched from. A summary that comes too late, or for a shard that is not asked
// for one, changes nothing.
func (query *Query) Summarized(now time.Duration, id Shard, from Replica, summary Summary) (usable bool) {
	shard := query.byID[id]
	if shard == nil || shard.state != pending || query.phase != canMatchPhase {
		return false
	}
	replicasAgree := query.class.observeVersion(now, id, from, summary.Version)
	if !summary.consistent() {
		shard.state = withoutInfo
		return false
	}
	shard.state = summarized
	shard.summary = summary
	shard.summarizer = from
	shard.distrusted = !replicasAgree || query.class.distrusts(now, from)
	return true
}

// NoSummary says that no summary of a shard will come: it is fetched from.
func (query *Query) NoSummary(id Shard) {
	if shard := query.byID[id]; shard != nil && shard.state == pending {
		shard.state = withoutInfo
	}
}

// Answered takes the hits of a shard, from a replica. An error says why they cannot be used; the shard has still to be
// answered then.
//
// Hits that the shard's own summary of the same version excludes show that the summary was false. Other shards may have
// been left out because of it, so the query is rejected, and summaries of the replica that gave it are distrusted for a
// while.
func (query *Query) Answered(now time.Duration, id Shard, from Replica, answer Answer) error {
	shard := query.byID[id]
	if shard == nil || shard.state != fetching {
		return fmt.Errorf("shard %d was not fetched from", id)
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
	if len(query.inState(fetching)) == 0 {
		query.class.fetch.observe(now - query.waveAt)
		query.waveAt = now
	}
	return nil
}

// checkAnswer checks an answer by itself.
func (query *Query) checkAnswer(id Shard, answer Answer) error {
	if answer.Version == "" {
		return errNoVersion
	}
	if query.options.Ranked && len(answer.Hits) > query.options.Limit {
		return fmt.Errorf("found %d hits, wanted %d at the most", len(answer.Hits), query.options.Limit)
	}
	seen := make(map[string]bool, len(answer.Hits))
	for n, hit := range answer.Hits {
		switch {
		case hit.Shard != id || hit.ID == "" || seen[hit.ID]:
			return fmt.Errorf("hit %d of shard %d, id %.40q", n, hit.Shard, hit.ID)
		case math.IsNaN(hit.Score) || math.IsInf(hit.Score, 0):
			return fmt.Errorf("hit %d has no score", n)
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
