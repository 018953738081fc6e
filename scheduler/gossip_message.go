package scheduler

// Gossip messages report the starts and ends of attempts, so that each co-ordinator knows what the others have in
// flight. A message is one datagram of at most 256 bytes. This is version 2 of the format:
//
//	byte 0    0xa8: message type and version
//	byte 1    lowest bit: encoding of the cells, 0 for a list, 1 for a map; higher bits: the attempts' event
//	byte 2-3  mean expected work of an attempt, big endian, in units of 100 µs, at most 0xffff
//	byte 4    sent:  number of tenants that follow, at most 16
//	          ended: subqueries that a replica processes in parallel, as estimated by the sender, in sixteenths, at
//	                 least 16
//	          late:  time that the attempts took, as a multiple of the expected time, in eighths, more than 8
//	tenants   sent: one byte for each admitted query, its tenant; otherwise absent
//	list      for each attempt, the cell of its replica, as an unsigned varint
//	map       for each cell, the number of its attempts in two bits, the first cell in the lowest bits of a byte
//
// The cells are encoded as a map if it fits, unless a list of all of them fits and has fewer entries than the map has
// bytes. Attempts that do not fit into one message are sent in further ones. These carry the remaining tenants as well,
// at most 16 each; tenants that remain after the last attempt are not sent. A tenant is encoded as the lowest byte of
// its index, so an index above 255 is mistaken for another.

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// PeerIndex is the number of a co-ordinator among all co-ordinators.
type PeerIndex int

// attemptEvent is the event that a message reports for its attempts.
type attemptEvent int

const (
	attemptsSent      attemptEvent = iota // just sent; the message lists the tenants as well
	attemptsEnded                         // ended without being late, or the answer may have been read late
	attemptsLate                          // ended or were cancelled much later than expected
	attemptEventCount                     // number of events
)

const (
	gossipMagic      = 0xa8
	gossipHeaderSize = 5   // bytes
	maxGossipSize    = 256 // bytes

	gossipCellMap    = 1 // bit of byte 1
	gossipEventShift = 1 // of byte 1

	gossipWorkUnit        = 100 * time.Microsecond
	gossipParallelismUnit = 16 // encoding of one subquery
	gossipLatenessUnit    = 8  // encoding of the expected time

	// The map encoding.
	cellsPerByte          = 4
	bitsPerCell           = 2
	maxAttemptsPerMapCell = 1<<bitsPerCell - 1

	maxTenantsPerMessage = 16

	// The list encoding, with at most three bytes for a cell.
	maxCellsInList = (maxGossipSize - gossipHeaderSize - maxTenantsPerMessage) / 3

	maxAttemptTally = 4096 // attempts in a tally; further ones are not reported
)

// GossipError reports that a message from another co-ordinator is malformed.
type GossipError struct {
	Field  string // the invalid part of the message
	Found  int
	Wanted string
}

// Error returns the invalid field, its value and the accepted values.
func (e *GossipError) Error() string {
	return fmt.Sprintf("gossip message: %s: found %d, wanted %s", e.Field, e.Found, e.Wanted)
}

// gossipMessage is a decoded message.
type gossipMessage struct {
	event       attemptEvent
	work        time.Duration // mean expected work of an attempt
	tenants     []TenantIndex // attemptsSent: one for each admitted query
	parallelism float64       // attemptsEnded: parallelism of a replica as estimated by the sender, at least 1
	lateness    float64       // attemptsLate: time that the attempts took over the expected time, above 1
	cells       []cellAttempts
}

// cellAttempts is the number of attempts at the replicas of one cell, above 0.
type cellAttempts struct {
	cell     CellNumber
	attempts int
}

// mapSize returns the size of a map of cells in bytes.
func mapSize(cells int) int { return (cells + cellsPerByte - 1) / cellsPerByte }

// decodeGossip decodes a message. The error is a *GossipError.
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

// readDetail decodes byte 4, whose meaning depends on the event, and the tenants. It returns the remaining bytes, which
// encode the cells.
func (m *gossipMessage) readDetail(detail byte, body []byte) ([]byte, error) {
	switch m.event {
	case attemptsSent:
		return m.readTenants(int(detail), body)
	case attemptsEnded:
		if detail < gossipParallelismUnit {
			return nil, &GossipError{"parallelism", int(detail), "at least 16, which stands for one subquery"}
		}
		m.parallelism = float64(detail) / gossipParallelismUnit
	case attemptsLate:
		if detail <= gossipLatenessUnit {
			return nil, &GossipError{"lateness", int(detail), "more than 8, which stands for the expected time"}
		}
		m.lateness = float64(detail) / gossipLatenessUnit
	default:
		return nil, &GossipError{"event", int(m.event), "0 (attempts sent), 1 (ended) or 2 (late)"}
	}
	return body, nil
}

func (m *gossipMessage) readTenants(count int, body []byte) ([]byte, error) {
	if count > maxTenantsPerMessage || count >= len(body) {
		return nil, &GossipError{"tenants", count, fmt.Sprintf("at most %d, followed by cells", maxTenantsPerMessage)}
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
			return &GossipError{"remaining bytes of the cell list", len(body), "an unsigned varint"}
		}
		if cell >= uint64(cells) {
			return &GossipError{"cell", int(min(cell, math.MaxInt)), fmt.Sprintf("less than %d", cells)}
		}
		m.cells = append(m.cells, cellAttempts{CellNumber(cell), 1})
		body = body[length:]
	}
	return nil
}

// attemptTally collects attempts of one event until they are reported to the peers.
type attemptTally struct {
	cells        []CellNumber  // one for each attempt
	tenants      []TenantIndex // one for each admitted query
	work         time.Duration // of all attempts
	logLateness  float64       // sum of the logarithms of the attempts' lateness
	firstAddedAt time.Duration // when the first attempt was added
}

// add adds an attempt; lateness is the time that it took over the expected time.
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

// flush encodes the collected attempts and empties the tally.
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

// gossipEncoder encodes attempts into as many messages as are needed.
type gossipEncoder struct {
	event       attemptEvent
	mapSize     int           // bytes
	work        time.Duration // mean of the attempts
	lateness    float64       // geometric mean of the attempts
	parallelism float64
	tenants     []TenantIndex // not yet encoded
	remaining   []CellNumber  // cells of the attempts not yet encoded
}

func (e *gossipEncoder) next() []byte {
	if e.listIsBetter() {
		return e.list()
	}
	return e.cellMap()
}

// listIsBetter reports whether the map does not fit, or a list of all remaining attempts fits and has fewer entries
// than the map has bytes.
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

// cellMap encodes a message with a map. Attempts beyond the maximum of their cell remain for a further message.
func (e *gossipEncoder) cellMap() []byte {
	message := e.header(gossipCellMap)
	cells := make([]byte, e.mapSize)
	var remaining []CellNumber
	for _, cell := range e.remaining {
		index, shift := int(cell)/cellsPerByte, bitsPerCell*(int(cell)%cellsPerByte)
		if cells[index]>>shift&maxAttemptsPerMapCell == maxAttemptsPerMapCell {
			remaining = append(remaining, cell)
			continue
		}
		cells[index] += 1 << shift
	}
	e.remaining = remaining
	return append(message, cells...)
}

// header encodes the part of a message before its cells; encoding is that of the cells.
func (e *gossipEncoder) header(encoding byte) []byte {
	tenants := e.tenants[:min(len(e.tenants), maxTenantsPerMessage)]
	e.tenants = e.tenants[len(tenants):]
	message := []byte{gossipMagic, byte(e.event)<<gossipEventShift | encoding}
	message = binary.BigEndian.AppendUint16(message, uint16(min(math.MaxUint16, e.work/gossipWorkUnit)))
	message = append(message, e.detail(len(tenants)))
	for _, tenant := range tenants {
		message = append(message, byte(tenant))
	}
	return message
}

// detail returns byte 4 of a message.
func (e *gossipEncoder) detail(tenants int) byte {
	switch e.event {
	case attemptsEnded:
		return byte(min(math.MaxUint8, e.parallelism*gossipParallelismUnit))
	case attemptsLate:
		return byte(min(math.MaxUint8, e.lateness*gossipLatenessUnit))
	}
	return byte(tenants)
}
