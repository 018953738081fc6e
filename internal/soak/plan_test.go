package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"testing"
	"time"
)

// planHash is the hash of everything that the seeds in TestSeedsDrawTheSamePlan draw. A failure is recorded by its
// seed: an additional draw or another order of draws would change the plan of every recorded seed, so that it no longer
// reproduces the failure.
const planHash = "f9fe3db3cfac7091"

func TestSeedsDrawTheSamePlan(t *testing.T) {
	hash := fnv.New64a()
	for seed := uint64(1); seed <= 20; seed++ {
		soak := &Soak{seed: seed, ledger: newLedger(), setting: newSetting(ScenarioFaults, seed)}
		fmt.Fprintln(hash, settingsJSON(seed, classes))
		writeRequests(hash, soak)
		writeReplicaDraws(hash, soak)
		writeFaults(hash, soak)
		for tenths := range 250 {
			allowance := warmUpAllowance(time.Duration(tenths) * 100 * time.Millisecond)
			fmt.Fprintln(hash, allowance, warmUpLimit(allowance))
		}
	}
	if got := fmt.Sprintf("%x", hash.Sum64()); got != planHash {
		t.Errorf("hash of the seeds' plans = %s, want %s", got, planHash)
	}
}

func writeRequests(w io.Writer, soak *Soak) {
	client := &client{
		soak:   soak,
		name:   fmt.Sprintf("c%d-%d", soak.seed, 3),
		random: soak.randomFor(fmt.Sprint("client", 3)),
	}
	conn := &clientConn{}
	for range 200 {
		fmt.Fprintln(w, client.newRequest(conn).wireText())
	}
}

func writeReplicaDraws(w io.Writer, soak *Soak) {
	replica := &replica{soak: soak, random: soak.randomFor("s-4")}
	for range 200 {
		faults := replica.drawConnFaults()
		fmt.Fprintln(w, faults.resetAfter, faults.slowReplies, replica.draw(100), replica.draw(int(meanWork)))
	}
}

func writeFaults(w io.Writer, soak *Soak) {
	for n := range coordinatorCount {
		soak.coordinators = append(soak.coordinators, &coordinator{name: fmt.Sprint(coordinatorPrefix, n)})
	}
	random := soak.randomFor(fmt.Sprint("trouble", 2))
	for range 200 {
		fmt.Fprintln(w, drawFault(random).kind)
		coordinator := soak.drawCoordinator(random)
		fmt.Fprintln(w, coordinator.name, drawDuration(random, 5, 10000), drawWallClockOffset(random))
	}
}
