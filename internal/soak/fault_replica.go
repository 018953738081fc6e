package soak

import (
	"math/rand/v2"
	"time"
)

// onReplica strikes a replica that is ready, and gives it back afterwards.
func onReplica(do func(soak *Soak, replica *replica, random *rand.Rand)) strike {
	return func(soak *Soak, random *rand.Rand) string {
		replica := soak.claimReplica(random)
		if replica == nil {
			return ""
		}
		defer replica.release()
		do(soak, replica, random)
		return replica.uid
	}
}

// claimReplica draws until it meets a replica that is ready and that no other fault has claimed; nil: it met none.
func (s *Soak) claimReplica(random *rand.Rand) *replica {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 * len(s.replicas) {
		replica := s.replicas[random.IntN(len(s.replicas))]
		if replica.claim() {
			return replica
		}
	}
	return nil
}

func hangReplica(_ *Soak, replica *replica, random *rand.Rand) {
	replica.setHanging(true)
	time.Sleep(between(random, 200*time.Millisecond, 2*time.Second))
	replica.setHanging(false)
}

func stopAccepting(_ *Soak, replica *replica, random *rand.Rand) {
	replica.resetAll()
	replica.setAccepting(false)
	time.Sleep(between(random, 200*time.Millisecond, 1500*time.Millisecond))
	replica.setAccepting(true)
}

func resetConnections(_ *Soak, replica *replica, random *rand.Rand) {
	for range 1 + random.IntN(4) {
		replica.resetAll()
		time.Sleep(between(random, 0, 100*time.Millisecond))
	}
}

// restartReplica has a replica's process die and come back cold; discovery tells the new start.
func restartReplica(soak *Soak, replica *replica, random *rand.Rand) {
	replica.stop()
	time.Sleep(between(random, 50*time.Millisecond, time.Second))
	if err := replica.restart(); err != nil {
		soak.violated(RuleHarness, "", "restart of %s: %v", replica.uid, err)
		return
	}
	soak.endpoints.publish(replica.endpoint())
}

// restartCell has most replicas of a cell restart together, under a burst: the cell's whole load meets cold replicas.
func restartCell(soak *Soak, random *rand.Rand) string {
	cell := random.IntN(cells)
	claimed := soak.claimMostOfCell(cell, random)
	defer func() {
		for _, replica := range claimed {
			replica.release()
		}
	}()
	for _, replica := range claimed {
		replica.stop()
	}
	time.Sleep(between(random, 50*time.Millisecond, 500*time.Millisecond))
	for _, replica := range claimed {
		if err := replica.restart(); err != nil {
			soak.violated(RuleHarness, "", "restart of %s: %v", replica.uid, err)
		}
		soak.endpoints.publish(replica.endpoint())
	}
	soak.burst.Store(true)
	time.Sleep(2 * overloadWindow)
	soak.burst.Store(false)
	return "cell"
}

// claimMostOfCell claims all replicas of a cell but one at the most, as far as its draws meet them.
func (s *Soak) claimMostOfCell(cell int, random *rand.Rand) (claimed []*replica) {
	for range 4 * replicasPerCell {
		replica := s.claimReplica(random)
		if replica == nil {
			continue
		}
		if replica.cell != cell || len(claimed) == replicasPerCell-1 {
			replica.release()
			continue
		}
		claimed = append(claimed, replica)
	}
	return claimed
}

// drainReplica has a replica drain and be removed; another joins cold under another name.
func drainReplica(soak *Soak, replica *replica, random *rand.Rand) {
	replica.publishState(stateDraining)
	time.Sleep(between(random, drainGrace, 2*drainGrace+500*time.Millisecond))
	replica.publishState(stateRemoved)
	soak.addReplica(replica.cell)
	time.Sleep(between(random, 0, time.Second)) // it still answers
	replica.stop()
}

// replaceReplica has a replica be removed without draining, after another has joined.
func replaceReplica(soak *Soak, replica *replica, random *rand.Rand) {
	soak.addReplica(replica.cell)
	time.Sleep(between(random, 0, 200*time.Millisecond))
	replica.publishState(stateRemoved)
	time.Sleep(between(random, 0, 2*time.Second))
	replica.stop()
}

// addReplica has a fresh replica join a cell.
func (s *Soak) addReplica(cell int) {
	replica, err := newReplica(s, s.nextReplicaName(), cell, s.now())
	if err != nil {
		s.violated(RuleHarness, "", "join: %v", err)
		return
	}
	s.mu.Lock()
	s.replicas = append(s.replicas, replica)
	s.mu.Unlock()
	s.endpoints.publish(replica.endpoint())
}

// nextReplicaName is a name that no replica has had. A replica draws its chance by its name, so that other names would
// change a seed's plan.
func (s *Soak) nextReplicaName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "s-" + string(rune('a'+s.replicasJoined%26)) + time.Duration(s.replicasJoined).String()
	s.replicasJoined++
	return name
}
