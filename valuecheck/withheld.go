package valuecheck

// Follower is what follows a message on its connection.
type Follower int

// The kinds of followers.
const (
	FollowerUnknown Follower = iota // nothing yet, or too few bytes to tell
	FollowedByMessage
	FollowedByOther // bytes that do not start a message
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
	released  bool      // nothing has followed it for long enough
	accepted  bool
}

// Withhold observes a value and withholds it. Retract has to follow if it proves malformed.
func (history *History) Withhold(value []byte, content Content) *Withheld {
	return &Withheld{history: history, observed: history.observe(value), content: content}
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
	case verdict == Uncertain && follower == FollowerUnknown && !value.released:
		return Wait
	}
	value.history.accept(value.observed)
	value.accepted = true
	return Serve
}

// Judgement returns the last judgement of Decide.
func (value *Withheld) Judgement() Judgement { return value.judgement }

// Release lets Decide serve the value although nothing follows it.
func (value *Withheld) Release() { value.released = true }

// Retract takes the value back, as it proved to be malformed before or after it was served. It does nothing for nil.
func (value *Withheld) Retract() {
	if value != nil {
		value.history.retract(value.observed, value.accepted)
	}
}
