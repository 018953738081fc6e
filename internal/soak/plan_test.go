package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"testing"
	"time"
)

// planHash is of all that the seeds below draw. Failures are named by their seeds: a draw more, or in another order, and
// a seed that is kept with a failure plays something else.
const planHash = "f9fe3db3cfac7091"

func TestSeedsDrawTheSamePlan(t *testing.T) {
	hash := fnv.New64a()
	for seed := uint64(1); seed <= 20; seed++ {
		soak := &Soak{seed: seed, ledger: newLedger()}
		fmt.Fprintln(hash, settingsJSON(seed))
		writeRequests(hash, soak)
		writeReplicaDraws(hash, soak)
		writeFaults(hash, soak)
		for tenths := range 250 {
			allowance := warmUpAllowance(time.Duration(tenths) * 100 * time.Millisecond)
			fmt.Fprintln(hash, allowance, warmUpLimit(allowance))
		}
	}
	if found := fmt.Sprintf("%x", hash.Sum64()); found != planHash {
		t.Errorf("the plan's hash is %s, want %s", found, planHash)
	}
}

func writeRequests(out io.Writer, soak *Soak) {
	client := &client{
		soak:   soak,
		name:   fmt.Sprintf("c%d-%d", soak.seed, 3),
		random: soak.randomFor(fmt.Sprint("client", 3)),
	}
	conn := &clientConn{}
	for range 200 {
		fmt.Fprintln(out, client.newRequest(conn).wireText())
	}
}

func writeReplicaDraws(out io.Writer, soak *Soak) {
	replica := &replica{soak: soak, random: soak.randomFor("s-4")}
	for range 200 {
		fate := replica.drawConnFaults()
		fmt.Fprintln(out, fate.resetAfter, fate.slowReplies, replica.draw(100), replica.draw(int(meanWork)))
	}
}

func writeFaults(out io.Writer, soak *Soak) {
	for n := range coordinatorCount {
		soak.coordinators = append(soak.coordinators, &coordinator{name: fmt.Sprint(coordinatorPrefix, n)})
	}
	random := soak.randomFor(fmt.Sprint("trouble", 2))
	for range 200 {
		fmt.Fprintln(out, drawFault(random).kind)
		coordinator := soak.drawCoordinator(random)
		fmt.Fprintln(out, coordinator.name, drawDuration(random, 5, 10000), drawWallStep(random))
	}
}
