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
	shardsRandomStream = 5 // PCG stream; keeps the draws of Shards independent of others with the same seed
	lateSummaryDelay   = 400 * time.Millisecond
)

// Record is a scored record of a shard.
type Record struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Shards holds the data of a fleet for two-phase queries: the scored records and the version of each shard. The text of
// a query is "score>=X".
type Shards struct {
	mu      sync.Mutex
	Records [][]Record
	version []int
	// RecordsRead is the total work of all replicas, in records read; a summary reads none but counts as one.
	RecordsRead  int
	SummaryCalls int
	AnswerCalls  int
}

// NewShards generates random shards of up to maxRecords records each, with scores in steps of a half so that ties are
// common. Selectivity is the share of shards whose records have scores of at least 0; all others have negative scores.
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

// AdvanceVersion advances a shard's version without changing its records.
func (shards *Shards) AdvanceVersion(shard int) {
	shards.mu.Lock()
	defer shards.mu.Unlock()
	shards.version[shard]++
}

// matching returns the records of a shard that match a query, by descending score.
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

// hit is a matching record in the response to a client.
type hit struct {
	Segment int     `json:"segment"`
	ID      string  `json:"id"`
	Score   float64 `json:"score"`
}

// ExpectedResponse returns the body of the complete response to a query, computed directly from all queried shards,
// without phases or replicas.
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

// SummaryFault is a fault of a replica in a two-phase query.
type SummaryFault int

const (
	NoFault           SummaryFault = iota
	LooseBounds                    // bounds so wide that they are of little use
	NoSummary                      // no reply to the request for a summary
	LateSummary                    // the summary arrives only after lateSummaryDelay
	MalformedSummary               // a summary that cannot be parsed or is invalid
	StaleVersion                   // a summary with the previous version
	FalseBounds                    // bounds that are too low
	ResetAfterSummary              // the connection is reset right after the reply, also to a fetch
	NoAnswer                       // no reply to the fetch
	NumSummaryFaults               // the number of values, including NoFault
)

// twoPhaseCall is the first line of the text of a call of a two-phase query.
type twoPhaseCall struct {
	Ask     string `json:"ask"`
	Limit   *int   `json:"best"`
	Version string `json:"version"`
}

// Behavior returns a behavior that answers calls of two-phase queries. For each call, faultOf returns its fault and
// workTime the time until the reply.
func (shards *Shards) Behavior(faultOf func(replica *Replica, call Call, isSummary bool) SummaryFault,
	workTime func(isSummary bool, records int) time.Duration) Behavior {
	return func(replica *Replica, call Call) {
		request, minScore, err := parseTwoPhaseCall(call)
		if err != nil {
			replica.OnMalformed("replica %s: not a call of a two-phase query: %q", replica.UID, call.Text)
			return
		}
		isSummary := request.Ask == "summary"
		fault := faultOf(replica, call, isSummary)
		value := shards.replyValue(call.Shard, request, minScore, fault)
		time.AfterFunc(workTime(isSummary, len(shards.Records[call.Shard])), func() {
			replyWithFault(replica, call, value, isSummary, fault)
		})
	}
}

// ValueOf returns the value of a sound reply to a call of a two-phase query, or "" if it is none.
func (shards *Shards) ValueOf(call Call) string {
	request, minScore, err := parseTwoPhaseCall(call)
	if err != nil {
		return ""
	}
	return shards.replyValue(call.Shard, request, minScore, NoFault)
}

func parseTwoPhaseCall(call Call) (request twoPhaseCall, minScore float64, err error) {
	header, text, _ := strings.Cut(call.Text, "\n")
	err = json.Unmarshal([]byte(header), &request)
	_, _ = fmt.Sscanf(text, "score>=%g", &minScore)
	return request, minScore, err
}

// replyValue counts a call and returns the value of its reply.
func (shards *Shards) replyValue(shard int, request twoPhaseCall, minScore float64, fault SummaryFault) string {
	shards.mu.Lock()
	records := shards.matching(shard, minScore)
	version := shards.version[shard]
	if request.Ask == "summary" {
		shards.RecordsRead++
		shards.SummaryCalls++
		shards.mu.Unlock()
		return summaryOf(records, version, fault)
	}
	shards.RecordsRead += 1 + len(shards.Records[shard])
	shards.AnswerCalls++
	shards.mu.Unlock()
	if request.Limit != nil {
		records = records[:min(len(records), *request.Limit)]
	}
	if records == nil {
		records = []Record{}
	}
	body, _ := json.Marshal(map[string]any{"version": versionName(version), "hits": records})
	return string(body)
}

// replyWithFault replies to a call, late or not at all if the fault says so.
func replyWithFault(replica *Replica, call Call, value string, isSummary bool, fault SummaryFault) {
	noReply := isSummary && fault == NoSummary || !isSummary && fault == NoAnswer
	switch {
	case noReply:
	case isSummary && fault == LateSummary:
		time.AfterFunc(lateSummaryDelay, func() { replica.Reply(call, "OK", value) })
	default:
		replica.Reply(call, "OK", value)
	}
	if fault == ResetAfterSummary {
		ResetConnection(replica, call)
	}
}

func versionName(version int) string { return fmt.Sprint("v", version) }

// malformedSummaries are summaries that a co-ordinator must refuse.
var malformedSummaries = []string{
	"{", `{"version":"v1"}`, `{"version":"","count":1}`, `{"version":"v","count":-3}`,
	`{"version":"v","count":1,"upper":1,"lower":2}`, `{"version":"v","count":1,"upper":1e999}`, "[]",
}

// summaryOf returns the summary of matching records, altered according to the fault.
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
