package replicaconn

import (
	"errors"
	"net"
	"os"
	"time"

	"terntray/internal/netconn"
	"terntray/internal/replicaproto"
)

const (
	// minFragmentTimeout is the minimum time that a replica has to send the next bytes of a message that it has
	// begun. Replicas may stand still for up to 500 ms, also in the middle of a message. A longer connect timeout replaces
	// it: that allows for the retransmission of a lost packet, which can delay a message as well as a connect.
	minFragmentTimeout = 550 * time.Millisecond
	// suspectTimeout is the time without the next bytes of a message after which nothing new is sent on the connection.
	suspectTimeout = 100 * time.Millisecond
	// minMessageTimeout is the minimum of the limit for a whole message, from its first byte. A longer time of
	// messageTimeoutFactor connect timeouts replaces it.
	minMessageTimeout    = time.Second
	messageTimeoutFactor = 4
	// judgementInterval is the time between two judgements of a withheld reply while other values may change the verdict.
	judgementInterval = 5 * time.Millisecond
	// recheckWait is the deadline for one more read after the read deadline has passed: if this process was stalled
	// past the deadline, input that arrived in time may not have been read yet.
	recheckWait = 5 * time.Millisecond
)

var (
	errMessageTooSlow = errors.New("message was not complete in time")
	errMessageStalled = errors.New("message stalled before it was complete")
)

// Input is the result of one read from a connection.
type Input struct {
	Events    []replicaproto.Event
	Malformed error         // error in the remaining input; nil if there is none
	Stalled   bool          // the rest of a message is overdue
	At        time.Duration // time of the read, since process start

	bytes      int
	midMessage bool                       // the last message read is incomplete
	withholds  bool                       // the session withholds a reply
	withheld   replicaproto.WithheldReply // that reply
	err        error                      // of the read
}

// reader reads from one connection until it ends.
//
// A replica that stops in the middle of a message, or never ends one, would block all replies behind it, as would
// garbage that looks like the start of a long message. So the next bytes of a message must arrive within the fragment
// timeout, and the message must be complete within the message timeout.
//
// withheld.go releases the replies that the session withholds.
type reader struct {
	conn   *conn
	stream net.Conn
	// readyDeadline is the time by which the replica must state that calls may be written; zero if it has, or if the
	// protocol has no such message.
	readyDeadline time.Time

	messageDeadline time.Time // by which the current incomplete message must be complete
	midMessage      bool      // the last message read is incomplete
	lastBytesAt     time.Time // when input was last read
	stallReported   bool      // the rest of the message is overdue, and the event loop was notified
	hasReadDeadline bool
	rechecked       bool // one more read was made since the read deadline passed

	withheld withheldReply
}

// run reads until the connection ends, and returns the cause.
func (reader *reader) run() error {
	reader.stream.SetReadDeadline(reader.readyDeadline)
	reader.hasReadDeadline = reader.awaitsReady()
	for {
		input, complete := reader.nextInput()
		if !complete {
			continue
		}
		reader.checkMessageDeadline(&input)
		if reader.timedOut(input) {
			if !reader.rechecked {
				reader.rechecked = true
				reader.stream.SetReadDeadline(time.Now().Add(recheckWait))
				continue
			}
			if reader.awaitsReady() {
				return &protocolError{reader.conn.protocol}
			}
			if !reader.stallReported {
				reader.reportStall(input.At)
				continue
			}
			input.Malformed = errMessageStalled
		}
		reader.noteReady(input.Events)
		reader.trackWithheld(&input)
		if input.endCause() != nil {
			reader.endInput()
		}
		reader.post(input)
		if cause := input.endCause(); cause != nil {
			return cause
		}
		reader.setReadDeadline()
	}
}

// endCause returns the error that ends the connection with this input, or nil if there is none.
func (input *Input) endCause() error {
	if input.Malformed != nil {
		return input.Malformed
	}
	return input.err
}

// nextInput reads once, and does what is due for the withheld reply then. It returns false if one more read has to follow.
func (reader *reader) nextInput() (input Input, complete bool) {
	input = reader.read()
	switch {
	case reader.judgementDue(input):
		return reader.judgeAgain(), true
	case reader.confirmationDue(input):
		if reader.recheck() {
			return input, false
		}
		return reader.release(), true
	}
	return input, true
}

func (reader *reader) awaitsReady() bool { return !reader.readyDeadline.IsZero() }

// read reads once and passes the input to the session.
func (reader *reader) read() Input {
	conn := reader.conn
	bytes, err := reader.stream.Read(conn.session.ReadBuffer())
	input := Input{bytes: bytes, err: err, At: conn.now()}
	if bytes > 0 {
		reader.lastBytesAt = time.Now()
		reader.stallReported = false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.session.Filled(bytes)
	if bytes > 0 {
		reader.takeEvents(&input)
	}
	reader.noteState(&input)
	return input
}

// takeEvents takes the session's events. The caller holds the connection's mutex.
func (reader *reader) takeEvents(input *Input) {
	conn := reader.conn
	for {
		event, ok, malformed := conn.session.Next()
		if !ok {
			input.Malformed = malformed
			break
		}
		input.Events = append(input.Events, event)
	}
	if conn.traits.RepliesToInput {
		conn.outputReady.Signal()
	}
}

// noteState notes what the session waits for. The caller holds the connection's mutex.
func (reader *reader) noteState(input *Input) {
	input.midMessage = reader.conn.session.HasPartialMessage()
	input.withheld, input.withholds = reader.conn.session.Withheld()
}

// checkMessageDeadline tracks how long a message has been incomplete, and treats one that exceeds its limit as
// malformed. If more input is available already, this process may have caused the delay itself.
func (reader *reader) checkMessageDeadline(input *Input) {
	isContinued := input.midMessage && reader.midMessage && len(input.Events) == 0
	reader.midMessage = input.midMessage
	if !isContinued {
		reader.messageDeadline = time.Now().Add(reader.messageTimeout())
		return
	}
	isLate := input.bytes > 0 && input.Malformed == nil && time.Now().After(reader.messageDeadline)
	if isLate && netconn.Peek(reader.stream) != netconn.Readable {
		input.Malformed = errMessageTooSlow
	}
}

func (reader *reader) connectTimeout() time.Duration {
	return reader.conn.driver.config.Limits.ConnectTimeout
}

func (reader *reader) messageTimeout() time.Duration {
	return max(minMessageTimeout, messageTimeoutFactor*reader.connectTimeout())
}

// fragmentDeadline returns the time by which the next bytes of the current message must arrive: first for the connection
// not to become suspect, then for the message not to count as malformed.
func (reader *reader) fragmentDeadline() time.Time {
	if !reader.stallReported {
		return reader.lastBytesAt.Add(suspectTimeout)
	}
	return reader.lastBytesAt.Add(max(minFragmentTimeout, reader.connectTimeout()))
}

// reportStall notifies the event loop that the rest of a message is overdue, and waits on for it.
func (reader *reader) reportStall(at time.Duration) {
	reader.stallReported = true
	reader.post(Input{Stalled: true, At: at})
	reader.setReadDeadline()
}

// timedOut reports whether the read deadline passed while the rest of a message or the replica's readiness was due.
func (reader *reader) timedOut(input Input) bool {
	passed := errors.Is(input.err, os.ErrDeadlineExceeded) && input.Malformed == nil
	return passed && (input.midMessage || reader.awaitsReady())
}

// noteReady clears the readiness deadline once the replica has stated that calls may be written.
func (reader *reader) noteReady(events []replicaproto.Event) {
	for n := range events {
		if events[n].Kind == replicaproto.Ready {
			reader.readyDeadline = time.Time{}
		}
	}
}

// post passes input to the event loop, if it is relevant there. Where the protocol has pings, any bytes are a sign of
// life.
func (reader *reader) post(input Input) {
	conn := reader.conn
	isSignOfLife := conn.traits.Pings && input.bytes > 0
	if len(input.Events) > 0 || input.Malformed != nil || input.Stalled || isSignOfLife {
		conn.driver.loop.Post(func() { conn.driver.Received(conn.id, input) })
	}
}

// setReadDeadline sets the deadline of the next read.
func (reader *reader) setReadDeadline() {
	reader.conn.mu.Lock()
	defer reader.conn.mu.Unlock()
	deadline := reader.conn.readLimit
	switch {
	case reader.awaitsReady():
		deadline = earlier(deadline, reader.readyDeadline)
	case reader.midMessage:
		deadline = earlier(deadline, reader.fragmentDeadline())
	}
	deadline = reader.withheld.earlierOf(deadline)
	hasDeadline := !deadline.IsZero()
	if hasDeadline || reader.hasReadDeadline {
		reader.stream.SetReadDeadline(deadline)
	}
	reader.hasReadDeadline = hasDeadline
	reader.rechecked = false
}

// earlier returns the earlier of two deadlines, of which the first is zero if there is none.
func earlier(deadline, other time.Time) time.Time {
	if deadline.IsZero() || other.Before(deadline) {
		return other
	}
	return deadline
}
