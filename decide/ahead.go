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
	aheadHead    = 4                      // the mark, how the cells follow, and the mean work of a leg
	aheadUnit    = 100 * time.Microsecond // of that work
	aheadList    = 0                      // a cell for each leg
	aheadMap     = 1                      // two bits for each cell: its legs, three at the most
	mostMessage  = 256                    // bytes
	mostOfMap    = 3
	mostOfCells  = (mostMessage - aheadHead) / 2 // legs that a list holds whatever their cells
	cellsOfAByte = 4
)

var errAhead = errors.New("the message is none that co-ordinators of this kind send")

// encodeAhead tells legs by the cells they went to, and their mean work, in as few bytes as it takes.
func encodeAhead(to []CellNumber, work time.Duration, cells int) (messages [][]byte) {
	head := func(how byte) []byte {
		return binary.BigEndian.AppendUint16([]byte{aheadMark, how}, uint16(min(0xffff, work/aheadUnit)))
	}
	for len(to) > 0 {
		some := to[:min(len(to), mostOfCells)]
		list := head(aheadList)
		for _, cell := range some {
			list = binary.AppendUvarint(list, uint64(cell))
		}
		if size := aheadHead + (cells+cellsOfAByte-1)/cellsOfAByte; size > mostMessage || size >= len(list) && len(some) == len(to) {
			messages, to = append(messages, list), to[len(some):]
			continue
		}
		full := append(head(aheadMap), make([]byte, (cells+cellsOfAByte-1)/cellsOfAByte)...)
		var rest []CellNumber
		for _, cell := range to {
			at, shift := aheadHead+int(cell)/cellsOfAByte, 2*(int(cell)%cellsOfAByte)
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

// decodeAhead gives for each cell how many legs went there, and their mean work.
func decodeAhead(message []byte, cells int, told func(cell CellNumber, legs int, work time.Duration)) error {
	if len(message) <= aheadHead || len(message) > mostMessage || message[0] != aheadMark || message[1] > aheadMap {
		return errAhead
	}
	work, body := time.Duration(binary.BigEndian.Uint16(message[2:]))*aheadUnit, message[aheadHead:]
	if message[1] == aheadMap {
		if len(body) != (cells+cellsOfAByte-1)/cellsOfAByte {
			return errAhead
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
	for _, cell := range all {
		told(cell, 1, work)
	}
	return nil
}
