package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"terntray/valuecheck"
)

const (
	frameLengthSize = 4           // bytes of the length field before a frame
	frameHeaderSize = 5           // bytes of the length field and the letter
	maxFrame        = 2 * MaxBody // bytes; the value of a longer frame would not fit into a response to a client
	maxQuotedBytes  = 120         // bytes of a message that an error quotes
)

// Reply is a replica's reply to one subquery.
type Reply struct {
	ID       string
	Status   ReplyStatus
	Value    []byte
	CPUUsage float64 // the share of its cores in use, as ParseLoadReport returns it
}

// ErrMalformedReply reports a malformed frame, after which nothing on its connection can be relied on.
var ErrMalformedReply = errors.New("malformed reply")

// RefusedError reports that a replica refused a frame as malformed. Message is the text that the replica sent.
type RefusedError struct{ Message string }

// Error returns a message that quotes the replica's text.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("the replica refused a frame: %q", err.Message)
}

// ReplyReader parses a replica's frames from the bytes of a connection.
//
// The length of a frame may be wrong. If it is too small, the frame looks like a good one with a shorter value, and the
// rest of the value follows it; if it is too large, the value takes in what follows. So an OK reply is withheld until the
// start of another frame follows, unless its value is known to be complete. As a frame that nothing follows may be the
// last one for a while, the caller releases a reply that has been withheld for long enough.
type ReplyReader struct {
	Buffer
	Values *valuecheck.History // shared by all connections; may be nil
	Sent   SentIDs             // subqueries of this connection; may be nil

	withheld *withheldReply
	last     *valuecheck.Withheld // value of the last reply returned, until the start of a frame follows it
}

// withheldReply is a reply that was parsed, but not returned yet.
type withheldReply struct {
	reply   *Reply
	content valuecheck.Content
	value   *valuecheck.Withheld // nil: the status is not OK, so there is no value of which a part could be missing
}

// Next returns the next reply, or nil without an error if more bytes are needed. After an error the connection cannot
// be used any further.
func (reader *ReplyReader) Next() (*Reply, error) {
	reply, err := reader.next()
	if err != nil {
		reader.retract()
		reader.Values.MalformedReceived()
	}
	return reply, err
}

func (reader *ReplyReader) next() (*Reply, error) {
	if reader.withheld == nil {
		reply, err := reader.parseFrame()
		if reply == nil || err != nil {
			return nil, err
		}
		reader.last = nil
		reader.withhold(reply)
	}
	return reader.confirm()
}

// withhold withholds a reply until confirm returns it.
func (reader *ReplyReader) withhold(reply *Reply) {
	withheld := &withheldReply{reply: reply, content: findFrames(reply.Value, reader.Sent)}
	if reply.Status == ReplyOK {
		withheld.value = reader.Values.Withhold(reply.Value, withheld.content)
	}
	reader.withheld = withheld
}

// Withheld returns the reply that is withheld until it is known what follows it, or nil if there is none.
func (reader *ReplyReader) Withheld() (*Reply, valuecheck.Judgement) {
	if reader.withheld == nil {
		return nil, valuecheck.Judgement{}
	}
	return reader.withheld.reply, reader.withheld.value.Judgement()
}

// Release lets Next return the withheld reply, as nothing has followed it for long enough.
func (reader *ReplyReader) Release() {
	if reader.withheld != nil {
		reader.withheld.value.Release()
	}
}

// EndInput lets Next return the withheld reply, as no more bytes will follow it, unless the size of its value says that it was
// cut short.
func (reader *ReplyReader) EndInput() {
	if reader.withheld != nil {
		reader.withheld.value.EndInput()
	}
}

// confirm returns the withheld reply once its length is known to fit, and nil without an error until then.
func (reader *ReplyReader) confirm() (*Reply, error) {
	withheld := reader.withheld
	follower := withheld.followerOf(reader.Bytes(), reader.Sent)
	isFollowedByOther := follower == valuecheck.FollowedByOther || follower == valuecheck.FollowedByNoise
	switch decision := withheld.decide(follower); {
	case decision == valuecheck.Wait:
		return nil, nil
	case decision == valuecheck.Reject && isFollowedByOther:
		return nil, malformed("reply with a value of %d bytes followed by bytes that are not a frame",
			len(withheld.reply.Value))
	case decision == valuecheck.Reject:
		return nil, malformed("reply with a value of %d bytes that contains other frames", len(withheld.reply.Value))
	}
	reader.withheld = nil
	reader.last = withheld.value
	return withheld.reply, nil
}

// followerOf says what the bytes behind the frame of a reply are. A reply that cannot be read is a message as well.
func (withheld *withheldReply) followerOf(buffered []byte, sent SentIDs) valuecheck.Follower {
	header, err := parseFrameHeader(buffered)
	switch {
	case err != nil && isReplyWithBadHeader(buffered, sent):
		return valuecheck.FollowedByMessage
	case err != nil:
		return withheld.value.Classify(buffered, mayBeginFrame)
	case header.complete:
		return valuecheck.FollowedByMessage
	}
	return valuecheck.FollowerUnknown
}

// mayBeginFrame reports whether bytes may be the start of a frame.
func mayBeginFrame(buffered []byte) bool {
	_, err := parseFrameHeader(buffered)
	return err == nil
}

// decide decides what becomes of the reply, given what follows it. One without a value is never withheld.
func (withheld *withheldReply) decide(follower valuecheck.Follower) valuecheck.Decision {
	switch {
	case withheld.value != nil:
		return withheld.value.Decide(follower)
	case withheld.content == valuecheck.ContainsMessages, follower == valuecheck.FollowedByOther:
		return valuecheck.Reject
	}
	return valuecheck.Serve
}

// retract takes back the value that precedes malformed bytes: its length was probably wrong.
func (reader *ReplyReader) retract() {
	if reader.withheld != nil {
		reader.withheld.value.Retract()
	} else {
		reader.last.Retract()
	}
	reader.withheld = nil
	reader.last = nil
}

// parseFrame consumes the next frame and returns the reply in it, or nil without an error if the frame is incomplete.
func (reader *ReplyReader) parseFrame() (*Reply, error) {
	buffered := reader.Bytes()
	header, err := parseFrameHeader(buffered)
	end := frameLengthSize + header.length
	if err != nil || !header.complete || len(buffered) < end {
		return nil, err
	}
	content := buffered[frameHeaderSize:end]
	reader.Consume(end)
	if header.letter == frameRefusal {
		return nil, &RefusedError{Message: string(truncated(content))}
	}
	return parseReply(content)
}

// parseReply parses the content of a reply: a line with the id, the status, a score and a load report, then the value.
func parseReply(content []byte) (*Reply, error) {
	line, value, hasValue := bytes.Cut(content, []byte("\n"))
	if !hasValue {
		return nil, malformed("malformed reply line %q", truncated(line))
	}
	reply, err := parseReplyLine(line)
	if err != nil {
		return nil, err
	}
	reply.Value = bytes.Clone(value)
	return reply, nil
}

// parseReplyLine parses the line of a reply.
func parseReplyLine(line []byte) (*Reply, error) {
	words := bytes.SplitN(line, []byte(" "), 4)
	if len(words) != 4 || len(words[0]) == 0 {
		return nil, malformed("malformed reply line %q", truncated(line))
	}
	status := ReplyStatus(words[1])
	if status != ReplyOK && status != ReplyError && status != ReplyRejected {
		return nil, malformed("unknown reply status %q", truncated(words[1]))
	}
	if !isFinite(string(words[2])) {
		return nil, malformed("malformed reply score %q", truncated(words[2]))
	}
	return &Reply{ID: string(words[0]), Status: status, CPUUsage: ParseLoadReport(string(words[3]), "=")}, nil
}

// malformedError is an ErrMalformedReply that states what was found.
type malformedError struct{ detail string }

func (err *malformedError) Error() string { return err.detail }

func (err *malformedError) Unwrap() error { return ErrMalformedReply }

func malformed(format string, args ...any) error {
	return &malformedError{detail: fmt.Sprintf(format, args...)}
}

func isFinite(text string) bool {
	number, err := strconv.ParseFloat(text, 64)
	return err == nil && !math.IsNaN(number) && !math.IsInf(number, 0)
}

// frameHeader is the start of a frame: its length, which covers the letter and the content, and its letter.
type frameHeader struct {
	length   int
	letter   byte
	complete bool // false: more bytes are needed
}

// parseFrameHeader parses the start of a frame, of which a part may be missing. It returns an error as soon as the
// bytes cannot begin a frame.
func parseFrameHeader(buffered []byte) (frameHeader, error) {
	var padded [frameLengthSize]byte
	present := copy(padded[:], buffered)
	length := binary.BigEndian.Uint32(padded[:]) // the smallest possible one if bytes of it are missing
	if length > maxFrame || length == 0 && present == frameLengthSize {
		return frameHeader{}, malformed("invalid frame length %d", length)
	}
	if len(buffered) < frameHeaderSize {
		return frameHeader{}, nil
	}
	letter := buffered[frameLengthSize]
	if letter != frameReply && letter != frameRefusal {
		return frameHeader{}, malformed("unknown frame type %q", letter)
	}
	return frameHeader{length: int(length), letter: letter, complete: true}, nil
}

// truncated shortens a text that an error quotes.
func truncated(text []byte) []byte { return text[:min(len(text), maxQuotedBytes)] }
