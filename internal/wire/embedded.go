package wire

import (
	"bytes"
	"encoding/binary"

	"terntray/valuecheck"
)

// maxParsedLines is the number of lines in a value that are parsed in search of frames; a value with more is suspicious.
const maxParsedLines = 64

// SentIDs tells which subqueries a connection carries.
type SentIDs interface {
	// HasPrefix reports whether the ID of a subquery that was sent lately begins with the given bytes.
	HasPrefix(prefix []byte) bool
}

// findFrames looks for frames in a value, as a length that is too large takes them in. The last one may be incomplete.
func findFrames(value []byte, sent SentIDs) valuecheck.Content {
	found := valuecheck.NoMessage
	parsedLines := 0
	for start := 0; ; start++ {
		offset := bytes.IndexByte(value[start:], 0) // the first byte of any valid length
		if offset < 0 {
			return found
		}
		start += offset
		header, err := parseFrameHeader(value[start:])
		if err != nil {
			continue
		}
		if !header.complete {
			return max(found, valuecheck.MayEndInMessage)
		}
		parsedLines++
		if parsedLines > maxParsedLines {
			return max(found, valuecheck.MayEndInMessage)
		}
		found = max(found, judgeEmbedded(header, value[start+frameHeaderSize:], sent))
		if found == valuecheck.ContainsMessages {
			return found
		}
	}
}

// judgeEmbedded judges what follows a frame's header in a value.
func judgeEmbedded(header frameHeader, rest []byte, sent SentIDs) valuecheck.Content {
	size := header.length - 1 // without the letter
	isComplete := size <= len(rest)
	if header.letter == frameRefusal {
		return judgeEmbeddedRefusal(size, rest)
	}
	line, _, hasLine := bytes.Cut(rest[:min(size, len(rest))], []byte("\n"))
	if hasLine {
		if _, err := parseReplyLine(line); err == nil {
			return valuecheck.ContainsMessages
		}
		return valuecheck.NoMessage
	}
	if isComplete {
		return valuecheck.NoMessage
	}
	id, _, _ := bytes.Cut(line, []byte(" "))
	if len(id) > 0 && sent != nil && sent.HasPrefix(id) {
		return valuecheck.ContainsMessages
	}
	return valuecheck.MayEndInMessage
}

// isReplyWithBadHeader reports whether bytes that do not begin a frame are a reply all the same, with a length of zero or a
// letter that does not exist: they name a subquery that was sent.
func isReplyWithBadHeader(buffered []byte, sent SentIDs) bool {
	if len(buffered) < frameHeaderSize || binary.BigEndian.Uint32(buffered) > maxFrame {
		return false
	}
	id, _, isWhole := bytes.Cut(buffered[frameHeaderSize:], []byte(" "))
	return isWhole && len(id) > 0 && sent != nil && sent.HasPrefix(id)
}

func judgeEmbeddedRefusal(size int, rest []byte) valuecheck.Content {
	switch {
	case size == len(rest):
		return valuecheck.ContainsMessages
	case size > len(rest):
		return valuecheck.MayEndInMessage
	}
	return valuecheck.NoMessage
}
