package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"sync"
)

const (
	mostFrame = 2 * mostBody // bytes; what is longer fits into no answer
	alikeFrom = 64           // values of one size before another size says anything
)

// End is how a replica says that a part ended.
type End string

// The ends of a part.
const (
	OK            End = "OK"
	ProtocolError End = "ERROR"
	Rejected      End = "REJECTED"
)

// SubqueryID is a part's id on the wire.
func SubqueryID(query string, shard int) string { return query + "." + strconv.Itoa(shard) }

// SubqueryCall is one part of a call.
type SubqueryCall struct {
	ID     string
	Shard  int
	WaitMS int64 // how long the co-ordinator will wait
	Text   []byte
}

// AppendCall appends the frame of one call.
func AppendCall(b []byte, parts ...SubqueryCall) []byte {
	b, at := begin(b, 'R')
	for _, p := range parts {
		b = fmt.Appendf(b, "%s %d d=%d %d\n", p.ID, p.Shard, p.WaitMS, len(p.Text))
		b = append(b, p.Text...)
	}
	return finish(b, at)
}

// AppendAbandon appends the frame that gives a part up.
func AppendAbandon(b []byte, id string) []byte {
	b, at := begin(b, 'A')
	return finish(append(b, id...), at)
}

func begin(b []byte, letter byte) ([]byte, int) { return append(b, 0, 0, 0, 0, letter), len(b) }

func finish(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at-4))
	return b
}

// Reply is what a replica says of one part.
type Reply struct {
	ID    string
	End   End
	Value []byte
	Busy  float64 // as Busy tells it
}

// ReplyReader cuts a replica's frames out of the bytes of a connection.
type ReplyReader struct {
	Buffer
	Sizes *ValueSizes // what values of all connections were like; may be nil
}

// Next gives the next reply; nil without an error means that more bytes must come in first. After an error
// the connection is of no more use.
func (m *ReplyReader) Next() (*Reply, error) {
	b := m.Bytes()
	length, err := frameLength(b)
	if err != nil || length == 0 || len(b)-4 < length {
		return nil, err
	}
	letter, rest, behind := b[4], b[5:4+length], b[4+length:]
	m.Consume(4 + length)
	switch letter {
	case 'Y':
		line, value, ok := bytes.Cut(rest, []byte("\n"))
		words := bytes.SplitN(line, []byte(" "), 4)
		if !ok || len(words) != 4 || len(words[0]) == 0 {
			return nil, fmt.Errorf("a reply's line %q", cut(line))
		}
		end := End(words[1])
		if end != OK && end != ProtocolError && end != Rejected {
			return nil, fmt.Errorf("a reply's end %q", cut(words[1]))
		}
		if score, err := strconv.ParseFloat(string(words[2]), 64); err != nil || math.IsNaN(score) || math.IsInf(score, 0) {
			return nil, fmt.Errorf("a reply's score %q", cut(words[2]))
		}
		_, bad := frameLength(behind)
		if end == OK && m.Sizes.odd(len(value), bad != nil) {
			return nil, fmt.Errorf("a value of %d bytes with what is no frame behind it", len(value))
		}
		return &Reply{string(words[0]), end, bytes.Clone(value), LoadReported(string(words[3]), "=")}, nil
	case 'N':
		return nil, fmt.Errorf("the replica could not use a frame: %q", cut(rest))
	}
	return nil, fmt.Errorf("a frame of letter %q", letter)
}

// frameLength is the length of the frame that begins there, 0 while that is not known.
func frameLength(b []byte) (int, error) {
	if len(b) < 4 {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(b)
	if length == 0 || length > mostFrame {
		return 0, fmt.Errorf("a frame of %d bytes", length)
	}
	return int(length), nil
}

// ValueSizes knows whether values have all been of one size. Guards against: a value that is cut short by a frame's
// wrong length, whose rest then stands behind it. Could hurt: a sound value of a rare size with noise behind it.
type ValueSizes struct {
	mu    sync.Mutex
	size  int
	alike int // so many were of it; below 0 once another was sound
}

func (s *ValueSizes) odd(size int, noise bool) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.alike == 0:
		s.size, s.alike = size, 1
	case s.alike < 0:
	case size == s.size:
		s.alike = min(s.alike+1, alikeFrom)
	case noise && s.alike == alikeFrom:
		return true
	case !noise:
		s.alike = -1
	}
	return false
}

// cut shortens what goes into a log.
func cut(b []byte) []byte { return b[:min(len(b), 120)] }
