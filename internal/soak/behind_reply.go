package soak

import "time"

const (
	// maxBehindReply is the longest time from a reply to a disruption behind it.
	maxBehindReply = 400 * time.Millisecond

	partialHeader = "\x00\x00" // begins a frame that never goes on
)

// noise has bytes that are neither a frame nor part of a value, which is text. They may begin like text.
var noise = []string{"\xff\xfenoise", "tL\xdc\x7f\xe8\r\n"}

// Exclusive upper bounds of a random number from 0 to 99 that selects what comes behind a reply, where the setting has
// disruptions there. Each range begins at the bound before it; from noiseBelow on, nothing does.
const (
	resetBehindBelow = 2
	endBehindBelow   = 4 // the connection ends in order
	partialBelow     = 5
	noiseBelow       = 6
)

// disruptBehindReply sometimes disrupts the connection some time after a reply on it. The reply is not affected: it was
// written before.
func (c *replicaConn) disruptBehindReply() {
	if !c.replica.soak.disruptsBehindReplies {
		return
	}
	choice := c.replica.draw(100)
	if choice >= noiseBelow {
		return
	}
	time.AfterFunc(time.Duration(c.replica.draw(int(maxBehindReply))), func() {
		switch {
		case choice < resetBehindBelow:
			reset(c.Conn)
		case choice < endBehindBelow:
			c.Conn.Close()
		case choice < partialBelow:
			c.writeLast(partialHeader)
		default:
			c.writeLast(noise[c.replica.draw(len(noise))])
		}
	})
}

// writeLast writes bytes behind which nothing more is written on the connection.
func (c *replicaConn) writeLast(last string) {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.silent {
		return
	}
	c.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
	_, _ = c.Write([]byte(last))
	c.silent = true
}
