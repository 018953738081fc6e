package scheduler

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"
)

// gossipOf encodes attempts of the given lateness. The sender estimates a parallelism of two.
func gossipOf(event attemptEvent, attempts []CellNumber, work time.Duration, lateness float64,
	tenants []TenantIndex, cells int) [][]byte {
	tally := attemptTally{tenants: tenants}
	for _, cell := range attempts {
		tally.add(0, cell, work, lateness)
	}
	return tally.flush(event, cells, 2)
}

func TestGossipRoundTrip(t *testing.T) {
	for _, cells := range []int{1, 3, 162, 900, 5000} {
		for _, attempts := range []int{1, 7, 200, 1000} {
			for event := range attemptEventCount {
				t.Run(fmt.Sprintf("%d cells, %d attempts, event %d", cells, attempts, event), func(t *testing.T) {
					testGossipRoundTrip(t, event, cells, attempts)
				})
			}
		}
	}
}

func testGossipRoundTrip(t *testing.T, event attemptEvent, cells, attempts int) {
	sent, received := make([]int, cells), make([]int, cells)
	var attemptCells []CellNumber
	for n := range attempts {
		cell := n * n % cells
		attemptCells = append(attemptCells, CellNumber(cell))
		sent[cell]++
	}
	var tenants, receivedTenants []TenantIndex
	if event == attemptsSent {
		tenants = []TenantIndex{1, 2}
	}
	for _, message := range gossipOf(event, attemptCells, 123*ms, 4, tenants, cells) {
		decoded, err := decodeGossip(message, cells)
		if err != nil || len(message) > maxGossipSize {
			t.Fatalf("%d bytes, %v", len(message), err)
		}
		if decoded.work != 123*ms || decoded.event != event {
			t.Fatalf("%+v", decoded)
		}
		isLate := decoded.lateness > 3.8 && decoded.lateness < 4.1
		if isLate != (event == attemptsLate) || (decoded.parallelism == 2) != (event == attemptsEnded) {
			t.Errorf("lateness %.1f, parallelism %.1f", decoded.lateness, decoded.parallelism)
		}
		for _, entry := range decoded.cells {
			received[entry.cell] += entry.attempts
		}
		receivedTenants = append(receivedTenants, decoded.tenants...)
	}
	if !slices.Equal(received, sent) || !slices.Equal(receivedTenants, tenants) {
		t.Errorf("received attempts or tenants differ from those sent; tenants received: %v", receivedTenants)
	}
}

// Co-ordinators of two releases exchange messages during a rollout, so the encoding must not change within a version.
func TestGossipBytes(t *testing.T) {
	attempts := []CellNumber{0, 2, 2, 2, 2}
	for _, test := range []struct {
		event   attemptEvent
		tenants []TenantIndex
		cells   int
		want    string
	}{
		{attemptsSent, []TenantIndex{4, 1}, 3, "[a80104ce02040131 a80104ce0010]"},
		{attemptsSent, []TenantIndex{4, 1}, 162, "[a80004ce0204010002020202]"},
		{attemptsEnded, nil, 3, "[a80304ce2031 a80304ce2010]"},
		{attemptsEnded, nil, 162, "[a80204ce200002020202]"},
		{attemptsLate, nil, 3, "[a80504ce2031 a80504ce2010]"},
		{attemptsLate, nil, 162, "[a80404ce200002020202]"},
	} {
		got := fmt.Sprintf("%x", gossipOf(test.event, attempts, 123*ms, 4, test.tenants, test.cells))
		if got != test.want {
			t.Errorf("event %d, %d cells: %s, want %s", test.event, test.cells, got, test.want)
		}
	}
}

// Covers the encoding of many sizes, and of values that do not fit into their bytes. The messages are compared by their
// digest, as there are many.
func TestGossipBytesOfManySizes(t *testing.T) {
	digest, messages := sha256.New(), 0
	for _, cells := range []int{1, 3, 162, 900, 5000} {
		for _, attempts := range []int{1, 7, 85, 200, 1000} {
			for event := range attemptEventCount {
				for _, work := range []time.Duration{0, time.Hour} {
					for _, value := range []float64{1, 3.3, 1000} {
						for _, message := range manyAttempts(event, cells, attempts, work, value) {
							messages++
							fmt.Fprintf(digest, "%x\n", message)
						}
					}
				}
			}
		}
	}
	const want = "13968 899f8210c6579bbecd32e942c5db33e709239e1aebb2492199697391f3572d00"
	if got := fmt.Sprintf("%d %x", messages, digest.Sum(nil)); got != want {
		t.Errorf("%s, want %s", got, want)
	}
}

// manyAttempts encodes attempts, every fifth of which is the first of a tenant's query. value is their lateness and the
// parallelism.
func manyAttempts(event attemptEvent, cells, attempts int, work time.Duration, value float64) [][]byte {
	tally := attemptTally{}
	for n := range attempts {
		tally.add(0, CellNumber(n*n%cells), work, value)
		if event == attemptsSent && n%5 == 0 {
			tally.tenants = append(tally.tenants, TenantIndex(n%256))
		}
	}
	return tally.flush(event, cells, value)
}

// A malformed message is rejected with an error that names the invalid field, and no part of it takes effect.
func TestMalformedGossipChangesNothing(t *testing.T) {
	valid := gossipOf(attemptsSent, []CellNumber{0, 1}, 100*ms, 1, []TenantIndex{0}, 3)[0]
	changed := func(index int, value byte) []byte {
		message := slices.Clone(valid)
		message[index] = value
		return message
	}
	for name, test := range map[string]struct {
		message []byte
		field   string
	}{
		"empty":                         {[]byte{}, "length"},
		"cut off after its header":      {valid[:gossipHeaderSize], "length"},
		"cut off after its tenants":     {valid[:gossipHeaderSize+1], "tenants"},
		"of version 1":                  {changed(0, 0xa7), "first byte"},
		"of an unknown event":           {changed(1, 7<<gossipEventShift), "event"},
		"with more tenants than it has": {changed(4, maxTenantsPerMessage), "tenants"},
		"with too many tenants":         {changed(4, maxTenantsPerMessage+1), "tenants"},
		"about an unknown cell":         {[]byte{gossipMagic, 0, 0, 1, 0, 3}, "cell"},
		"with an incomplete cell":       {[]byte{gossipMagic, 0, 0, 1, 0, 0x80}, "remaining bytes of the cell list"},
		"too long":                      {append(slices.Clone(valid), make([]byte, maxGossipSize)...), "length"},
		"with a lateness of 1": {
			[]byte{gossipMagic, byte(attemptsLate) << gossipEventShift, 0, 1, gossipLatenessUnit, 0}, "lateness"},
		"with a parallelism of 0": {
			[]byte{gossipMagic, byte(attemptsEnded) << gossipEventShift, 0, 1, 0, 0}, "parallelism"},
		"with a parallelism below 1": {
			[]byte{gossipMagic, byte(attemptsEnded) << gossipEventShift, 0, 1, 3, 0}, "parallelism"},
		"with a map too short": {[]byte{gossipMagic, gossipCellMap, 0, 1, 0}, "length"},
		"with a map too long":  {[]byte{gossipMagic, gossipCellMap, 0, 1, 0, 0, 0}, "length of the map"},
	} {
		m := newModel(t, 32)
		m.settings["bounds.peers"] = "true"
		m.restartAsOneOf(40, 0)
		allowance := m.scheduler.quotas.tokens[0]
		var fault *GossipError
		if err := m.scheduler.GossipReceived(m.now, 7, test.message); !errors.As(err, &fault) ||
			fault.Field != test.field {
			t.Errorf("a message %s: error %v, want a *GossipError for field %s", name, err, test.field)
		}
		for _, replica := range m.scheduler.replicas.all {
			if replica.peerBacklog(m.scheduler.now) != 0 || replica.slowdown != 1 {
				t.Errorf("a message %s changed the state of replica %d", name, replica.id)
			}
		}
		if m.scheduler.gossip.peersHeard(m.scheduler.now) || m.scheduler.quotas.tokens[0] != allowance {
			t.Errorf("a message %s counts as received or changed a quota", name)
		}
	}
}

// FuzzGossip checks that any bytes are either applied or rejected as a whole, and that estimates stay within bounds.
func FuzzGossip(f *testing.F) {
	f.Add([]byte{})
	f.Add(gossipOf(attemptsSent, []CellNumber{0, 1, 2}, time.Second, 1, []TenantIndex{0}, 3)[0])
	f.Add(gossipOf(attemptsEnded, make([]CellNumber, 90), time.Hour, 1, nil, 3)[0])
	f.Add(gossipOf(attemptsLate, []CellNumber{2}, time.Second, 9, nil, 3)[0])
	f.Add([]byte{gossipMagic, 0, 0xff, 0xff, 0, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add([]byte{gossipMagic, gossipCellMap, 0, 1, 16})
	f.Add([]byte{gossipMagic, 7 << gossipEventShift, 0, 1, 16, 0})
	f.Fuzz(func(t *testing.T, message []byte) {
		m := newModel(t, 32)
		m.settings["bounds.peers"] = "true"
		m.restartAsOneOf(40, 0)
		before := m.scheduler.gossip.lastReceivedAt
		err := m.scheduler.GossipReceived(m.now, 1, message)
		if (err == nil) != (m.scheduler.gossip.lastReceivedAt != before) {
			t.Errorf("error %v, but last received at %v", err, m.scheduler.gossip.lastReceivedAt)
		}
		maxBacklog := scale(m.scheduler.parameters.shortestObjective, m.scheduler.estimates.parallelism)
		for _, replica := range m.scheduler.replicas.all {
			backlog := replica.peerBacklog(m.scheduler.now)
			if backlog < 0 || backlog > maxBacklog || err != nil && backlog > 0 {
				t.Errorf("%v in flight, error %v", backlog, err)
			}
			if replica.slowdown < 0.9 || replica.slowdown > 32 {
				t.Errorf("slowdown %.1f, error %v", replica.slowdown, err)
			}
		}
	})
}
