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
	dataFrameBytes    = 16384 // maximum payload of a DATA frame
	http2WriteTimeout = time.Second
)

// http2Conn is the replica's end of an HTTP/2 connection, as specified in docs/http2.md. It uses only the library's
// framer and shares no code with the co-ordinator's end.
type http2Conn struct {
	replica *Replica
	conn    net.Conn
	framer  *http2.Framer
	decoder *hpack.Decoder // used only by the reading goroutine

	mu           sync.Mutex // guards the fields below, and writes to the connection
	headerBlock  bytes.Buffer
	encoder      *hpack.Encoder
	streams      map[uint32]*Call
	lastExecuted uint32 // highest stream that was executed, or will be
	lastAllowed  uint32 // last stream announced with GOAWAY: higher streams are not executed
	sendWindow   int64  // remaining flow-control window of the connection for replies, in bytes
	windowOpen   *sync.Cond
	ended        bool
	silent       bool // nothing more is written
}

// serveHTTP2 serves a connection after its preface has been read.
func (replica *Replica) serveHTTP2(netConn net.Conn, reader io.Reader) {
	conn := &http2Conn{
		replica:     replica,
		conn:        netConn,
		framer:      http2.NewFramer(netConn, reader),
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
		if err != nil || !conn.handleFrame(frame) {
			return
		}
	}
}

// end marks the connection as ended and wakes the replies that wait for the send window.
func (conn *http2Conn) end() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.ended = true
	conn.windowOpen.Broadcast()
}

// handleFrame handles a frame and reports whether the connection stays open.
func (conn *http2Conn) handleFrame(frame http2.Frame) bool {
	switch frame := frame.(type) {
	case *http2.SettingsFrame:
		if !frame.IsAck() {
			conn.write(conn.framer.WriteSettingsAck)
		}
	case *http2.PingFrame:
		conn.handlePing(frame)
	case *http2.WindowUpdateFrame:
		conn.handleWindowUpdate(frame)
	case *http2.HeadersFrame:
		return conn.handleHeaders(frame)
	case *http2.DataFrame:
		conn.handleData(frame)
	case *http2.RSTStreamFrame:
		conn.handleReset(frame)
	case *http2.GoAwayFrame:
		return false
	}
	return true
}

func (conn *http2Conn) handlePing(frame *http2.PingFrame) {
	if frame.IsAck() || conn.replica.ignoresPings.Load() {
		return
	}
	data := frame.Data
	conn.write(func() error { return conn.framer.WritePing(true, data) })
}

func (conn *http2Conn) handleWindowUpdate(frame *http2.WindowUpdateFrame) {
	if frame.StreamID != 0 {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.sendWindow += int64(frame.Increment)
	conn.windowOpen.Broadcast()
}

// handleHeaders handles the headers of a call and reports whether they are valid.
func (conn *http2Conn) handleHeaders(frame *http2.HeadersFrame) bool {
	fields, err := conn.decoder.DecodeFull(frame.HeaderBlockFragment())
	if err != nil || !frame.HeadersEnded() {
		conn.replica.OnMalformed("replica %s: malformed headers on stream %d: %v",
			conn.replica.UID, frame.StreamID, err)
		return false
	}
	conn.beginCall(frame.StreamID, fields)
	if frame.StreamEnded() {
		conn.queueCall(frame.StreamID)
	}
	return true
}

func (conn *http2Conn) handleReset(frame *http2.RSTStreamFrame) {
	conn.mu.Lock()
	call := conn.streams[frame.StreamID]
	delete(conn.streams, frame.StreamID)
	conn.mu.Unlock()
	if call != nil {
		conn.replica.recordAbandoned(call.ID)
	}
}

func (conn *http2Conn) write(do func() error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.silent {
		return
	}
	_ = conn.conn.SetWriteDeadline(time.Now().Add(http2WriteTimeout))
	_ = do() // after a write error, the connection's read loop fails and closes it
}

// writeLast writes bytes behind which nothing more is written.
func (conn *http2Conn) writeLast(last []byte) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	_, _ = conn.conn.Write(last)
	conn.silent = true
}

// beginCall registers a call from its header fields.
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
				conn.replica.OnMalformed("replica %s: unexpected path %q", conn.replica.UID, field.Value)
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

// handleData appends to a call's text. It returns the flow-control credit unless the replica withholds credit.
func (conn *http2Conn) handleData(frame *http2.DataFrame) {
	conn.mu.Lock()
	if call := conn.streams[frame.StreamID]; call != nil {
		call.Text += string(frame.Data())
	}
	conn.mu.Unlock()
	if size := frame.Header().Length; size > 0 && !conn.replica.withholdsCredit.Load() {
		conn.write(func() error { return conn.returnCredit(frame, size) })
	}
	if frame.StreamEnded() {
		conn.queueCall(frame.StreamID)
	}
}

func (conn *http2Conn) returnCredit(frame *http2.DataFrame, size uint32) error {
	if err := conn.framer.WriteWindowUpdate(0, size); err != nil || frame.StreamEnded() {
		return err
	}
	return conn.framer.WriteWindowUpdate(frame.StreamID, size)
}

// queueCall executes a complete call, after its time in the replica's queue. The call is not executed if by then its
// stream was reset, or a GOAWAY has excluded it, or the connection has ended.
func (conn *http2Conn) queueCall(stream uint32) {
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
	conn.lastExecuted = max(conn.lastExecuted, stream)
	conn.mu.Unlock()
	conn.replica.execute(*call)
}

// reply answers a call. The status is one of the frame protocol: OK, ERROR or REJECTED.
func (conn *http2Conn) reply(stream uint32, status, value string) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.streams[stream] == nil || conn.silent {
		return // abandoned, or never to be answered
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
	conn.writeReplyHeaders(stream, status, value, !conn.omitsContentLength())
	for len(value) > 0 {
		size := min(len(value), dataFrameBytes)
		_ = conn.framer.WriteData(stream, size == len(value), []byte(value[:size]))
		value = value[size:]
	}
}

func (conn *http2Conn) omitsContentLength() bool {
	conn.replica.Mu.Lock()
	defer conn.replica.Mu.Unlock()
	return conn.replica.OmitsContentLength
}

func (conn *http2Conn) writeReplyHeaders(stream uint32, status, value string, withLength bool) {
	httpStatus, partEnd := "200", "ok"
	switch status {
	case "ERROR":
		httpStatus, partEnd = "500", "error"
	case "REJECTED":
		httpStatus, partEnd = "503", "rejected"
	}
	conn.headerBlock.Reset()
	fields := []hpack.HeaderField{
		{Name: ":status", Value: httpStatus},
		{Name: "part-end", Value: partEnd},
		{Name: "part-load", Value: "inflight=1"},
	}
	if withLength {
		fields = append(fields, hpack.HeaderField{Name: "content-length", Value: strconv.Itoa(len(value))})
	}
	for _, field := range fields {
		_ = conn.encoder.WriteField(field)
	}
	_ = conn.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream,
		BlockFragment: conn.headerBlock.Bytes(),
		EndHeaders:    true,
		EndStream:     value == "",
	})
}

// resetStream resets a stream instead of replying.
func (conn *http2Conn) resetStream(stream uint32, code http2.ErrCode) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	delete(conn.streams, stream)
	_ = conn.framer.WriteRSTStream(stream, code)
}

// goAway sends GOAWAY with the highest stream executed so far; calls on higher streams, also queued ones, will not be
// executed. If graceful, it first sends a GOAWAY that allows every stream.
func (conn *http2Conn) goAway(graceful bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if graceful {
		_ = conn.framer.WriteGoAway(maxStreamID, http2.ErrCodeNo, nil)
	}
	conn.lastAllowed = conn.lastExecuted
	_ = conn.framer.WriteGoAway(conn.lastAllowed, http2.ErrCodeNo, nil)
}
