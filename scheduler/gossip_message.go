package scheduler

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// What co-ordinators tell each other of their attempts, gathered and as bytes. Nothing here chooses anything.

// PeerIndex is a co-ordinator's number among all.
type PeerIndex int

// legsTold is what a message tells of its attempts.
type attemptsTold int

const (
	sentAttempts   attemptsTold = iota // just sent, and for whom
	endedAttempts                      // at an end, in about the time expected or with nothing to tell of it
	lateAttempts                       // at an end, or called off, so many times later than expected
	kindsOfAttempt = 3
)

const (
	aheadMark    = 0xa8                   // the first byte: so told, version 2
	aheadHead    = 5                      // the mark, what is told and how the cells follow, the mean work of an attempt, one byte more
	aheadUnit    = 100 * time.Microsecond // of that work
	aheadMap     = 1                      // two bits for each cell, its attempts, three at the most; else a cell for each attempt
	kindShift    = 1                      // above that bit: which attempts
	lateUnit     = 8                      // eighths: how many times later, in the byte that else counts tenants
	lanesUnit    = 16                     // sixteenths: how many parts side by side the sender counts on, there with ended ones
	mostMessage  = 256                    // bytes
	mostOfMap    = 3
	mostTenants  = 16                                          // in one message, each for a query let in
	mostOfCells  = (mostMessage - aheadHead - mostTenants) / 3 // attempts that a list holds, as a cell takes three bytes at the most
	cellsOfAByte = 4
	mostGathered = 4096 // attempts; a turn that sends or ends more tells of so many
)

var errAhead = errors.New("the message is none that co-ordinators of this kind send")

// tally gathers attempts of one kind until they are told.
type tally struct {
	cells   []CellNumber
	tenants []TenantIndex // of queries let in
	work    time.Duration // of all attempts
	late    float64       // sum of the logarithms of how many times later they were
	since   time.Duration // the first was gathered
}

func (t *tally) add(now time.Duration, cell CellNumber, work time.Duration, times float64) {
	if len(t.cells) == 0 {
		t.since = now
	}
	if len(t.cells) < mostGathered {
		t.cells, t.work, t.late = append(t.cells, cell), t.work+work, t.late+math.Log(times)
	}
}

// take gives the messages that tell what was gathered, in as few bytes as it takes, and begins anew.
func (t *tally) take(kind attemptsTold, cells int, lanes float64) (messages [][]byte) {
	if len(t.cells) == 0 {
		return nil
	}
	n, to, tenants := len(t.cells), t.cells, t.tenants
	work, late := t.work/time.Duration(n), math.Exp(t.late/float64(n))
	head := func(how byte) []byte {
		some := tenants[:min(len(tenants), mostTenants)]
		tenants = tenants[len(some):]
		last := byte(len(some))
		switch kind {
		case endedAttempts:
			last = byte(min(255, lanes*lanesUnit))
		case lateAttempts:
			last = byte(min(255, late*lateUnit))
		}
		h := []byte{aheadMark, byte(kind)<<kindShift | how}
		h = append(binary.BigEndian.AppendUint16(h, uint16(min(0xffff, work/aheadUnit))), last)
		for _, t := range some {
			h = append(h, byte(t))
		}
		return h
	}
	size := aheadHead + mostTenants + (cells+cellsOfAByte-1)/cellsOfAByte
	for len(to) > 0 {
		some := to[:min(len(to), mostOfCells)]
		if size > mostMessage || len(some) == len(to) && len(to) < size-aheadHead-mostTenants {
			list := head(0)
			for _, cell := range some {
				list = binary.AppendUvarint(list, uint64(cell))
			}
			messages, to = append(messages, list), to[len(some):]
			continue
		}
		full := head(aheadMap)
		from := len(full)
		full = append(full, make([]byte, (cells+cellsOfAByte-1)/cellsOfAByte)...)
		var rest []CellNumber
		for _, cell := range to {
			at, shift := from+int(cell)/cellsOfAByte, 2*(int(cell)%cellsOfAByte)
			if full[at]>>shift&mostOfMap == mostOfMap {
				rest = append(rest, cell)
				continue
			}
			full[at] += 1 << shift
		}
		messages, to = append(messages, full), rest
	}
	*t = tally{cells: t.cells[:0], tenants: t.tenants[:0]}
	return messages
}

// legsAt is what a message tells of one cell; late is 0 but for attempts that were late, lanes but for those that were not.
type attemptsAt struct {
	kind        attemptsTold
	cell        CellNumber
	attempts    int
	work        time.Duration // the mean of those in the message
	late, lanes float64
}

// decodeAhead gives what a message tells of each cell, and each tenant of a query let in; nothing of one that is not
// sound.
func decodeAhead(message []byte, cells int, told func(attemptsAt), in func(TenantIndex)) error {
	if len(message) <= aheadHead || len(message) > mostMessage || message[0] != aheadMark {
		return errAhead
	}
	what := attemptsAt{kind: attemptsTold(message[1] >> kindShift), attempts: 1, work: time.Duration(binary.BigEndian.Uint16(message[2:])) * aheadUnit}
	some := int(message[4])
	switch what.kind {
	case sentAttempts:
	case endedAttempts:
		if what.lanes = float64(some) / lanesUnit; what.lanes < 1 {
			return errAhead
		}
		some = 0
	case lateAttempts:
		if what.late = float64(some) / lateUnit; what.late <= 1 {
			return errAhead
		}
		some = 0
	default:
		return errAhead
	}
	if some > mostTenants || len(message) <= aheadHead+some {
		return errAhead
	}
	tenants, body := message[aheadHead:aheadHead+some], message[aheadHead+some:]
	var all []attemptsAt
	if message[1]&aheadMap > 0 {
		if len(body) != (cells+cellsOfAByte-1)/cellsOfAByte {
			return errAhead
		}
		for cell := range cells {
			what.cell, what.attempts = CellNumber(cell), int(body[cell/cellsOfAByte]>>(2*(cell%cellsOfAByte))&mostOfMap)
			if what.attempts > 0 {
				all = append(all, what)
			}
		}
	} else {
		for len(body) > 0 {
			cell, n := binary.Uvarint(body)
			if n <= 0 || cell >= uint64(cells) {
				return errAhead
			}
			what.cell = CellNumber(cell)
			all, body = append(all, what), body[n:]
		}
	}
	for _, t := range tenants {
		in(TenantIndex(t))
	}
	for _, w := range all {
		told(w)
	}
	return nil
}
