package valuecheck

import "unicode/utf8"

// Follower is what follows a message on its connection.
type Follower int

// The kinds of followers.
const (
	FollowerUnknown Follower = iota // nothing yet, or too few bytes to tell
	FollowedByMessage
	FollowedByOther // bytes that do not start a message: the rest of a value that was cut short, or noise
	FollowedByNoise // bytes that neither start a message nor can belong to the value
)

// Decision is what becomes of a withheld value.
type Decision int

// The decisions.
const (
	Wait Decision = iota
	Serve
	Reject // it is malformed
)

// Withheld is a value that was received and is withheld until its length is confirmed. It belongs to the session of its
// connection.
type Withheld struct {
	history   *History
	observed  observation
	content   Content
	judgement Judgement // the last one
	isText    bool      // it is valid UTF-8
	released  bool      // nothing has followed it for long enough
	ended     bool      // nothing more can follow it
	accepted  bool
}

// Withhold observes a value and withholds it. Retract has to follow if it proves malformed.
func (history *History) Withhold(value []byte, content Content) *Withheld {
	return &Withheld{
		history: history, observed: history.observe(value), content: content, isText: utf8.Valid(value),
	}
}

// Classify says what bytes that follow the value and do not start a message are. mayBeginMessage reports whether bytes may
// be the start of one.
//
// Values are UTF-8: bytes that cannot go on with one are not the rest of a value that was cut short. The rest ends where the
// next message may begin, so what comes from there on is no evidence.
func (value *Withheld) Classify(follower []byte, mayBeginMessage func([]byte) bool) Follower {
	if value == nil || !value.isText {
		return FollowedByOther
	}
	for rest := follower; utf8.FullRune(rest); {
		character, size := utf8.DecodeRune(rest)
		if character == utf8.RuneError && size == 1 {
			return FollowedByNoise
		}
		rest = rest[size:]
		if mayBeginMessage(rest) {
			break
		}
	}
	return FollowedByOther
}

// Decide judges the value again, and decides what becomes of it, given what follows it so far. The history counts a value
// that is served.
func (value *Withheld) Decide(follower Follower) Decision {
	value.judgement = value.history.judge(value.observed, value.content)
	verdict := value.judgement.Verdict
	switch {
	case verdict == Malformed:
		return Reject
	case verdict == Complete:
	case follower == FollowedByOther:
		return Reject
	case follower == FollowedByNoise && value.judgement.UnusualSize:
		return Reject
	case verdict == Uncertain && follower == FollowerUnknown && !value.mayBeServedAlone():
		return Wait
	}
	value.history.accept(value.observed)
	value.accepted = true
	return Serve
}

// mayBeServedAlone reports whether an uncertain value that nothing follows may be served. An end of its connection shows no
// more than a long wait, whether it is orderly or a reset, the replica's or our own: the rest of a value that was cut short
// may have been lost with it. So a value whose size says that it was cut short is not served then.
func (value *Withheld) mayBeServedAlone() bool {
	return value.released || value.ended && !value.judgement.UnusualSize
}

// Judgement returns the last judgement of Decide.
func (value *Withheld) Judgement() Judgement { return value.judgement }

// Release lets Decide serve the value although nothing follows it.
func (value *Withheld) Release() { value.released = true }

// EndInput lets Decide serve the value if its size is plausible, as nothing more can follow it.
func (value *Withheld) EndInput() { value.ended = true }

// Retract takes the value back, as it proved to be malformed before or after it was served. It does nothing for nil.
func (value *Withheld) Retract() {
	if value != nil {
		value.history.retract(value.observed, value.accepted)
	}
}
