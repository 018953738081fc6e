package valuetrial

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"terntray/internal/fake"
)

const (
	smallestValue   = 40 // bytes
	maxMissingBytes = 8  // by which the length of a spoilt reply is too small

	minBehind       = 100 * time.Millisecond // shortest time from a reply to the end of its connection
	maxBehind       = 300 * time.Millisecond // longest one
	idlePoll        = time.Millisecond       // between two looks at whether a connection is idle
	replyPause      = 400 * time.Millisecond // of a replica that stands still within a reply
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
	unusable   map[net.Conn]bool    // connections on which nothing more is written
	inProgress map[net.Conn]int     // calls without a reply
	gaps       []time.Duration      // from a sound reply to the next attempt at its subquery
	attempts   int
}

func newReplies(options Options) *replies {
	return &replies{
		options:    options,
		data:       fake.NewShards(options.Seed, shards, recordsPerShard, selectivity),
		random:     rand.New(rand.NewPCG(options.Seed, 1)),
		answeredAt: map[string]time.Time{},
		unusable:   map[net.Conn]bool{},
		inProgress: map[net.Conn]int{},
	}
}

// behavior returns the behavior of the replicas. A sound reply counts as made once it has been written.
func (replies *replies) behavior() fake.Behavior {
	return func(replica *fake.Replica, call fake.Call) {
		replies.received(call)
		reply, isSound := replies.draw()
		fake.After(work, func(replica *fake.Replica, call fake.Call) {
			defer replies.done(call)
			if replies.isUnusable(call.Conn) {
				return
			}
			reply(replica, call)
			if isSound {
				replies.noteAnswered(call.ID)
			}
		})(replica, call)
	}
}

// draw returns the behavior of a reply, and whether that is sound.
func (replies *replies) draw() (reply fake.Behavior, isSound bool) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	if replies.options.Share == 0 || replies.random.IntN(replies.options.Share) != 0 {
		return fake.Succeed, true
	}
	behind := minBehind + time.Duration(replies.random.Int64N(int64(maxBehind-minBehind)))
	switch replies.options.Disruption {
	case Spoilt:
		return replies.drawSpoilt(), false
	case Noise:
		return fake.WriteNoise(replies.random.Int()), false
	case NoiseBehind:
		return replies.succeedWith(fake.WriteNoise(replies.random.Int())), true
	case ResetBehind:
		return fake.SucceedThen(behind, replies.onceIdle(fake.ResetConnection)), true
	case EndBehind:
		return fake.SucceedThen(behind, replies.onceIdle(fake.CloseConnection)), true
	case FragmentBehind:
		return replies.succeedWith(fake.BeginMessage), true
	case PausedReplies:
		return fake.SucceedWithPause(replyPause), true
	}
	return fake.Succeed, true
}

// onceIdle returns a behavior that waits until no call is in progress on its connection: other calls are not disrupted.
func (replies *replies) onceIdle(behavior fake.Behavior) fake.Behavior {
	return func(replica *fake.Replica, call fake.Call) {
		for replies.isBusy(call.Conn) {
			time.Sleep(idlePoll)
		}
		behavior(replica, call)
	}
}

func (replies *replies) isBusy(conn net.Conn) bool {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	return replies.inProgress[conn] > 0
}

// drawSpoilt returns the behavior of a spoilt reply. The caller holds the mutex.
func (replies *replies) drawSpoilt() fake.Behavior {
	kind := replies.random.IntN(len(restDelays) + 1)
	if kind == len(restDelays) {
		return fake.Garbage
	}
	return fake.ShortLength(1+replies.random.IntN(maxMissingBytes), restDelays[kind])
}

// succeedWith returns a behavior that replies and runs another one at once, behind which the connection is silent.
func (replies *replies) succeedWith(behind fake.Behavior) fake.Behavior {
	return func(replica *fake.Replica, call fake.Call) {
		replies.mu.Lock()
		replies.unusable[call.Conn] = true
		replies.mu.Unlock()
		fake.Succeed(replica, call)
		behind(replica, call)
	}
}

func (replies *replies) isUnusable(conn net.Conn) bool {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	return replies.unusable[conn]
}

// received counts an attempt.
func (replies *replies) received(call fake.Call) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	replies.attempts++
	replies.inProgress[call.Conn]++
	if at, isAnswered := replies.answeredAt[call.ID]; isAnswered {
		replies.gaps = append(replies.gaps, time.Since(at))
	}
}

// done notes that nothing more is done for a call.
func (replies *replies) done(call fake.Call) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	replies.inProgress[call.Conn]--
}

// noteAnswered notes that a sound reply to a subquery was written.
func (replies *replies) noteAnswered(subquery string) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	if _, isAnswered := replies.answeredAt[subquery]; !isAnswered {
		replies.answeredAt[subquery] = time.Now()
	}
}

// lastAnswered returns when the last subquery of a query had its first sound reply, and false if one had none by the
// given time.
func (replies *replies) lastAnswered(number int, by time.Time) (last time.Time, all bool) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	prefix := fmt.Sprintf("%s-%d.", queryName, number)
	count := 0
	for subquery, at := range replies.answeredAt {
		if !strings.HasPrefix(subquery, prefix) || at.After(by) {
			continue
		}
		count++
		if at.After(last) {
			last = at
		}
	}
	return last, count == subqueries
}

// sentAgain returns, for each attempt that came more than sentAgainAfter after a sound reply to its subquery, the time
// since that reply, and the number of all attempts.
func (replies *replies) sentAgain() (gaps []time.Duration, attempts int) {
	replies.mu.Lock()
	defer replies.mu.Unlock()
	for _, gap := range replies.gaps {
		if gap > sentAgainAfter {
			gaps = append(gaps, gap)
		}
	}
	return gaps, replies.attempts
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
		subquery := fmt.Sprintf("%s-%d.%d", queryName, number, match.Segment)
		if match.Payload != valueFor(subquery, replies.options.Sizes) {
			return false
		}
	}
	return true
}
