package decide

import (
	"encoding/binary"
	"errors"
	"time"
)

// What co-ordinators tell each other of the legs that they sent, as bytes. Nothing here chooses anything.

// PeerIndex is a co-ordinator's number among all.
type PeerIndex int

const (
	aheadMark    = 0xa7                   // the first byte: so told, version 1
	aheadHead    = 5                      // the mark, how the cells follow, the mean work of a leg, how many tenants follow
	aheadUnit    = 100 * time.Microsecond // of that work
	aheadList    = 0                      // a cell for each leg
	aheadMap     = 1                      // two bits for each cell: its legs, three at the most
	mostMessage  = 256                    // bytes
	mostOfMap    = 3
	mostTenants  = 16                                          // in one message, each for a retrieval let in
	mostOfCells  = (mostMessage - aheadHead - mostTenants) / 3 // legs that a list holds, as a cell takes three bytes at the most
	cellsOfAByte = 4
)

var errAhead = errors.New("the message is none that co-ordinators of this kind send")

// encodeAhead tells legs by the cells they went to, and their mean work, in as few bytes as it takes, and whose retrievals
// were let in.
func encodeAhead(to []CellNumber, work time.Duration, tenants []TenantIndex, cells int) (messages [][]byte) {
	head := func(how byte) []byte {
		some := tenants[:min(len(tenants), mostTenants)]
		tenants = tenants[len(some):]
		h := append(binary.BigEndian.AppendUint16([]byte{aheadMark, how}, uint16(min(0xffff, work/aheadUnit))), byte(len(some)))
		for _, t := range some {
			h = append(h, byte(t))
		}
		return h
	}
	size := aheadHead + mostTenants + (cells+cellsOfAByte-1)/cellsOfAByte
	for len(to) > 0 {
		some := to[:min(len(to), mostOfCells)]
		if size > mostMessage || len(some) == len(to) && len(to) < size-aheadHead-mostTenants {
			list := head(aheadList)
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
	return messages
}

// decodeAhead gives for each cell how many legs went there, and their mean work, and each tenant of a retrieval let in; nothing
// of a message that is not sound.
func decodeAhead(message []byte, cells int, told func(cell CellNumber, legs int, work time.Duration), in func(TenantIndex)) error {
	if len(message) <= aheadHead || len(message) > mostMessage || message[0] != aheadMark || message[1] > aheadMap ||
		message[4] > mostTenants || len(message) <= aheadHead+int(message[4]) {
		return errAhead
	}
	work, body := time.Duration(binary.BigEndian.Uint16(message[2:]))*aheadUnit, message[aheadHead+int(message[4]):]
	tenants := message[aheadHead : aheadHead+int(message[4])]
	if message[1] == aheadMap {
		if len(body) != (cells+cellsOfAByte-1)/cellsOfAByte {
			return errAhead
		}
		for _, t := range tenants {
			in(TenantIndex(t))
		}
		for cell := range cells {
			if legs := int(body[cell/cellsOfAByte] >> (2 * (cell % cellsOfAByte)) & mostOfMap); legs > 0 {
				told(CellNumber(cell), legs, work)
			}
		}
		return nil
	}
	var all []CellNumber
	for len(body) > 0 {
		cell, n := binary.Uvarint(body)
		if n <= 0 || cell >= uint64(cells) {
			return errAhead
		}
		all, body = append(all, CellNumber(cell)), body[n:]
	}
	for _, t := range tenants {
		in(TenantIndex(t))
	}
	for _, cell := range all {
		told(cell, 1, work)
	}
	return nil
}
