package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

// flood is one kind of misbehaviour.
type flood struct {
	name       string
	play       func(attack *attack)
	valueBytes int // size of the replicas' values; 0: a few
}

// leavesOthersTheirShare reports whether the flood is of few clients, so that the usual ones have to be served.
func (flood *flood) leavesOthersTheirShare() bool { return strings.HasPrefix(flood.name, "b/") }

const (
	manyClients    = 1000
	headBytes      = 16 << 10 // the largest head
	bodyBytes      = 64 << 10 // the largest body
	pieces         = 40       // in which slow clients write a request
	pieceDelay     = 30 * time.Millisecond
	leaveAfter     = 2 * time.Millisecond // from the request until its client leaves
	comeAgainIn    = 5 * time.Millisecond // from then until its id comes again
	leavers        = 20                   // clients that leave at the same time
	smallClients   = 1
	narrowBuffer   = 4 << 10 // bytes of the receive buffer of clients that leave answers unread
	leaveUnreadFor = 2 * time.Second
)

var floods = []flood{
	{name: "a/whole-largest", play: func(attack *attack) {
		attack.clients(manyClients, func(int) { attack.exchange(largest(attack.newID("big"), "a:b\r\n")) })
	}},
	{name: "a/whole-largest-unread", play: func(attack *attack) {
		attack.clients(manyClients, func(int) {
			attack.stream(false, func() []byte { return largest(attack.newID("big"), "a:b\r\n") })
		})
	}},
	{name: "a/slow", play: func(attack *attack) { attack.clients(manyClients, func(int) { attack.writeSlowly(pieces) }) }},
	{name: "a/half-and-stay", play: func(attack *attack) { attack.clients(manyClients, func(int) { attack.writeSlowly(1) }) }},
	{name: "a/short-fields", play: func(attack *attack) {
		attack.clients(manyClients, func(int) { attack.exchange(request("look", attack.newID("f"), fields("a:b\r\n"), "x")) })
	}},
	{name: "a/distinct-fields", play: func(attack *attack) {
		attack.clients(manyClients, func(int) {
			attack.exchange(request("look", attack.newID("f"), distinctFields(), "x"))
		})
	}},
	{name: "a/many-segments", play: func(attack *attack) {
		body := `{"segments":[` + strings.Repeat("{},", bodyBytes/3-40) + `{}],"text":"x"}`
		attack.clients(manyClients, func(int) { attack.exchange(withBody("look", attack.newID("s"), "", body)) })
	}},
	{name: "a/small-chunks", play: func(attack *attack) {
		attack.clients(manyClients, func(int) { attack.exchange(chunked(attack.newID("c"))) })
	}},
	{name: "a/just-under-large", play: func(attack *attack) {
		head := fields("a:b\r\n")
		attack.clients(manyClients, func(int) {
			attack.exchange(request("look", attack.newID("u"), head[:headBytes/2/5*5], strings.Repeat("x", 7000)))
		})
	}},
	{name: "a/large-answers-unread", play: leaveUnread, valueBytes: 8 << 10},
	{name: "b/new-ids", play: one(true, func(attack *attack) []byte { return request("look", attack.newID("n"), "", "x") })},
	{name: "b/new-ids-unread", play: one(false, func(attack *attack) []byte { return request("look", attack.newID("n"), "", "x") })},
	{name: "b/new-long-ids-large-text", play: one(true, func(attack *attack) []byte {
		return request("look", attack.newID(strings.Repeat("i", 180)), "", strings.Repeat("x", 60000))
	})},
	{name: "b/one-id", play: one(true, func(*attack) []byte { return request("look", "same", "", "x") })},
	{name: "b/one-id-unread", play: one(false, func(*attack) []byte { return request("look", "same", "", "x") })},
	{name: "a/one-id", play: func(attack *attack) {
		attack.clients(leavers, func(client int) {
			attack.exchange(request("look", fmt.Sprint("same", client), "", "x"))
		})
	}},
	{name: "b/unsound", play: one(true, func(*attack) []byte { return request("look", "", "", "x") })},
	{name: "b/garbage", play: one(true, func(*attack) []byte { return []byte("\x00\xff{{{\r\n\r\n") })},
	{name: "b/new-classes", play: one(true, func(attack *attack) []byte { return request(attack.newID("class"), attack.newID("n"), "", "x") })},
	{name: "b/new-tenants", play: one(true, func(attack *attack) []byte {
		return request("look", attack.newID("n"), "Req-Owner: "+attack.newID("tenant")+"\r\n", "x")
	})},
	{name: "b/pages", play: one(true, func(*attack) []byte { return []byte("GET /beliefs HTTP/1.1\r\nHost: b\r\n\r\n") })},
	{name: "b/pages-unread", play: one(false, func(*attack) []byte { return []byte("GET /counters HTTP/1.1\r\nHost: b\r\n\r\n") })},
	{name: "c/leave-1-fin", play: leaveWith(1, false)},
	{name: "c/leave-20-fin", play: leaveWith(20, false)},
	{name: "c/leave-300-fin", play: leaveWith(300, false)},
	{name: "c/leave-1-reset", play: leaveWith(1, true)},
	{name: "c/leave-20-reset", play: leaveWith(20, true)},
	{name: "c/leave-300-reset", play: leaveWith(300, true)},
	{name: "c/leave-large", play: func(attack *attack) {
		attack.clients(leavers, func(int) { attack.writeAndLeave(largest(attack.newID("large"), "a:b\r\n")) })
	}},
	{name: "c/again-after-leaving", play: comeAgain("claim", true)},
	{name: "c/again-after-leaving-pure", play: comeAgain("look", true)},
	{name: "c/again-after-answer", play: comeAgain("claim", false)},
}

// one returns a flood of one client that writes requests at full speed.
func one(reads bool, request func(attack *attack) []byte) func(attack *attack) {
	return func(attack *attack) {
		attack.clients(smallClients, func(int) { attack.stream(reads, func() []byte { return request(attack) }) })
	}
}

// leaveWith returns a flood of clients that write a number of requests at once and leave, by a FIN or a reset.
func leaveWith(requests int, resets bool) func(attack *attack) {
	return func(attack *attack) {
		attack.clients(leavers, func(int) {
			conn := attack.dial()
			if conn == nil {
				return
			}
			var ids []string
			var all []byte
			for range requests {
				id := attack.newID("leave")
				ids = append(ids, id)
				all = append(all, request("claim", id, "", "x")...)
			}
			_, _ = conn.Write(all)
			if resets {
				_ = conn.SetLinger(0)
			}
			conn.Close()
			attack.leave(ids...)
		})
	}
}

// writeAndLeave writes a request and closes its connection a moment later.
func (attack *attack) writeAndLeave(text []byte) {
	conn := attack.dial()
	if conn == nil {
		return
	}
	_, _ = conn.Write(text)
	time.Sleep(leaveAfter)
	conn.Close()
}

// comeAgain returns a flood of queries whose ids come again, after their clients left or had an answer.
func comeAgain(class string, leaves bool) func(attack *attack) {
	return func(attack *attack) {
		attack.clients(leavers, func(int) {
			id := attack.newID(onceOnly)
			text := request(class, id, "", "x")
			conn := attack.dial()
			if conn == nil {
				return
			}
			_, _ = conn.Write(text)
			if leaves {
				time.Sleep(leaveAfter)
			} else {
				_, _ = conn.Read(make([]byte, 4<<10))
			}
			conn.Close()
			time.Sleep(comeAgainIn)
			attack.exchange(text)
		})
	}
}

// leaveUnread is a flood of clients with small buffers that do not read their answers, which are large.
func leaveUnread(attack *attack) {
	attack.clients(manyClients, func(int) {
		conn := attack.dial()
		if conn == nil {
			return
		}
		defer conn.Close()
		_ = conn.SetReadBuffer(narrowBuffer)
		_, _ = conn.Write(withBody("look", attack.newID("unread"), "", allShards()))
		time.Sleep(min(leaveUnreadFor, time.Until(attack.ends)))
	})
}

// allShards returns the body of a query for all shards.
func allShards() string {
	segments := make([]string, shardCount)
	for shard := range segments {
		segments[shard] = fmt.Sprintf(`{"segment":%d,"boost":%.6f}`, shard, 1.0/shardCount)
	}
	return `{"segments":[` + strings.Join(segments, ",") + `],"text":"x"}`
}

// writeSlowly writes the largest request in a number of pieces, or half of it at once and nothing after that, until the
// program closes the connection.
func (attack *attack) writeSlowly(count int) {
	conn := attack.dial()
	if conn == nil {
		return
	}
	defer conn.Close()
	text := largest(attack.newID("slow"), "a:b\r\n")
	if count == 1 {
		_, _ = conn.Write(text[:len(text)/2])
	} else {
		writePieces(conn, text, count)
	}
	_, _ = conn.Read(make([]byte, 4<<10))
}

func writePieces(conn net.Conn, text []byte, count int) {
	size := len(text)/count + 1
	for start := 0; start < len(text); start += size {
		if _, err := conn.Write(text[start:min(len(text), start+size)]); err != nil {
			return
		}
		time.Sleep(pieceDelay)
	}
}

// largest returns a request of the largest size, whose head is filled with a field.
func largest(id, field string) []byte {
	return request("look", id, fields(field), strings.Repeat("x", bodyBytes-200))
}

// fields returns as many copies of a field as fit into a head.
func fields(field string) string { return strings.Repeat(field, (headBytes-400)/len(field)) }

func distinctFields() string {
	var all strings.Builder
	for n := 0; all.Len() < headBytes-400; n++ {
		fmt.Fprintf(&all, "%x:\r\n", n)
	}
	return all.String()
}

func request(class, id, fields, text string) []byte {
	return withBody(class, id, fields, fmt.Sprintf(`{"segments":[{"segment":3,"boost":1}],"text":%q}`, text))
}

func withBody(class, id, fields, body string) []byte {
	return fmt.Appendf(nil, "POST /%s HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 2.000\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, fields, len(body), body)
}

// chunked returns a request whose body comes in chunks of one byte.
func chunked(id string) []byte {
	body := fmt.Sprintf(`{"segments":[{"segment":3,"boost":1}],"text":%q}`, strings.Repeat("x", 20000))
	var all bytes.Buffer
	fmt.Fprintf(&all, "POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: 2.000\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for _, character := range []byte(body) {
		fmt.Fprintf(&all, "1\r\n%c\r\n", character)
	}
	all.WriteString("0\r\n\r\n")
	return all.Bytes()
}
