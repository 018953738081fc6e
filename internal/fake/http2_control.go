package fake

import "golang.org/x/net/http2"

// This file has the methods with which tests control a replica's HTTP/2 connections.

func (replica *Replica) forEachHTTP2Conn(do func(*http2Conn)) {
	replica.Mu.Lock()
	conns := append([]*http2Conn{}, replica.http2...)
	replica.Mu.Unlock()
	for _, conn := range conns {
		do(conn)
	}
}

// SetStreamLimit sets the maximum number of concurrent streams per connection, also on open connections. A negative
// limit means unlimited.
func (replica *Replica) SetStreamLimit(limit int) {
	replica.Mu.Lock()
	replica.streamLimit = limit
	replica.Mu.Unlock()
	setting := http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limit)}
	replica.forEachHTTP2Conn(func(conn *http2Conn) {
		conn.write(func() error { return conn.framer.WriteSettings(setting) })
	})
}

// GoAway sends GOAWAY on all connections: new calls are not accepted, and queued calls are never executed. If
// graceful, a first GOAWAY that still allows every stream announces it; if abrupt, the connections are closed right
// afterwards.
func (replica *Replica) GoAway(graceful, abrupt bool) {
	replica.forEachHTTP2Conn(func(conn *http2Conn) {
		conn.goAway(graceful)
		if abrupt {
			conn.conn.Close()
		}
	})
}

// IgnorePings sets whether the replica leaves pings unanswered.
func (replica *Replica) IgnorePings(ignore bool) { replica.ignoresPings.Store(ignore) }

// WithholdCredit sets whether the replica stops returning flow-control credit for data that it receives.
func (replica *Replica) WithholdCredit(withhold bool) { replica.withholdsCredit.Store(withhold) }

// GrantCredit enlarges the flow-control window of each connection and each of its streams by the given number of bytes.
func (replica *Replica) GrantCredit(bytes int) {
	replica.forEachHTTP2Conn(func(conn *http2Conn) {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		_ = conn.framer.WriteWindowUpdate(0, uint32(bytes))
		for stream := range conn.streams {
			_ = conn.framer.WriteWindowUpdate(stream, uint32(bytes))
		}
	})
}

// MaxStreams returns the largest number of streams that have been open on one connection at the same time.
func (replica *Replica) MaxStreams() int {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	return replica.maxStreams
}
