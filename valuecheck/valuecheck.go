// Package valuecheck decides whether the value in a reply can be served. The length of a reply may be wrong: one that is
// too small cuts the value, and one that is too large adds the next reply to it. Three kinds of evidence tell a complete
// value from such a one: its content, the sizes of the values before it, and what follows it on its connection.
//
// The package has no I/O, clock or goroutine. Sessions of connections pass each value to a History that they share and ask the
// Withheld value for a Decision; the protocol of a connection finds messages in a value and says what follows it.
package valuecheck

import (
	"bytes"
	"encoding/json"
	"sync"
	"time"
)

const (
	// ConfirmationWait is how long a reply is withheld for what follows it. Replicas may stand still for up to 300 ms, also
	// in the middle of a message.
	ConfirmationWait = 350 * time.Millisecond
	// routineWait replaces ConfirmationWait where the sizes of values differ so much that they are no evidence, and no
	// malformed reply was received for long. The rest of a cut value usually arrives with it or shortly after it.
	routineWait = 20 * time.Millisecond
)

// Content is what a protocol finds in the bytes of a value.
type Content int

// The kinds of content.
const (
	NoMessage        Content = iota // no part of the value looks like another message
	MayEndInMessage                 // its last bytes may be the start of another message
	ContainsMessages                // it contains another message, or the start of one that is expected
)

// Verdict says what the evidence so far shows about a value.
type Verdict int

// The verdicts.
const (
	Malformed Verdict = iota // never to be served
	Uncertain                // to be served once the start of another message follows it, or nothing has for Judgement.Wait
	Plausible                // to be served now, unless bytes follow it that do not start another message
	Complete                 // to be served now; other bytes that follow it are noise
)

// Judgement is a verdict, with what is to be done while it is Uncertain.
type Judgement struct {
	Verdict     Verdict
	Wait        time.Duration // see Uncertain
	MayChange   bool          // other values may change the verdict soon
	UnusualSize bool          // no value had this size, while all recent ones had frequent sizes
}

// History is what was received so far, from all replicas. It is safe for concurrent use. Its zero value has seen no value.
// A nil History judges each value as the first one.
type History struct {
	mu        sync.Mutex
	sizes     sizeCounts // of values other than JSON objects and arrays
	jsonTails sizeCounts // bytes of white space behind JSON objects and arrays, which show otherwise where they end
	trust     trust
}

// observation identifies an observed value by what its History counts of it.
type observation struct {
	isJSON bool // an object or array
	size   int  // in bytes; of a JSON object or array, that of the white space behind it
}

// observe counts a value that was received. accept or retract has to follow, unless the connection ends before.
func (history *History) observe(value []byte) observation {
	observed := observation{size: len(value)}
	if tail, isJSON := jsonTail(value); isJSON {
		observed = observation{isJSON: true, size: tail}
	}
	history.update(func() { history.counts(observed).observe(observed.size) })
	return observed
}

// accept counts an observed value that is served.
func (history *History) accept(observed observation) {
	history.update(func() {
		history.counts(observed).accept(observed.size)
		history.trust.valueAccepted()
	})
}

// retract takes back an observed value that proved to be malformed, before or after it was accepted.
func (history *History) retract(observed observation, wasAccepted bool) {
	history.update(func() { history.counts(observed).retract(observed.size, wasAccepted) })
}

// MalformedReceived notes that a replica sent something malformed: others may follow.
func (history *History) MalformedReceived() {
	history.update(func() { history.trust.malformedReceived() })
}

// update calls a function with the mutex held, unless there is no history.
func (history *History) update(do func()) {
	if history == nil {
		return
	}
	history.mu.Lock()
	defer history.mu.Unlock()
	do()
}

// counts returns the counts that concern a value.
func (history *History) counts(observed observation) *sizeCounts {
	if observed.isJSON {
		return &history.jsonTails
	}
	return &history.sizes
}

// judge judges an observed value by its content and by the values before it.
func (history *History) judge(observed observation, content Content) (judgement Judgement) {
	if content == ContainsMessages {
		return Judgement{Verdict: Malformed}
	}
	judgement = Judgement{Verdict: Uncertain, Wait: ConfirmationWait}
	history.update(func() {
		judgement = judgeSize(history.counts(observed), &history.trust, observed.size, content)
	})
	if observed.isJSON && judgement.Verdict == Complete {
		judgement.Verdict = Plausible // several texts in a row may be cut between two
	}
	return judgement
}

// judgeSize judges a value by the counts of sizes.
//
// A length that is too small would have made a value of the largest size shorter. A value of a smaller size may be the
// start of a larger one: that this size was received often says that it exists, and trust that wrong lengths are rare.
func judgeSize(counts *sizeCounts, trust *trust, size int, content Content) Judgement {
	withheld := Judgement{
		Verdict: Uncertain, Wait: ConfirmationWait, MayChange: trust.isLearning(), UnusualSize: counts.isUnusual(size),
	}
	mayEndInMessage := content == MayEndInMessage && counts.others(size) > 0
	switch {
	case mayEndInMessage:
		return withheld
	case counts.isFrequent(size) && counts.isLargest(size):
		return Judgement{Verdict: Complete}
	case counts.isFrequent(size) && trust.allowsFrequentSizes():
		return Judgement{Verdict: Plausible}
	case counts.areVarious() && trust.allowsAnySize():
		withheld.Wait = routineWait
	}
	return withheld
}

// jsonTail reports whether a value is a JSON object or array, of which no shorter part is one, and returns the number of
// bytes of white space behind it.
func jsonTail(value []byte) (tail int, isJSON bool) {
	if len(value) == 0 || value[0] != '{' && value[0] != '[' || !json.Valid(value) {
		return 0, false
	}
	return len(value) - len(bytes.TrimRight(value, " \t\r\n")), true
}
