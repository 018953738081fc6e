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
	// minFragmentTimeout is the least time that a replica has to send the next bytes of a message that it has begun.
	// Where the connect timeout is longer, the replica has that: it leaves time for the network to repeat a lost
	// packet, be it of a connect or of a message.
	minFragmentTimeout = 100 * time.Millisecond
	// messageTimeoutFactor is how many fragment timeouts a message may take as a whole, from its first byte on.
	messageTimeoutFactor = 4
	// recheckWait is for one more read after a read deadline has passed: if this process stood still over the deadline,
	// what the replica sent in time is still unread.
	recheckWait = 5 * time.Millisecond
)

var (
	errMessageTooSlow = errors.New("a message that does not end")
	errMessageStalled = errors.New("a message that does not go on")
)

// Input is what one read of a connection brought.
type Input struct {
	Events    []replicaproto.Event
	Malformed error         // what is wrong with the rest; nil: nothing
	At        time.Duration // when it was read, since the process' start

	bytes      int
	midMessage bool  // a message has begun to come and is not whole
	err        error // of the read
}

// reader reads one connection until it ends.
//
// A replica that stops in the midst of a message, or goes on and on with one, would keep all replies behind it waiting,
// and so would noise that looks like the start of a long message. So a message that has begun to come has to go on
// within the fragment timeout, and to end within some of them.
type reader struct {
	conn   *conn
	stream net.Conn
	// readyBy is until when the replica has to say that calls may go; zero: it has, or the protocol has no word for it.
	readyBy time.Time

	messageBy       time.Time // until when the message that has begun to come has to be whole
	midMessage      bool      // such a message has begun
	hasReadDeadline bool
	rechecked       bool // since the read deadline passed
}

// run reads until the connection ends, and returns why it did.
func (reader *reader) run() error {
	reader.stream.SetReadDeadline(reader.readyBy)
	reader.hasReadDeadline = reader.awaitsReady()
	for {
		input := reader.read()
		reader.checkMessageEnds(&input)
		if reader.timedOut(input) {
			if !reader.rechecked {
				reader.rechecked = true
				reader.stream.SetReadDeadline(time.Now().Add(recheckWait))
				continue
			}
			if reader.awaitsReady() {
				return &protocolError{reader.conn.protocol}
			}
			input.Malformed = errMessageStalled
		}
		reader.noteReady(input.Events)
		reader.post(input)
		if input.Malformed != nil {
			return input.Malformed
		}
		if input.err != nil {
			return input.err
		}
		reader.setReadDeadline()
	}
}

func (reader *reader) awaitsReady() bool { return !reader.readyBy.IsZero() }

// read reads once and gives the session what came.
func (reader *reader) read() Input {
	conn := reader.conn
	bytes, err := reader.stream.Read(conn.session.ReadBuffer())
	input := Input{bytes: bytes, err: err, At: conn.now()}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.session.Filled(bytes)
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
	input.midMessage = conn.session.HasPartialMessage()
	return input
}

// checkMessageEnds notes since when a message has been coming, and takes one that does not end as malformed. If more is
// there to be read already, the delay may be this process' own.
func (reader *reader) checkMessageEnds(input *Input) {
	goesOn := input.midMessage && reader.midMessage && len(input.Events) == 0
	reader.midMessage = input.midMessage
	if !goesOn {
		reader.messageBy = time.Now().Add(messageTimeoutFactor * reader.fragmentTimeout())
		return
	}
	isLate := input.bytes > 0 && input.Malformed == nil && time.Now().After(reader.messageBy)
	if isLate && netconn.Peek(reader.stream) != netconn.Readable {
		input.Malformed = errMessageTooSlow
	}
}

func (reader *reader) fragmentTimeout() time.Duration {
	return max(minFragmentTimeout, reader.conn.driver.config.Limits.ConnectTimeout)
}

// timedOut tells whether the read deadline passed, while the rest of a message or the replica's readiness was due.
func (reader *reader) timedOut(input Input) bool {
	passed := errors.Is(input.err, os.ErrDeadlineExceeded) && input.Malformed == nil
	return passed && (input.midMessage || reader.awaitsReady())
}

// noteReady notes that the replica has said that calls may go.
func (reader *reader) noteReady(events []replicaproto.Event) {
	for n := range events {
		if events[n].Kind == replicaproto.Ready {
			reader.readyBy = time.Time{}
		}
	}
}

// post gives the loop what it has to know. Where the protocol has pings, any bytes are a sign of life.
func (reader *reader) post(input Input) {
	conn := reader.conn
	isSignOfLife := conn.traits.Pings && input.bytes > 0
	if len(input.Events) > 0 || input.Malformed != nil || isSignOfLife {
		conn.driver.loop.Post(func() { conn.driver.Received(conn.id, input) })
	}
}

// setReadDeadline sets until when the next read has to bring something.
func (reader *reader) setReadDeadline() {
	switch {
	case reader.awaitsReady():
		reader.stream.SetReadDeadline(reader.readyBy)
	case reader.midMessage:
		reader.stream.SetReadDeadline(time.Now().Add(reader.fragmentTimeout()))
	case reader.hasReadDeadline:
		reader.stream.SetReadDeadline(time.Time{})
	}
	reader.hasReadDeadline = reader.awaitsReady() || reader.midMessage
	reader.rechecked = false
}
