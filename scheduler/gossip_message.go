package scheduler

// Messages between co-ordinators tell what became of attempts, so that each knows what the others have in flight. A
// message is one datagram of at most 256 bytes, in version 2 of its form:
//
//	byte 0    0xa8: the kind of message and its version
//	byte 1    lowest bit: how the cells follow, 0 a list, 1 a map; above it: what became of the attempts
//	byte 2-3  mean expected work of an attempt, big endian, in units of 100 µs, at most 0xffff
//	byte 4    sent:  how many tenants follow, at most 16
//	          ended: the subqueries that the sender takes a replica to do side by side, in sixteenths, at least 16
//	          late:  how many times longer than expected the attempts took, in eighths, more than 8
//	tenants   sent: a byte for each query admitted, its tenant; otherwise nothing
//	list      for each attempt the cell of its replica, as an unsigned varint
//	map       for each cell two bits with the number of its attempts, the first cell in the lowest bits of a byte
//
// The cells are a map where that is shorter and fits. Attempts that do not fit in one message go in a further one.
// Tenants go with them, at most 16 a message: those that are left once all attempts are told are not told. A tenant
// is told by the lowest byte of its index, so one above 255 is taken for another.

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// PeerIndex is a co-ordinator's number among all.
type PeerIndex int

// attemptEvent is what became of the attempts that a message tells of.
type attemptEvent int

const (
	attemptsSent      attemptEvent = iota // just sent; tells for whom as well
	attemptsEnded                         // ended in about the expected time, or with nothing to tell of it
	attemptsLate                          // ended or cancelled, much later than expected
	attemptEventCount                     // how many there are
)

const (
	gossipMagic      = 0xa8
	gossipHeaderSize = 5   // bytes
	maxGossipSize    = 256 // bytes of a message

	gossipCellMap    = 1 // bit of byte 1
	gossipEventShift = 1 // of byte 1

	gossipWorkUnit        = 100 * time.Microsecond
	gossipParallelismUnit = 16 // of one subquery
	gossipLatenessUnit    = 8  // of the expected time

	cellsPerByte          = 4                                                             // of a map
	bitsPerCell           = 2                                                             // of a map
	maxAttemptsPerMapCell = 1<<bitsPerCell - 1                                            // attempts of a cell in a map
	maxTenantsPerMessage  = 16                                                            // in a message
	maxCellsInList        = (maxGossipSize - gossipHeaderSize - maxTenantsPerMessage) / 3 // cells in a list, of three bytes at most
	maxAttemptTally       = 4096                                                          // attempts gathered; further ones are not told of
)

// GossipError says why a message of another co-ordinator cannot be read.
type GossipError struct {
	Field  string // the part of the message at fault
	Found  int
	Wanted string
}

func (e *GossipError) Error() string {
	return fmt.Sprintf("gossip message: %s: found %d, wanted %s", e.Field, e.Found, e.Wanted)
}

// gossipMessage is one that has been read.
type gossipMessage struct {
	event       attemptEvent
	work        time.Duration // mean of an attempt
	tenants     []TenantIndex // attemptsSent: one for each query admitted
	parallelism float64       // attemptsEnded: subqueries side by side at a replica, by the sender; at least 1
	lateness    float64       // attemptsLate: times the expected time that the attempts took; above 1
	cells       []cellAttempts
}

// cellAttempts is the number of attempts at the replicas of one cell, above 0.
type cellAttempts struct {
	cell     CellNumber
	attempts int
}

// mapSize is the length of a map of cells in bytes.
func mapSize(cells int) int { return (cells + cellsPerByte - 1) / cellsPerByte }

// decodeGossip reads a message whole or not at all. The error is a *GossipError.
func decodeGossip(message []byte, cells int) (*gossipMessage, error) {
	if len(message) <= gossipHeaderSize || len(message) > maxGossipSize {
		wanted := fmt.Sprintf("more than %d and at most %d", gossipHeaderSize, maxGossipSize)
		return nil, &GossipError{"length", len(message), wanted}
	}
	if message[0] != gossipMagic {
		return nil, &GossipError{"first byte", int(message[0]), fmt.Sprint(gossipMagic)}
	}
	decoded := &gossipMessage{
		event: attemptEvent(message[1] >> gossipEventShift),
		work:  time.Duration(binary.BigEndian.Uint16(message[2:])) * gossipWorkUnit,
	}
	body, err := decoded.readDetail(message[4], message[gossipHeaderSize:])
	if err != nil {
		return nil, err
	}
	if message[1]&gossipCellMap > 0 {
		err = decoded.readMap(body, cells)
	} else {
		err = decoded.readList(body, cells)
	}
	if err != nil {
		return nil, err
	}
	return decoded, nil
}

// readDetail reads what byte 4 says of the event, and the tenants behind it. It returns the bytes that tell of cells.
func (m *gossipMessage) readDetail(detail byte, body []byte) ([]byte, error) {
	switch m.event {
	case attemptsSent:
		return m.readTenants(int(detail), body)
	case attemptsEnded:
		if detail < gossipParallelismUnit {
			return nil, &GossipError{"subqueries side by side", int(detail), "at least one, which is 16"}
		}
		m.parallelism = float64(detail) / gossipParallelismUnit
	case attemptsLate:
		if detail <= gossipLatenessUnit {
			return nil, &GossipError{"lateness", int(detail), "more than the expected time, which is 8"}
		}
		m.lateness = float64(detail) / gossipLatenessUnit
	default:
		return nil, &GossipError{"event", int(m.event), "attempts sent, ended or late, which are 0, 1 and 2"}
	}
	return body, nil
}

func (m *gossipMessage) readTenants(count int, body []byte) ([]byte, error) {
	if count > maxTenantsPerMessage || count >= len(body) {
		return nil, &GossipError{"tenants", count, fmt.Sprintf("at most %d, and cells behind them", maxTenantsPerMessage)}
	}
	for _, tenant := range body[:count] {
		m.tenants = append(m.tenants, TenantIndex(tenant))
	}
	return body[count:], nil
}

func (m *gossipMessage) readMap(body []byte, cells int) error {
	if len(body) != mapSize(cells) {
		return &GossipError{"length of the map", len(body), fmt.Sprint(mapSize(cells))}
	}
	for cell := range cells {
		shift := bitsPerCell * (cell % cellsPerByte)
		attempts := int(body[cell/cellsPerByte] >> shift & maxAttemptsPerMapCell)
		if attempts > 0 {
			m.cells = append(m.cells, cellAttempts{CellNumber(cell), attempts})
		}
	}
	return nil
}

func (m *gossipMessage) readList(body []byte, cells int) error {
	for len(body) > 0 {
		cell, length := binary.Uvarint(body)
		if length <= 0 {
			return &GossipError{"cell, bytes left", len(body), "an unsigned varint"}
		}
		if cell >= uint64(cells) {
			return &GossipError{"cell", int(min(cell, math.MaxInt)), fmt.Sprintf("less than %d", cells)}
		}
		m.cells = append(m.cells, cellAttempts{CellNumber(cell), 1})
		body = body[length:]
	}
	return nil
}

// attemptTally gathers attempts of one event until the others are told.
type attemptTally struct {
	cells        []CellNumber  // one for each attempt
	tenants      []TenantIndex // one for each query admitted
	work         time.Duration // of all attempts
	logLateness  float64       // sum of the logarithms of their lateness
	firstAddedAt time.Duration // when the first was gathered
}

// add gathers an attempt that took so many times the expected time.
func (t *attemptTally) add(now time.Duration, cell CellNumber, work time.Duration, lateness float64) {
	if len(t.cells) == 0 {
		t.firstAddedAt = now
	}
	if len(t.cells) < maxAttemptTally {
		t.cells = append(t.cells, cell)
		t.work += work
		t.logLateness += math.Log(lateness)
	}
}

// flush encodes what was gathered, in as few bytes as it takes, and empties the tally.
func (t *attemptTally) flush(event attemptEvent, cells int, parallelism float64) (messages [][]byte) {
	if len(t.cells) == 0 {
		return nil
	}
	encoder := gossipEncoder{
		event:       event,
		mapSize:     mapSize(cells),
		work:        t.work / time.Duration(len(t.cells)),
		lateness:    math.Exp(t.logLateness / float64(len(t.cells))),
		parallelism: parallelism,
		tenants:     t.tenants,
		remaining:   t.cells,
	}
	for len(encoder.remaining) > 0 {
		messages = append(messages, encoder.next())
	}
	*t = attemptTally{cells: t.cells[:0], tenants: t.tenants[:0]}
	return messages
}

// gossipEncoder writes attempts into as many messages as they take.
type gossipEncoder struct {
	event       attemptEvent
	mapSize     int           // bytes
	work        time.Duration // mean of an attempt
	lateness    float64       // mean of an attempt
	parallelism float64
	tenants     []TenantIndex // that no message has told yet
	remaining   []CellNumber  // of attempts that no message has told yet
}

func (e *gossipEncoder) next() []byte {
	if e.listIsBetter() {
		return e.list()
	}
	return e.cellMap()
}

// listIsBetter tells whether the map does not fit, or is longer than a list that holds all that is left.
func (e *gossipEncoder) listIsBetter() bool {
	if gossipHeaderSize+maxTenantsPerMessage+e.mapSize > maxGossipSize {
		return true
	}
	return len(e.remaining) <= maxCellsInList && len(e.remaining) < e.mapSize
}

func (e *gossipEncoder) list() []byte {
	message := e.header(0)
	listed := e.remaining[:min(len(e.remaining), maxCellsInList)]
	for _, cell := range listed {
		message = binary.AppendUvarint(message, uint64(cell))
	}
	e.remaining = e.remaining[len(listed):]
	return message
}

// cellMap leaves the attempts for a further message that are more than a cell's bits can count.
func (e *gossipEncoder) cellMap() []byte {
	message := e.header(gossipCellMap)
	cells := make([]byte, e.mapSize)
	var left []CellNumber
	for _, cell := range e.remaining {
		at, shift := int(cell)/cellsPerByte, bitsPerCell*(int(cell)%cellsPerByte)
		if cells[at]>>shift&maxAttemptsPerMapCell == maxAttemptsPerMapCell {
			left = append(left, cell)
			continue
		}
		cells[at] += 1 << shift
	}
	e.remaining = left
	return append(message, cells...)
}

// header is a message up to its cells.
func (e *gossipEncoder) header(form byte) []byte {
	tenants := e.tenants[:min(len(e.tenants), maxTenantsPerMessage)]
	e.tenants = e.tenants[len(tenants):]
	message := []byte{gossipMagic, byte(e.event)<<gossipEventShift | form}
	message = binary.BigEndian.AppendUint16(message, uint16(min(math.MaxUint16, e.work/gossipWorkUnit)))
	message = append(message, e.detail(len(tenants)))
	for _, tenant := range tenants {
		message = append(message, byte(tenant))
	}
	return message
}

// detail is byte 4 of a message.
func (e *gossipEncoder) detail(tenants int) byte {
	switch e.event {
	case attemptsEnded:
		return byte(min(math.MaxUint8, e.parallelism*gossipParallelismUnit))
	case attemptsLate:
		return byte(min(math.MaxUint8, e.lateness*gossipLatenessUnit))
	}
	return byte(tenants)
}
