package soak

import (
	"math/rand/v2"
	"time"
)

// replicaFault returns an injector that claims a ready replica for the time of the fault.
func replicaFault(inject func(soak *Soak, replica *replica, random *rand.Rand)) injector {
	return func(soak *Soak, random *rand.Rand) string {
		replica := soak.claimReplica(random)
		if replica == nil {
			return ""
		}
		defer replica.release()
		inject(soak, replica, random)
		return replica.uid
	}
}

// claimReplica draws replicas until one is ready and not claimed by another fault. It claims and returns that one, or
// returns nil after a limited number of draws.
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
	time.Sleep(drawDuration(random, 200*time.Millisecond, 2*time.Second))
	replica.setHanging(false)
}

func stopAccepting(_ *Soak, replica *replica, random *rand.Rand) {
	replica.resetAll()
	replica.setAccepting(false)
	time.Sleep(drawDuration(random, 200*time.Millisecond, 1500*time.Millisecond))
	replica.setAccepting(true)
}

func resetConnections(_ *Soak, replica *replica, random *rand.Rand) {
	for range 1 + random.IntN(4) {
		replica.resetAll()
		time.Sleep(drawDuration(random, 0, 100*time.Millisecond))
	}
}

// restartReplica stops a replica's process, restarts it cold and publishes the new start to discovery.
func restartReplica(soak *Soak, replica *replica, random *rand.Rand) {
	replica.stop()
	time.Sleep(drawDuration(random, 50*time.Millisecond, time.Second))
	if err := replica.restart(); err != nil {
		soak.violated(RuleHarness, "", "restart of %s: %v", replica.uid, err)
		return
	}
	soak.endpoints.publish(replica.endpoint())
}

// restartCell restarts most replicas of a cell together, followed by a burst: the full load of the cell hits cold
// replicas.
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
	time.Sleep(drawDuration(random, 50*time.Millisecond, 500*time.Millisecond))
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

// claimMostOfCell claims up to all but one of a cell's replicas. It may claim fewer, since it draws a limited number of
// times.
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

// drainReplica drains and removes a replica; a new, cold one with a new name joins.
func drainReplica(soak *Soak, replica *replica, random *rand.Rand) {
	replica.publishState(stateDraining)
	time.Sleep(drawDuration(random, drainGrace, 2*drainGrace+500*time.Millisecond))
	replica.publishState(stateRemoved)
	soak.addReplica(replica.cell)
	time.Sleep(drawDuration(random, 0, time.Second)) // it still replies
	replica.stop()
}

// replaceReplica removes a replica without draining it, after a new one has joined.
func replaceReplica(soak *Soak, replica *replica, random *rand.Rand) {
	soak.addReplica(replica.cell)
	time.Sleep(drawDuration(random, 0, 200*time.Millisecond))
	replica.publishState(stateRemoved)
	time.Sleep(drawDuration(random, 0, 2*time.Second))
	replica.stop()
}

// addReplica adds a new replica to a cell.
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

// nextReplicaName returns a name that no replica has had. A replica's random source depends on its name, so other names
// would change a seed's plan.
func (s *Soak) nextReplicaName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := "s-" + string(rune('a'+s.replicaCount%26)) + time.Duration(s.replicaCount).String()
	s.replicaCount++
	return name
}
