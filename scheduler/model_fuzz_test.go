package scheduler

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// FuzzRules checks the rules of the model on generated event sequences.
func FuzzRules(f *testing.F) {
	for seed := range uint64(160) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		data := make([]byte, 600)
		for i := range data {
			data[i] = byte(rnd.Uint32())
		}
		data[0] = byte(seed)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) == 0 {
			return
		}
		m := newModel(t, int(data[0]))
		for data = data[1:]; len(data) >= 3; data = data[3:] {
			m.randomEvent(int(data[0]), int(data[1]), int(data[2]))
		}
		m.advance(4 * time.Second)
	})
}

// failures are the outcomes other than Succeeded that randomEvent gives to attempts.
var failures = []Outcome{Failed, Overloaded, TimedOut, Unreachable, ConnectionReset, Cancelled, MalformedReply}

// randomEvent delivers one event that the arguments select.
func (m *model) randomEvent(kind, a, b int) {
	flights := m.inFlight()
	switch id := m.order[a%len(m.order)]; kind % 16 {
	case 0, 1, 2, 3:
		m.nextShard = a / 4
		m.newQuery(a%4, 1+b%4, time.Duration(200+b*10)*ms)
	case 4, 5, 6, 7:
		for _, flight := range flights[:min(len(flights), 1+b%6)] {
			if m.now-flight.attempt().sentAt < modelWork/2 {
				continue
			}
			if a%5 == 0 && !flight.attempt().unconfirmed {
				m.withholdReply(flight)
			} else {
				m.answer(flight)
			}
		}
	case 8:
		if len(flights) > 0 {
			flight := flights[a%len(flights)]
			m.endAttempt(flight.subquery, flight.number, failures[b%len(failures)])
		}
	case 9:
		replica := m.replicas[id]
		replica.state, replica.listedAt = []EndpointState{Draining, Removed, Ready}[b%3], m.now
		if replica.state == Ready && b%2 == 0 {
			replica.startedAt, replica.sentWhileWarmingUp = m.now-time.Duration(b)*10*ms, nil
		}
		m.list(false, false, id)
	case 10:
		if b%8 == 0 {
			m.start(uint64(a))
		} else if m.settings["discovery"] == "subscribe" {
			m.scheduler.EndpointPollFailed(m.now)
		}
	case 11:
		for _, query := range slices.Sorted(maps.Keys(m.queries)) {
			if !m.queries[query].ended && int(query)%8 == b%8 {
				m.queries[query].ended = true
				m.scheduler.ForgetQuery(m.now, query)
			}
		}
	default:
		m.advance(time.Duration(1+b) * ms)
	}
	m.iterate()
	m.echoGossip(a, b)
}

// echoGossip returns the broadcast messages as if peers had sent them; some are corrupted and some are lost, at times
// all.
func (m *model) echoGossip(a, b int) {
	messages := m.broadcasts
	m.broadcasts = nil
	for n, message := range messages {
		switch {
		case b%4 == 0 || (a+n)%3 == 0:
			continue
		case (a+n)%7 == 0:
			message[(a+b)%len(message)] ^= byte(1 + b)
		}
		_ = m.scheduler.GossipReceived(m.now, PeerIndex(n%3), message) // a malformed message may be rejected
	}
}
