package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// part is one part of a call, as a replica received it.
type part struct {
	id    string
	shard int
	left  time.Duration // how long the co-ordinator says that it will wait
	text  string
	conn  *replicaConn
	at    time.Time // when its frame was complete
}

// replica is a stand-in of a replica. Its handler is called on a goroutine of its own for each part.
type replica struct {
	uid      string
	cell     int
	state    string
	listener net.Listener
	record   *recorder
	handle   func(*replica, part)
	idle     time.Duration // after which a connection is closed that carries nothing; 0: never

	mu    sync.Mutex
	conns []*replicaConn
}

// replicaConn is a connection to a replica.
type replicaConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool // nothing more is written
}

func newReplica(uid string, cell int, record *recorder, handle func(*replica, part)) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &replica{uid: uid, cell: cell, state: "ready", listener: listener, record: record, handle: handle}
	go server.accept()
	return server, nil
}

func (server *replica) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.serveConn(conn)
	}
}

func (server *replica) serveConn(conn net.Conn) {
	accepted := &replicaConn{Conn: conn}
	server.mu.Lock()
	server.conns = append(server.conns, accepted)
	server.mu.Unlock()
	server.record.note("replica %s connection from %s", server.uid, conn.RemoteAddr())
	go server.serve(accepted)
}

func (server *replica) serve(conn *replicaConn) {
	defer conn.Close()
	for {
		if server.idle > 0 {
			conn.SetReadDeadline(time.Now().Add(server.idle))
		}
		frame, err := readFrame(conn)
		if err != nil {
			server.record.note("replica %s connection from %s ended: %v", server.uid, conn.RemoteAddr(), err)
			return
		}
		at := time.Now()
		switch frame[0] {
		case 'R':
			parts, err := parseCall(frame[1:])
			if err != nil {
				server.record.note("replica %s cannot use a frame: %v", server.uid, err)
				return
			}
			for _, received := range parts {
				received.conn = conn
				received.at = at
				server.record.note("replica %s received %s shard=%d d=%d", server.uid, received.id, received.shard,
					received.left.Milliseconds())
				go server.handle(server, received)
			}
		case 'A':
			server.record.note("replica %s told that %s is given up", server.uid, frame[1:])
		}
	}
}

func readFrame(from io.Reader) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(from, size[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(size[:])
	if length == 0 || length > 1<<20 {
		return nil, errors.New("a frame of an impossible length")
	}
	frame := make([]byte, length)
	_, err := io.ReadFull(from, frame)
	return frame, err
}

// parseCall parses the parts of a call: for each a line `ID SHARD d=MS LENGTH` and the text.
func parseCall(rest []byte) ([]part, error) {
	var parts []part
	for len(rest) > 0 {
		line, after, _ := bytes.Cut(rest, []byte("\n"))
		words := strings.Fields(string(line))
		if len(words) != 4 {
			return nil, fmt.Errorf("the line %q", line)
		}
		shard, shardErr := strconv.Atoi(words[1])
		wait, waitErr := strconv.Atoi(strings.TrimPrefix(words[2], "d="))
		length, lengthErr := strconv.Atoi(words[3])
		if err := errors.Join(shardErr, waitErr, lengthErr); err != nil || length > len(after) {
			return nil, fmt.Errorf("the line %q", line)
		}
		left := time.Duration(wait) * time.Millisecond
		parts = append(parts, part{id: words[0], shard: shard, left: left, text: string(after[:length])})
		rest = after[length:]
	}
	return parts, nil
}

// valueOf is the value that every holder of a shard makes for a text.
func valueOf(text string, shard int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s.%d", text, shard))
	return hex.EncodeToString(sum[:8])
}

// replyFrame is a sound answer to a part.
func replyFrame(to part, end, value string) []byte {
	content := fmt.Sprintf("Y%s %s 1840277719 inflight=1,util=0.30\n%s", to.id, end, value)
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	return append(frame, content...)
}

// write writes bytes to a connection at once, and nothing after them if they are the last.
func (conn *replicaConn) write(text []byte, last bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.silent {
		conn.Write(text)
	}
	conn.silent = conn.silent || last
}

// answer answers a part soundly.
func (server *replica) answer(to part, end, value string) {
	server.record.note("replica %s answers %s %s %s", server.uid, to.id, end, value)
	to.conn.write(replyFrame(to, end, value), false)
}
