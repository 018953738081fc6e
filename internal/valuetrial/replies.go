package valuetrial

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	smallestValue   = 40 // bytes
	maxMissingBytes = 8  // by which the length of a spoilt reply is too small
	recordsPerShard = 6
	selectivity     = 0.5
	queryText       = "score>=0"
)

// restDelays are the delays after which the rest of a value arrives whose length is too small.
var restDelays = []time.Duration{0, 100 * time.Millisecond, 240 * time.Millisecond}

// replies makes the replicas' replies and records when subqueries were answered.
type replies struct {
	options Options
	data    *fake.Shards // of two-phase queries

	mu         sync.Mutex
	random     *rand.Rand
	answeredAt map[string]time.Time // of sound replies, by subquery
	sentAgain  int
	attempts   int
}

func newReplies(options Options) *replies {
	return &replies{
		options:    options,
		data:       fake.NewShards(options.Seed, shards, recordsPerShard, selectivity),
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		answeredAt: map[string]time.Time{},
	}
}

// behavior returns the behavior of the replicas. A sound reply counts as made once it has been written.
func (replies *replies) behavior() fake.Behavior {
	sound := fake.After(work, func(replica *fake.Replica, call fake.Call) {
		fake.Succeed(replica, call)
		replies.answered(call.ID)
	})
	return func(replica *fake.Replica, call fake.Call) {
		replies.received(call.ID)
		if spoilt := replies.spoilt(); spoilt != nil {
			fake.After(work, spoilt)(replica, call)
			return
		}
		sound(replica, call)
	}
}

// spoilt returns the behavior of a reply that is to be spoilt, or nil for a sound one.
func (replies *replies) spoilt() fake.Behavior {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	if replies.options.Spoilt == 0 || replies.random.IntN(replies.options.Spoilt) != 0 {
		return nil
	}
	kind := replies.random.IntN(len(restDelays) + 1)
	if kind == len(restDelays) {
		return fake.Garbage
	}
	return fake.ShortLength(1+replies.random.IntN(maxMissingBytes), restDelays[kind])
}

// received counts an attempt.
func (replies *replies) received(subquery string) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	replies.attempts++
	if at, isAnswered := replies.answeredAt[subquery]; isAnswered && time.Since(at) > sentAgainAfter {
		replies.sentAgain++
	}
}

func (replies *replies) answered(subquery string) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	if _, isAnswered := replies.answeredAt[subquery]; !isAnswered {
		replies.answeredAt[subquery] = time.Now()
	}
}

func (replies *replies) counts() (sentAgain, attempts int) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	return replies.sentAgain, replies.attempts
}

// valueOf returns the value of a call.
func (replies *replies) valueOf(call fake.Call) string {
	if replies.options.Class == TwoPhases {
		return replies.data.ValueOf(call)
	}
	return valueFor(call.ID, replies.options.Sizes)
}

// valueFor returns the subquery's id with padding up to a size that follows from the id.
func valueFor(subquery string, sizes int) string {
	hash := fnv.New32a()
	hash.Write([]byte(subquery))
	size := smallestValue + int(hash.Sum32()%uint32(sizes))
	return subquery + strings.Repeat("x", size-len(subquery))
}

// answer is the body of a response to a client.
type answer struct {
	AllIn   bool `json:"all_in"`
	Matches []struct {
		Segment int
		Payload string
	}
}

// isAnswer reports whether a body has exactly the values that replicas make for a query.
func (replies *replies) isAnswer(number, firstShard int, body []byte) bool {
	queried := make([]int, subqueries)
	for index := range queried {
		queried[index] = firstShard + index
	}
	if replies.options.Class == TwoPhases {
		return strings.TrimSpace(string(body)) == replies.data.ExpectedResponse(queried, 0, nil)
	}
	var got answer
	if json.Unmarshal(body, &got) != nil || !got.AllIn || len(got.Matches) != subqueries {
		return false
	}
	for _, match := range got.Matches {
		subquery := fmt.Sprintf("q-%d.%d", number, match.Segment)
		if match.Payload != valueFor(subquery, replies.options.Sizes) {
			return false
		}
	}
	return true
}
