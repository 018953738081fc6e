package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is a part that a replica received.
type call struct {
	id    string
	shard int
	text  string
	first time.Time // when the first byte of its frame was read
}

// replica is a stand-in of a replica: it reads call frames and runs each part.
type replica struct {
	uid      string
	listener net.Listener
	work     time.Duration // of a part
	reply    func(to *replicaConn, part call)

	mu    sync.Mutex
	calls []call
	conns map[net.Conn]struct{}
}

// replicaConn is a connection of a replica.
type replicaConn struct {
	replica *replica
	net.Conn
	writing sync.Mutex
}

// startReplica starts a replica that answers each part with its value after its work.
func startReplica(uid string, work time.Duration) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &replica{uid: uid, listener: listener, work: work, conns: map[net.Conn]struct{}{}}
	started.reply = func(to *replicaConn, part call) { to.write(replyFrame(part.id, "OK", valueOf(part))) }
	go started.accept()
	return started, nil
}

func (replica *replica) target(cell int) target {
	return target{
		UID: replica.uid, Endpoint: replica.listener.Addr().String(), Zone: "west", Model: "std", PodGroup: cell,
		State: "ready", Size: 1,
	}
}

func (replica *replica) accept() {
	for {
		conn, err := replica.listener.Accept()
		if err != nil {
			return
		}
		replica.mu.Lock()
		replica.conns[conn] = struct{}{}
		replica.mu.Unlock()
		go replica.serve(&replicaConn{replica: replica, Conn: conn})
	}
}

// stop closes the listener and all connections.
func (replica *replica) stop() {
	_ = replica.listener.Close()
	replica.mu.Lock()
	defer replica.mu.Unlock()
	for conn := range replica.conns {
		_ = conn.Close()
	}
}

// received returns the parts that were received so far.
func (replica *replica) received() []call {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return append([]call(nil), replica.calls...)
}

func (replica *replica) serve(conn *replicaConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		header := make([]byte, 5)
		if _, err := io.ReadFull(reader, header); err != nil {
			return
		}
		content := make([]byte, binary.BigEndian.Uint32(header)-1)
		if _, err := io.ReadFull(reader, content); err != nil {
			return
		}
		if header[4] != 'R' {
			continue
		}
		for _, part := range parseCalls(string(content)) {
			part.first = first
			replica.mu.Lock()
			replica.calls = append(replica.calls, part)
			replica.mu.Unlock()
			go func() {
				time.Sleep(replica.work)
				replica.reply(conn, part)
			}()
		}
	}
}

// parseCalls parses the parts of a call frame.
func parseCalls(content string) (parts []call) {
	for content != "" {
		line, rest, _ := strings.Cut(content, "\n")
		words := strings.Fields(line)
		if len(words) != 4 {
			return parts
		}
		shard, _ := strconv.Atoi(words[1])
		length, err := strconv.Atoi(words[3])
		if err != nil || length > len(rest) {
			return parts
		}
		parts = append(parts, call{id: words[0], shard: shard, text: rest[:length]})
		content = rest[length:]
	}
	return parts
}

// write writes bytes to the co-ordinator, not mixed with those of other replies.
func (conn *replicaConn) write(bytes []byte) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	_, _ = conn.Write(bytes)
}

// replyFrame returns the frame of a reply.
func replyFrame(id, end, value string) []byte {
	content := fmt.Sprintf("Y%s %s 1840277719 -\n%s", id, end, value)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
}

// valueOf returns the value that every replica makes for a part.
func valueOf(part call) string { return valueFor(part.text, part.shard) }

// valueFor returns the value that every replica makes for a shard and a query's text.
func valueFor(text string, shard int) string {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d", text, shard)
	return fmt.Sprintf("%016x", hash.Sum64())
}
