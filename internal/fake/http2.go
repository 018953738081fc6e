package fake

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	maxStreamID       = 1<<31 - 1
	initialWindow     = 65535 // bytes; RFC 9113, 6.9.2
	headerTableSize   = 4096  // bytes; RFC 9113, 6.5.2
	dataFrameBytes    = 16384 // bytes of a DATA frame at the most
	http2WriteTimeout = time.Second
)

// http2Conn is a replica's side of an HTTP/2 connection, as docs/http2.md specifies it for replicas. It is made of
// the library's framer alone and shares no code with the co-ordinator's side.
type http2Conn struct {
	replica *Replica
	conn    net.Conn
	framer  *http2.Framer
	decoder *hpack.Decoder // belongs to the goroutine that reads

	mu          sync.Mutex // guards what follows, and writing
	headerBlock bytes.Buffer
	encoder     *hpack.Encoder
	streams     map[uint32]*Call
	lastRun     uint32 // the highest stream that was executed, or will be
	lastAllowed uint32 // announced with GOAWAY: streams above are not executed
	sendWindow  int64  // bytes of the connection's window for replies
	windowOpen  *sync.Cond
	ended       bool
}

// serveHTTP2 serves a connection whose preface has been read.
func (replica *Replica) serveHTTP2(netConn net.Conn, in io.Reader) {
	conn := &http2Conn{
		replica:     replica,
		conn:        netConn,
		framer:      http2.NewFramer(netConn, in),
		decoder:     hpack.NewDecoder(headerTableSize, nil),
		streams:     map[uint32]*Call{},
		lastAllowed: maxStreamID,
		sendWindow:  initialWindow,
	}
	conn.encoder = hpack.NewEncoder(&conn.headerBlock)
	conn.windowOpen = sync.NewCond(&conn.mu)
	replica.Mu.Lock()
	replica.http2 = append(replica.http2, conn)
	limit := replica.streamLimit
	replica.Mu.Unlock()
	defer conn.end()
	var settings []http2.Setting
	if limit >= 0 {
		settings = append(settings, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limit)})
	}
	conn.write(func() error { return conn.framer.WriteSettings(settings...) })
	for {
		frame, err := conn.framer.ReadFrame()
		if err != nil || !conn.received(frame) {
			return
		}
	}
}

// end wakes who waits for the window.
func (conn *http2Conn) end() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.ended = true
	conn.windowOpen.Broadcast()
}

// received takes a frame and reports whether the connection goes on.
func (conn *http2Conn) received(frame http2.Frame) bool {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			conn.write(conn.framer.WriteSettingsAck)
		}
	case *http2.PingFrame:
		conn.receivedPing(frame)
	case *http2.WindowUpdateFrame:
		conn.receivedWindowUpdate(frame)
	case *http2.HeadersFrame:
		return conn.receivedHeaders(frame)
	case *http2.DataFrame:
		conn.receivedData(frame)
	case *http2.RSTStreamFrame:
		conn.receivedReset(frame)
	case *http2.GoAwayFrame:
		return false
	}
	return true
}

func (conn *http2Conn) receivedPing(frame *http2.PingFrame) {
	if frame.IsAck() || conn.replica.ignoresPings.Load() {
		return
	}
	data := frame.Data
	conn.write(func() error { return conn.framer.WritePing(true, data) })
}

func (conn *http2Conn) receivedWindowUpdate(frame *http2.WindowUpdateFrame) {
	if frame.StreamID != 0 {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.sendWindow += int64(frame.Increment)
	conn.windowOpen.Broadcast()
}

// receivedHeaders takes the head of a call and reports whether it can be read.
func (conn *http2Conn) receivedHeaders(frame *http2.HeadersFrame) bool {
	fields, err := conn.decoder.DecodeFull(frame.HeaderBlockFragment())
	if err != nil || !frame.HeadersEnded() {
		conn.replica.OnMalformed("replica %s: a head of stream %d that cannot be read: %v",
			conn.replica.UID, frame.StreamID, err)
		return false
	}
	conn.beginCall(frame.StreamID, fields)
	if frame.StreamEnded() {
		conn.callComplete(frame.StreamID)
	}
	return true
}

func (conn *http2Conn) receivedReset(frame *http2.RSTStreamFrame) {
	conn.mu.Lock()
	call := conn.streams[frame.StreamID]
	delete(conn.streams, frame.StreamID)
	conn.mu.Unlock()
	if call != nil {
		conn.replica.noteAbandoned(call.ID)
	}
}

func (conn *http2Conn) write(do func() error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_ = conn.conn.SetWriteDeadline(time.Now().Add(http2WriteTimeout))
	_ = do() // an error ends the connection, which its reader notices
}

// beginCall takes a call's head.
func (conn *http2Conn) beginCall(stream uint32, fields []hpack.HeaderField) {
	call := &Call{Conn: conn.conn, http2: conn, stream: stream}
	for _, field := range fields {
		switch field.Name {
		case "part-id":
			call.ID = field.Value
		case "part-shard":
			call.Shard, _ = strconv.Atoi(field.Value)
		case "part-wait-ms":
			call.TimeLeftMS, _ = strconv.Atoi(field.Value)
		case ":path":
			if field.Value != "/part" {
				conn.replica.OnMalformed("replica %s: path %q", conn.replica.UID, field.Value)
			}
		}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.streams[stream] = call
	conn.replica.Mu.Lock()
	conn.replica.maxStreams = max(conn.replica.maxStreams, len(conn.streams))
	conn.replica.Mu.Unlock()
}

// receivedData takes a piece of a call's body. Its credit is given back unless the replica withholds credit.
func (conn *http2Conn) receivedData(frame *http2.DataFrame) {
	conn.mu.Lock()
	if call := conn.streams[frame.StreamID]; call != nil {
		call.Text += string(frame.Data())
	}
	conn.mu.Unlock()
	if size := frame.Header().Length; size > 0 && !conn.replica.withholdsCredit.Load() {
		conn.write(func() error { return conn.giveCredit(frame, size) })
	}
	if frame.StreamEnded() {
		conn.callComplete(frame.StreamID)
	}
}

func (conn *http2Conn) giveCredit(frame *http2.DataFrame, size uint32) error {
	if err := conn.framer.WriteWindowUpdate(0, size); err != nil || frame.StreamEnded() {
		return err
	}
	return conn.framer.WriteWindowUpdate(frame.StreamID, size)
}

// callComplete has a call wait in the replica's queue and then executed, unless the replica has said by then that
// it will not be.
func (conn *http2Conn) callComplete(stream uint32) {
	conn.mu.Lock()
	call := conn.streams[stream]
	conn.mu.Unlock()
	if call == nil {
		return
	}
	conn.replica.Mu.Lock()
	queueTime := conn.replica.QueueTime
	conn.replica.Mu.Unlock()
	if queueTime == nil {
		conn.execute(stream, call)
		return
	}
	time.AfterFunc(queueTime(), func() { conn.execute(stream, call) })
}

func (conn *http2Conn) execute(stream uint32, call *Call) {
	conn.mu.Lock()
	if conn.ended || stream > conn.lastAllowed || conn.streams[stream] != call {
		conn.mu.Unlock()
		return
	}
	conn.lastRun = max(conn.lastRun, stream)
	conn.mu.Unlock()
	conn.replica.execute(*call)
}

// reply answers a call; end is the word of the frames for how it ended.
func (conn *http2Conn) reply(stream uint32, end, value string) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.streams[stream] == nil {
		return // abandoned
	}
	for conn.sendWindow < int64(len(value)) && !conn.ended {
		conn.windowOpen.Wait()
	}
	if conn.ended || conn.streams[stream] == nil {
		return
	}
	delete(conn.streams, stream)
	conn.sendWindow -= int64(len(value))
	_ = conn.conn.SetWriteDeadline(time.Now().Add(http2WriteTimeout))
	conn.writeReplyHeaders(stream, end, value)
	for len(value) > 0 {
		size := min(len(value), dataFrameBytes)
		_ = conn.framer.WriteData(stream, size == len(value), []byte(value[:size]))
		value = value[size:]
	}
}

func (conn *http2Conn) writeReplyHeaders(stream uint32, end, value string) {
	status, partEnd := "200", "ok"
	switch end {
	case "ERROR":
		status, partEnd = "500", "error"
	case "REJECTED":
		status, partEnd = "503", "rejected"
	}
	conn.headerBlock.Reset()
	for _, field := range []hpack.HeaderField{
		{Name: ":status", Value: status},
		{Name: "part-end", Value: partEnd},
		{Name: "part-load", Value: "inflight=1"},
		{Name: "content-length", Value: strconv.Itoa(len(value))},
	} {
		_ = conn.encoder.WriteField(field)
	}
	_ = conn.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream,
		BlockFragment: conn.headerBlock.Bytes(),
		EndHeaders:    true,
		EndStream:     value == "",
	})
}

// resetStream ends a stream that was not answered.
func (conn *http2Conn) resetStream(stream uint32, code http2.ErrCode) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	delete(conn.streams, stream)
	_ = conn.framer.WriteRSTStream(stream, code)
}

// goAway announces that nothing new is accepted. What waits in the replica's queue and is above what was executed
// will not be executed.
func (conn *http2Conn) goAway(graceful bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if graceful {
		_ = conn.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	}
	conn.lastAllowed = conn.lastRun
	_ = conn.framer.WriteGoAway(conn.lastAllowed, http2.ErrCodeNo, nil)
}
