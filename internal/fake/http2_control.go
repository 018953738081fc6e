package fake

import "golang.org/x/net/http2"

// This file has what tests do to a replica's HTTP/2 connections.

// eachHTTP2Conn does something with each HTTP/2 connection.
func (replica *Replica) eachHTTP2Conn(do func(*http2Conn)) {
	replica.Mu.Lock()
	conns := append([]*http2Conn{}, replica.http2...)
	replica.Mu.Unlock()
	for _, conn := range conns {
		do(conn)
	}
}

// SetStreamLimit sets how many concurrent streams the replica allows on a connection; below 0: any number.
func (replica *Replica) SetStreamLimit(limit int) {
	replica.Mu.Lock()
	replica.streamLimit = limit
	replica.Mu.Unlock()
	setting := http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: uint32(limit)}
	replica.eachHTTP2Conn(func(conn *http2Conn) {
		conn.write(func() error { return conn.framer.WriteSettings(setting) })
	})
}

// GoAway has the replica accept nothing new on its connections; what waits in its queue is never executed.
// Graceful, it announces that first; abrupt, the connections are closed at once.
func (replica *Replica) GoAway(graceful, abrupt bool) {
	replica.eachHTTP2Conn(func(conn *http2Conn) {
		conn.goAway(graceful)
		if abrupt {
			conn.conn.Close()
		}
	})
}

// IgnorePings has the replica answer no pings from now on, or answer them again.
func (replica *Replica) IgnorePings(ignore bool) { replica.ignoresPings.Store(ignore) }

// WithholdCredit has the replica give back no flow-control credit from now on, or give it again.
func (replica *Replica) WithholdCredit(withhold bool) { replica.withholdsCredit.Store(withhold) }

// GrantCredit gives so many bytes of credit on each connection and on each of its streams.
func (replica *Replica) GrantCredit(bytes int) {
	replica.eachHTTP2Conn(func(conn *http2Conn) {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		_ = conn.framer.WriteWindowUpdate(0, uint32(bytes))
		for stream := range conn.streams {
			_ = conn.framer.WriteWindowUpdate(stream, uint32(bytes))
		}
	})
}

// MaxStreams is the largest number of streams that were open on a connection at a time.
func (replica *Replica) MaxStreams() int {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	return replica.maxStreams
}
