package replicaconn

import (
	"errors"
	"os"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/replicaproto"
)

// withheldReply is the reply that a connection's session withholds because a length in it may be wrong. It is released
// once it was withheld for as long as its judgement says. Only bytes that follow it can show that it is malformed: the
// session then reports malformed input, and its attempt ends with the connection. Any other end of the connection leaves
// the session to decide by the value (endInput): the orderly end, a reset, a message that stalled, or our own close.
type withheldReply struct {
	readAt  time.Duration // since process start
	until   time.Time     // when it is to be released; zero if there is no such reply
	judgeAt time.Time     // when it is to be judged again before that; zero: not at all
	dueNext time.Time     // the deadline of the current read, if it is one of the above
}

func (reply *withheldReply) exists() bool { return !reply.until.IsZero() }

// earlierOf returns the earlier of a read deadline, which is zero if there is none, and the time at which something is to
// be done with the reply.
func (reply *withheldReply) earlierOf(deadline time.Time) time.Time {
	reply.dueNext = time.Time{}
	if !reply.exists() {
		return deadline
	}
	due := reply.until
	if !reply.judgeAt.IsZero() && reply.judgeAt.Before(due) {
		due = reply.judgeAt
	}
	if !deadline.IsZero() && !due.Before(deadline) {
		return deadline
	}
	reply.dueNext = due
	return due
}

// judgementDue reports whether a read timed out because the withheld reply is to be judged again.
func (reader *reader) judgementDue(input Input) bool {
	reply := &reader.withheld
	return reader.withheldDue(input) && reply.dueNext.Before(reply.until)
}

// confirmationDue reports whether a read timed out because the withheld reply is to be released.
func (reader *reader) confirmationDue(input Input) bool {
	reply := &reader.withheld
	return reader.withheldDue(input) && !reply.dueNext.Before(reply.until)
}

func (reader *reader) withheldDue(input Input) bool {
	return !reader.withheld.dueNext.IsZero() && errors.Is(input.err, os.ErrDeadlineExceeded)
}

// recheck lets one more read be made if input, an end or an error has arrived: a stall of this process may have delayed
// its reading. It returns false if the withheld reply can be released.
func (reader *reader) recheck() bool {
	if reader.rechecked || !netconn.HasInput(reader.conn.socket) {
		return false
	}
	reader.rechecked = true
	reader.stream.SetReadDeadline(time.Now().Add(recheckWait))
	return true
}

// release returns the withheld reply as the input of a read.
func (reader *reader) release() Input { return reader.takeWithheld(replicaproto.Session.ReleaseReply) }

// judgeAgain lets the session judge the withheld reply again.
func (reader *reader) judgeAgain() Input { return reader.takeWithheld(func(replicaproto.Session) {}) }

// endInput posts the reply that is withheld at the end of the connection, if the session returns it.
func (reader *reader) endInput() {
	if reader.withheld.exists() {
		input := reader.takeWithheld(replicaproto.Session.EndInput)
		reader.trackWithheld(&input)
		reader.post(input)
	}
}

// takeWithheld prepares the session, and takes its events as the input of a read.
func (reader *reader) takeWithheld(prepare func(replicaproto.Session)) Input {
	conn := reader.conn
	input := Input{At: reader.withheld.readAt}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	prepare(conn.session)
	reader.takeEvents(&input)
	reader.noteState(&input)
	return input
}

// trackWithheld starts the wait for a reply that the session now withholds, and adds the event that it has arrived. If the
// first event is a reply that was withheld before, it is posted with the time at which it was read.
func (reader *reader) trackWithheld(input *Input) {
	if reader.withheld.exists() && len(input.Events) > 0 {
		reader.post(Input{Events: input.Events[:1], At: reader.withheld.readAt})
		input.Events = input.Events[1:]
		reader.withheld = withheldReply{}
	}
	if !input.withholds {
		reader.withheld = withheldReply{}
		return
	}
	now := time.Now()
	judgement := input.withheld.Judgement
	if !reader.withheld.exists() {
		reader.withheld = withheldReply{readAt: input.At, until: now.Add(judgement.Wait)}
		input.Events = append(input.Events, input.withheld.Unconfirmed)
	}
	reader.withheld.judgeAt = time.Time{}
	if judgement.MayChange {
		reader.withheld.judgeAt = now.Add(judgementInterval)
	}
}
