package fake

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	shardsRandomStream = 5 // sets the draws of Shards apart from others with the same seed
	lateSummaryTime    = 400 * time.Millisecond
)

// Record is a scored record of a shard.
type Record struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Shards are the data of a fleet, for two-phase queries: scored records by shard, and each shard's version. A
// query's text is "score>=X".
type Shards struct {
	mu      sync.Mutex
	Records [][]Record
	version []int
	// RecordsRead is the work of all replicas so far, in records; a summary reads none but costs one.
	RecordsRead  int
	SummaryCalls int
	AnswerCalls  int
}

// NewShards draws shards of up to maxRecords records, with scores in steps so that ties are common. Selectivity is
// the share of shards that hold anything of score 0 or more; the rest hold only what is below.
func NewShards(seed uint64, shards, maxRecords int, selectivity float64) *Shards {
	random := rand.New(rand.NewPCG(seed, shardsRandomStream))
	data := &Shards{version: make([]int, shards)}
	for shard := range shards {
		var records []Record
		selected := random.Float64() < selectivity
		for n := range random.IntN(maxRecords + 1) {
			score := -1 - float64(random.IntN(8))/2
			if selected {
				score = float64(random.IntN(9)) / 2
			}
			records = append(records, Record{ID: fmt.Sprintf("r%d-%d", shard, n), Score: score})
		}
		data.Records = append(data.Records, records)
	}
	return data
}

// AdvanceVersion gives a shard a new version of the same data.
func (shards *Shards) AdvanceVersion(shard int) {
	shards.mu.Lock()
	defer shards.mu.Unlock()
	shards.version[shard]++
}

// matching returns the records of a shard that a query matches, the best score first.
func (shards *Shards) matching(shard int, minScore float64) []Record {
	var matching []Record
	for _, record := range shards.Records[shard] {
		if record.Score >= minScore {
			matching = append(matching, record)
		}
	}
	slices.SortFunc(matching, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), strings.Compare(a.ID, b.ID))
	})
	return matching
}

// hit is a record in a client's response.
type hit struct {
	Segment int     `json:"segment"`
	ID      string  `json:"id"`
	Score   float64 `json:"score"`
}

// ExpectedResponse is the body of the complete response to a query, worked out from all shards, without phases and
// replicas.
func (shards *Shards) ExpectedResponse(queried []int, minScore float64, limit *int) string {
	shards.mu.Lock()
	defer shards.mu.Unlock()
	hits := []hit{}
	for _, shard := range queried {
		for _, record := range shards.matching(shard, minScore) {
			hits = append(hits, hit{Segment: shard, ID: record.ID, Score: record.Score})
		}
	}
	slices.SortStableFunc(hits, func(a, b hit) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.Segment, b.Segment))
	})
	if limit != nil {
		hits = hits[:min(len(hits), *limit)]
	}
	body, _ := json.Marshal(struct {
		AllIn bool  `json:"all_in"`
		Hits  []hit `json:"hits"`
	}{true, hits})
	return string(body)
}

// SummaryFault is what is wrong with a replica's summaries.
type SummaryFault int

// The faults.
const (
	NoFault           SummaryFault = iota
	LooseBounds                    // bounds that say little
	NoSummary                      // no reply to the request for a summary
	LateSummary                    // a reply long after it was asked
	MalformedSummary               // what cannot be used
	StaleVersion                   // a summary of the version before
	FalseBounds                    // bounds that are too low
	ResetAfterSummary              // its connection is reset behind the summary
	NoAnswer                       // no reply to the request for hits
	NumSummaryFaults               // how many there are
)

// twoPhaseCall is the first line of a call of a two-phase query.
type twoPhaseCall struct {
	Ask     string `json:"ask"`
	Limit   *int   `json:"best"`
	Version string `json:"version"`
}

// Behavior answers calls of two-phase queries. It asks faultOf for the fault of each call and workTime for how long
// it takes.
func (shards *Shards) Behavior(faultOf func(replica *Replica, call Call, isSummary bool) SummaryFault,
	workTime func(isSummary bool, records int) time.Duration) Behavior {
	return func(replica *Replica, call Call) {
		header, text, _ := strings.Cut(call.Text, "\n")
		var asked twoPhaseCall
		if json.Unmarshal([]byte(header), &asked) != nil {
			replica.OnMalformed("replica %s: a call that is no question: %q", replica.UID, call.Text)
			return
		}
		var minScore float64
		_, _ = fmt.Sscanf(text, "score>=%g", &minScore)
		isSummary := asked.Ask == "summary"
		fault := faultOf(replica, call, isSummary)
		value := shards.replyValue(call.Shard, asked, minScore, fault)
		time.AfterFunc(workTime(isSummary, len(shards.Records[call.Shard])), func() {
			replyWithFault(replica, call, value, isSummary, fault)
		})
	}
}

// replyValue counts a call and returns its reply's value.
func (shards *Shards) replyValue(shard int, asked twoPhaseCall, minScore float64, fault SummaryFault) string {
	shards.mu.Lock()
	records := shards.matching(shard, minScore)
	version := shards.version[shard]
	if asked.Ask == "summary" {
		shards.RecordsRead++
		shards.SummaryCalls++
		shards.mu.Unlock()
		return summaryOf(records, version, fault)
	}
	shards.RecordsRead += 1 + len(shards.Records[shard])
	shards.AnswerCalls++
	shards.mu.Unlock()
	if asked.Limit != nil {
		records = records[:min(len(records), *asked.Limit)]
	}
	if records == nil {
		records = []Record{}
	}
	body, _ := json.Marshal(map[string]any{"version": versionName(version), "hits": records})
	return string(body)
}

// replyWithFault replies, if the fault lets it.
func replyWithFault(replica *Replica, call Call, value string, isSummary bool, fault SummaryFault) {
	noReply := isSummary && fault == NoSummary || !isSummary && fault == NoAnswer
	switch {
	case noReply:
	case isSummary && fault == LateSummary:
		time.AfterFunc(lateSummaryTime, func() { replica.Reply(call, "OK", value) })
	default:
		replica.Reply(call, "OK", value)
	}
	if fault == ResetAfterSummary {
		ResetConnection(replica, call)
	}
}

func versionName(version int) string { return fmt.Sprint("v", version) }

// malformedSummaries are summaries that cannot be used.
var malformedSummaries = []string{
	"{", `{"version":"v1"}`, `{"version":"","count":1}`, `{"version":"v","count":-3}`,
	`{"version":"v","count":1,"upper":1,"lower":2}`, `{"version":"v","count":1,"upper":1e999}`, "[]",
}

// summaryOf is the summary of matching records, with a fault.
func summaryOf(matching []Record, version int, fault SummaryFault) string {
	if fault == MalformedSummary {
		return malformedSummaries[len(matching)%len(malformedSummaries)]
	}
	summary := map[string]any{"version": versionName(version), "count": len(matching)}
	if len(matching) > 0 {
		summary["upper"] = matching[0].Score
		summary["lower"] = matching[len(matching)-1].Score
	}
	switch {
	case fault == LooseBounds:
		delete(summary, "lower")
		summary["upper"] = 1000
	case fault == StaleVersion:
		summary["version"] = versionName(version - 1)
	case fault == FalseBounds && len(matching) > 0:
		summary["upper"] = -100
		summary["lower"] = -100
	}
	body, _ := json.Marshal(summary)
	return string(body)
}
