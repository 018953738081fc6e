// Package fake holds scripted peers of a co-ordinator on loopback: replicas that speak the frames, a discovery that
// tells them, clients that ask on an open-loop schedule, and the program itself as a process. Each keeps a ledger of
// what it saw; tests and proofs judge by those. Nothing here is part of the service.
package fake

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Call is one part as it reached a replica.
type Call struct {
	ID         string
	Shard      int
	TimeLeftMS int // milliseconds
	Text       string
	Conn       net.Conn

	h2     *http2Conn // nil: it came in a frame
	stream uint32
}

// Replica is one. Its Act says what it does with each part; it runs on the connection's goroutine.
type Replica struct {
	UID         string
	Cell        int
	State       string
	BootMS      int64
	Listener    net.Listener
	OnMalformed func(format string, args ...any) // told of frames that cannot be used

	Mu        sync.Mutex // guards what follows
	Behavior  func(*Replica, Call)
	Calls     []Call // the ledger; empty where Quiet
	Abandoned []string
	Conns     []net.Conn
	NoLedger  bool                 // keep no ledger of calls: for many
	CutAfter  func() int           // bytes that a new connection brings in before it is cut off; below 0 for ever. nil: none is
	QueueTime func() time.Duration // a call in HTTP/2 waits so long in the box before it runs; nil: it runs at once
	Model     string
	http2     []*http2Conn
	limit     int // streams on a connection; below 0: any number
	most      int // that were open on one

	reading      sync.RWMutex // held while it reads nothing
	in           atomic.Int64 // bytes that came
	conns        atomic.Int64 // connections that came
	deaf, stalls atomic.Bool
	TLS          *tls.Config // to be set before it is listed

	changedAt int // the list's revision
	writing   sync.Mutex
}

// Succeed answers with a value that tells the replica and the part.
func Succeed(s *Replica, c Call) { s.Reply(c, "OK", "v<"+s.UID+"."+strconv.Itoa(c.Shard)+">") }

// Silent answers nothing.
func Silent(*Replica, Call) {}

// ResetConnection breaks the connection.
func ResetConnection(_ *Replica, c Call) {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		conn.SetLinger(0)
	}
	c.Conn.Close()
}

// Fail answers that the part failed.
func Fail(s *Replica, c Call) { s.Reply(c, "ERROR", "") }

// After has it done after a time whatever else comes, as with any number of cores.
func After(d time.Duration, do func(*Replica, Call)) func(*Replica, Call) {
	return func(s *Replica, c Call) { time.AfterFunc(d, func() { do(s, c) }) }
}

// Reply answers a part.
func (s *Replica) Reply(c Call, end, value string) {
	if c.h2 != nil {
		c.h2.reply(c.stream, end, value)
		return
	}
	s.Write(c.Conn, 'Y', fmt.Sprintf("%s %s 7 inflight=1\n%s", c.ID, end, value))
}

// Write writes a frame.
func (s *Replica) Write(conn net.Conn, letter byte, rest string) {
	b := binary.BigEndian.AppendUint32(nil, uint32(1+len(rest)))
	s.writing.Lock()
	defer s.writing.Unlock()
	conn.Write(append(append(b, letter), rest...))
}

// NewReplica starts one on a port of its own; Close ends it.
func NewReplica(uid string, cell int, act func(*Replica, Call)) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Replica{UID: uid, Cell: cell, State: "ready", Model: "m", limit: -1, Listener: l, Behavior: act, OnMalformed: func(string, ...any) {}}
	go s.Accept(l)
	return s, nil
}

// Accept serves the connections of a listener until it is closed.
func (s *Replica) Accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.Mu.Lock()
		s.Conns = append(s.Conns, conn)
		s.Mu.Unlock()
		s.conns.Add(1)
		go s.serve(conn)
	}
}

// Close ends the listener and all connections.
func (s *Replica) Close() {
	s.Listener.Close()
	s.Mu.Lock()
	defer s.Mu.Unlock()
	for _, conn := range s.Conns {
		conn.Close()
	}
}

// preface begins a connection in HTTP/2 (RFC 9113, 3.4); as a frame's length it would be beyond any bound.
const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

func (s *Replica) serve(conn net.Conn) {
	defer conn.Close()
	s.Mu.Lock()
	cut := s.CutAfter
	s.Mu.Unlock()
	if cut != nil {
		conn = &cutConn{Conn: conn, left: cut()}
	}
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	in := bufio.NewReader(counted{conn, s})
	if first, err := in.Peek(4); err == nil && string(first) == preface[:4] {
		if _, err := io.ReadFull(in, make([]byte, len(preface))); err == nil {
			s.serveHTTP2(conn, in)
		}
		return
	}
	for {
		var size [4]byte
		if _, err := io.ReadFull(in, size[:]); err != nil {
			return
		}
		length := binary.BigEndian.Uint32(size[:])
		if length == 0 || length > 1<<20 {
			return
		}
		frame := make([]byte, length)
		if _, err := io.ReadFull(in, frame); err != nil {
			return
		}
		if frame[0] == 'A' {
			s.Mu.Lock()
			if !s.NoLedger {
				s.Abandoned = append(s.Abandoned, string(frame[1:]))
			}
			s.Mu.Unlock()
			continue
		}
		c := Call{Conn: conn}
		line, text, _ := bytes.Cut(frame[1:], []byte("\n"))
		words := strings.Fields(string(line))
		if len(words) != 4 || frame[0] != 'R' || words[3] != strconv.Itoa(len(text)) {
			s.OnMalformed("replica %s cannot use frame %q", s.UID, frame)
			return
		}
		var errs [2]error
		c.ID = words[0]
		c.Shard, errs[0] = strconv.Atoi(words[1])
		c.TimeLeftMS, errs[1] = strconv.Atoi(strings.TrimPrefix(words[2], "d="))
		if errs != [2]error{} {
			s.OnMalformed("replica %s cannot use frame %q: %v", s.UID, frame, errs)
			return
		}
		c.Text = string(text)
		s.takes(c)
	}
}

// takes runs a part.
func (s *Replica) takes(c Call) {
	s.Mu.Lock()
	if !s.NoLedger {
		s.Calls = append(s.Calls, c)
	}
	act := s.Behavior
	s.Mu.Unlock()
	act(s, c)
}

// SetBehavior changes what it does with parts from now on.
func (s *Replica) SetBehavior(act func(*Replica, Call)) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Behavior = act
}

// Received tells the ledger of calls.
func (s *Replica) Received() []Call {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	return slices.Clone(s.Calls)
}

// HasReceived tells whether a part of a query came.
func (s *Replica) HasReceived(id string) bool {
	return slices.ContainsFunc(s.Received(), func(c Call) bool { return strings.HasPrefix(c.ID, id) })
}

// cutConn is a connection that is reset once so many bytes came in, wherever that is.
type cutConn struct {
	net.Conn
	left int // below 0: for ever
}

func (c *cutConn) Read(b []byte) (int, error) {
	if c.left < 0 {
		return c.Conn.Read(b)
	}
	if c.left == 0 {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Conn.Close()
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// CloseConnections ends all connections that stand, with a reset or without.
func (s *Replica) CloseConnections(reset bool) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	for _, conn := range s.Conns {
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
		}
		conn.Close()
	}
	s.Conns = nil
}

// counted counts the bytes that are read, and reads none while its replica does not.
type counted struct {
	net.Conn
	by *Replica
}

func (c counted) Read(b []byte) (int, error) {
	c.by.awaitReading()
	n, err := c.Conn.Read(b)
	c.by.in.Add(int64(n))
	return n, err
}

// awaitReading waits while the replica reads nothing.
func (s *Replica) awaitReading() {
	s.reading.RLock()
	defer s.reading.RUnlock()
}

// PauseReading has it read no more, but for what its reads that wait already take, until goOn is called. What its
// connections hold meanwhile is little: they are to be made after Narrow.
func (s *Replica) PauseReading() (goOn func()) {
	s.reading.Lock()
	return s.reading.Unlock
}

// ShrinkBuffers has the machines hold few bytes for connections that are made from now on.
func (s *Replica) ShrinkBuffers() error {
	raw, err := s.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	return ShrinkBuffers(raw)
}

// ShrinkBuffers has the machines hold few bytes on a socket that is to be connected: a small window, and small segments, by which
// the other end's buffer is measured.
func ShrinkBuffers(raw syscall.RawConn) error {
	var window, segment error
	err := raw.Control(func(fd uintptr) {
		window = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		segment = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
	})
	return errors.Join(err, window, segment)
}

// Traffic is how many bytes and connections have come so far.
func (s *Replica) Traffic() (bytes, conns int) { return int(s.in.Load()), int(s.conns.Load()) }
