package fake

import "time"

const (
	faultIntervalMinMS    = 10                    // shortest time between faults
	faultIntervalSpreadMS = 60                    // range of the random time added to it
	streamLimitDuration   = 60 * time.Millisecond // how long a changed stream limit stays in force
	stallDuration         = 80 * time.Millisecond // how long credit is withheld or pings are ignored
	normalStreamLimit     = 100
	cutAfterMinBytes      = 30     // fewest bytes after which a connection is reset
	cutAfterSpreadBytes   = 20_000 // range of the random number of bytes added to it
)

// InjectConnectionFaults injects random connection faults on the replicas until stop is closed: connections are
// reset, cut after a random number of bytes, or closed; GOAWAY is sent in two steps, in one, or with an abrupt close;
// the stream limit drops while streams are open, possibly to zero, and is raised again; flow control stalls; pings stay
// unanswered.
func InjectConnectionFaults(replicas []*Replica, random *Random, stop <-chan struct{}) {
	for _, replica := range replicas {
		replica.cutSomeConnections(random)
	}
	for {
		pause := time.Duration(faultIntervalMinMS+random.IntN(faultIntervalSpreadMS)) * time.Millisecond
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

// cutSomeConnections makes one new connection in three be reset after a random number of bytes, and HTTP/2 calls wait
// in the queue for a random time.
func (replica *Replica) cutSomeConnections(random *Random) {
	replica.Mu.Lock()
	defer replica.Mu.Unlock()
	replica.CutAfter = func() int {
		if random.IntN(3) > 0 {
			return -1
		}
		return cutAfterMinBytes + random.IntN(cutAfterSpreadBytes)
	}
	replica.QueueTime = func() time.Duration { return time.Duration(random.IntN(3)) * time.Millisecond }
}

func (replica *Replica) endConnectionFaults() {
	replica.Mu.Lock()
	replica.CutAfter = nil
	replica.QueueTime = nil
	replica.Mu.Unlock()
	replica.SetStreamLimit(normalStreamLimit)
	replica.WithholdCredit(false)
	replica.IgnorePings(false)
}

func (replica *Replica) injectConnectionFault(random *Random) {
	switch random.IntN(9) { // 8: no fault
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
		replica.SetStreamLimit([]int{0, 1, 3, normalStreamLimit}[random.IntN(4)])
		time.AfterFunc(streamLimitDuration, func() { replica.SetStreamLimit(normalStreamLimit) })
	case 6:
		replica.WithholdCredit(true)
		time.AfterFunc(stallDuration, func() { replica.WithholdCredit(false) })
	case 7:
		replica.IgnorePings(true)
		time.AfterFunc(stallDuration, func() { replica.IgnorePings(false) })
	}
}
