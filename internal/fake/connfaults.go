package fake

import "time"

const (
	faultIntervalMinMS = 10 // between faults, and up to
	faultIntervalMS    = 60 // so much more
	streamLimitTime    = 60 * time.Millisecond
	stallTime          = 80 * time.Millisecond // for which credit is withheld or pings are ignored
	usualStreamLimit   = 100
	cutAfterMinBytes   = 30 // a connection that is cut is cut after so many bytes, and up to
	cutAfterBytes      = 20_000
)

// InjectConnectionFaults has replicas misbehave at random moments until stop is closed: connections are reset, cut
// at random points or closed; GOAWAY comes in two steps, in one, or with an abrupt end; stream limits fall in
// mid-burst, to zero even, and rise again; flow control stalls; pings have no answer.
func InjectConnectionFaults(replicas []*Replica, random *Random, stop <-chan struct{}) {
	for _, replica := range replicas {
		replica.cutSomeConnections(random)
	}
	for {
		pause := time.Duration(faultIntervalMinMS+random.IntN(faultIntervalMS)) * time.Millisecond
		select {
		case <-stop:
			for _, replica := range replicas {
				replica.endConnectionFaults()
			}
			return
		case <-time.After(pause):
		}
		replica := replicas[random.IntN(len(replicas))]
		replica.injectConnectionFault(random)
	}
}

// cutSomeConnections has one connection in three be cut within some calls, and calls wait in the queue.
func (replica *Replica) cutSomeConnections(random *Random) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	replica.CutAfter = func() int {
		if random.IntN(3) > 0 {
			return -1
		}
		return cutAfterMinBytes + random.IntN(cutAfterBytes)
	}
	replica.QueueTime = func() time.Duration { return time.Duration(random.IntN(3)) * time.Millisecond }
}

func (replica *Replica) endConnectionFaults() {
	replica.Mu.Lock()
	replica.CutAfter = nil
	replica.QueueTime = nil
	replica.Mu.Unlock()
	replica.SetStreamLimit(usualStreamLimit)
	replica.WithholdCredit(false)
	replica.IgnorePings(false)
}

func (replica *Replica) injectConnectionFault(random *Random) {
	switch random.IntN(9) { // one of the draws does nothing
	case 0:
		replica.CloseConnections(true)
	case 1:
		replica.CloseConnections(false)
	case 2:
		replica.GoAway(true, false)
	case 3:
		replica.GoAway(false, false)
	case 4:
		replica.GoAway(true, true)
	case 5:
		replica.SetStreamLimit([]int{0, 1, 3, usualStreamLimit}[random.IntN(4)])
		time.AfterFunc(streamLimitTime, func() { replica.SetStreamLimit(usualStreamLimit) })
	case 6:
		replica.WithholdCredit(true)
		time.AfterFunc(stallTime, func() { replica.WithholdCredit(false) })
	case 7:
		replica.IgnorePings(true)
		time.AfterFunc(stallTime, func() { replica.IgnorePings(false) })
	}
}
