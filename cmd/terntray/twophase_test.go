package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
)

const twoPhaseConfig = `{"phases":{"tracks":["look"]}}`

// twoPhaseQuery returns a request for the best records of some shards.
func twoPhaseQuery(id string, deadline float64, best int, shards ...int) string {
	var segments []string
	for _, shard := range shards {
		segments = append(segments,
			fmt.Sprintf(`{"segment":%d,"boost":%.6f,"work":20000}`, shard, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"score>=0","question":{"best":%d}}`, strings.Join(segments, ","), best)
	return fmt.Sprintf(
		"POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		id, deadline, len(body), body)
}

// newDataReplicas starts two replicas that serve the data with the faults that faultOf returns.
func newDataReplicas(
	t *testing.T, data *fake.Shards,
	faultOf func(replica *fake.Replica, call fake.Call, summary bool) fake.SummaryFault,
) (a, b *fake.Replica) {
	act := data.Behavior(faultOf, func(bool, int) time.Duration { return 2 * time.Millisecond })
	return newReplica(t, "s-a", 0, act), newReplica(t, "s-b", 0, act)
}

func noFault(*fake.Replica, fake.Call, bool) fake.SummaryFault { return fake.NoFault }

// expectBest checks that the next response is the one that fetching from all shards would give.
func (client *clientConn) expectBest(data *fake.Shards, best int, shards ...int) {
	client.t.Helper()
	a := client.receive()
	if want := data.ExpectedResponse(shards, 0, &best); a.status != http.StatusOK || strings.TrimSpace(a.body) != want {
		client.t.Errorf("status %d %s, want %s", a.status, a.body, want)
	}
}

// Summaries are missing, malformed, loose, stale or late, or the replica resets the connection after sending one. The
// response is complete and correct.
func TestTwoPhaseAnswerIsCompleteDespiteFaultySummaries(t *testing.T) {
	for name, fault := range map[string]fake.SummaryFault{
		"no fault": fake.NoFault, "no summary": fake.NoSummary, "malformed": fake.MalformedSummary,
		"loose": fake.LooseBounds, "stale": fake.StaleVersion, "reset after the summary": fake.ResetAfterSummary,
		"late": fake.LateSummary,
	} {
		data := fake.NewShards(3, 24, 6, 0.4)
		a, b := newDataReplicas(t, data, func(replica *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
			if summary && call.Shard%3 == 0 {
				return fault
			}
			return fake.NoFault
		})
		program, _ := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
		for n := range 3 {
			client := program.connect()
			client.send(twoPhaseQuery(fmt.Sprint("q", n), 20, 3, 0, 1, 2, 3, 4, 5, 6, 7, 8))
			client.expectBest(data, 3, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		}
		if counters := program.counters(); counters["questions"] != 3 || counters["two_phases"] < 1 {
			t.Errorf("%s: counters %v", name, counters)
		}
	}
}

// A replica whose answer exceeds the bound in its own summary is detected: the two-phase query is refused, and that
// replica's summaries are not used again.
func TestFalseSummaryRejectsTheQueryAndDistrustsTheReplica(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	falseShard := 0
	for len(data.Records[falseShard]) == 0 {
		falseShard++
	}
	a, b := newDataReplicas(t, data, func(_ *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
		if summary && call.Shard == falseShard {
			return fake.FalseBounds
		}
		return fake.NoFault
	})
	program, _ := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	refused := 0
	for n := range 6 {
		client := program.connect()
		client.send(twoPhaseQuery(fmt.Sprint("q", n), 20, 200, 0, 1, 2, 3, 4)) // more than match, so no shard is pruned
		switch got := client.receive(); got.status {
		case http.StatusServiceUnavailable:
			refused++
		case http.StatusOK:
			best := 200
			if want := data.ExpectedResponse([]int{0, 1, 2, 3, 4}, 0, &best); strings.TrimSpace(got.body) != want {
				t.Errorf("%s, want %s", got.body, want)
			}
		default:
			t.Errorf("status %d", got.status)
		}
	}
	if refused < 1 || refused > 2 || !strings.Contains(program.get("/beliefs"), "spoilt=") {
		t.Errorf("%d of 6 queries refused, want 1 or 2, one per replica: %s", refused, program.get("/beliefs"))
	}
}

// A limit of 0, no matching records, and a limit above the number of matches all give complete responses.
func TestTwoPhaseEdgeCases(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 0) // no record has a score of 0 or more
	a, b := newDataReplicas(t, data, noFault)
	program, _ := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	client := program.connect()
	for n, best := range []int{0, 1, 50} {
		client.send(twoPhaseQuery(fmt.Sprint("q", n), 20, best, 0, 1, 2, 3, 4, 5))
		client.expectBest(data, best, 0, 1, 2, 3, 4, 5)
	}
	if data.AnswerCalls != 0 {
		t.Errorf("%d shards were fetched from although none can contribute", data.AnswerCalls)
	}
	for _, bad := range []string{`-1`, `"x"`, `20000`, `1.5`} {
		client := program.connect()
		client.send(strings.Replace(twoPhaseQuery("bad", 20, 7777, 0, 1, 2, 3, 4, 5), "7777",
			fmt.Sprintf("%4s", bad), 1))
		if got := client.receive(); got.status != http.StatusBadRequest {
			t.Errorf("best=%s: status %d", bad, got.status)
		}
	}
}

// Without configuration, a two-phase query is handled like any other: its text is forwarded unchanged.
func TestTwoPhaseIsOffByDefault(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(twoPhaseQuery("q1", 10, 3, 5))
	client.expect(map[int]string{5: value(replica, 5)})
	if got := replica.Received(); len(got) != 1 || got[0].Text != "score>=0" {
		t.Errorf("the replica received %+v", got)
	}
}

// If the summary phase takes nearly all of the time, the fetch phase is not started and the query is refused at once.
func TestFetchPhaseIsNotStartedTooLate(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	slow := fake.NoFault
	act := data.Behavior(noFault, func(summary bool, _ int) time.Duration {
		if !summary || slow == fake.NoFault {
			return 150 * time.Millisecond
		}
		return time.Hour // no summary
	})
	a, b := newReplica(t, "s-a", 0, act), newReplica(t, "s-b", 0, act)
	short := strings.Replace(manySubqueries, `"aim":2000000`, `"aim":1000000`, 1)
	program, _ := startDeploymentWith(t, short, twoPhaseConfig, 1024, a, b)
	client := program.connect()
	for n := range 12 { // learn that the fetch phase takes 150 ms
		client.send(twoPhaseQuery(fmt.Sprint("w", n), 5, 2, 0, 1, 2, 3, 4))
		client.receive()
	}
	slow = fake.NoSummary
	began := time.Now()
	client.send(twoPhaseQuery("late", 0.2, 2, 0, 1, 2, 3, 4)) // too little time for both phases
	got := client.receive()
	if took := time.Since(began); got.status == http.StatusOK || took > 260*time.Millisecond {
		t.Errorf("status %d after %v", got.status, took)
	}
}

// Between the phases a client disconnects, a replica drains, and the co-ordinator gets SIGHUP and SIGTERM. The open
// query is answered completely, and nothing is fetched for the client that disconnected.
func TestFaultsBetweenThePhases(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	act := data.Behavior(noFault, func(summary bool, _ int) time.Duration {
		if summary {
			return 300 * time.Millisecond
		}
		return time.Millisecond
	})
	a, b := newReplica(t, "s-a", 0, act), newReplica(t, "s-b", 0, act)
	program, discovery := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	stays, leaves := program.connect(), program.connect()
	stays.send(twoPhaseQuery("q1", 20, 3, 0, 1, 2, 3, 4))
	leaves.send(twoPhaseQuery("q2", 20, 3, 0, 1, 2, 3, 4))
	waitFor(t, "summaries of the first query are requested", func() bool {
		return a.HasReceived("q1.") || b.HasReceived("q1.")
	})
	waitFor(t, "summaries of the second query are requested", func() bool {
		return a.HasReceived("q2.") || b.HasReceived("q2.")
	})
	leaves.Conn.Close()
	discovery.SetState(a, "draining")
	program.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(20 * time.Millisecond)
	program.cmd.Process.Signal(syscall.SIGTERM)
	stays.expectBest(data, 3, 0, 1, 2, 3, 4)
	program.expectExit(t)
	for _, replica := range []*fake.Replica{a, b} {
		for _, call := range replica.Received() {
			var asked struct{ Ask string }
			line, _, _ := strings.Cut(call.Text, "\n")
			json.Unmarshal([]byte(line), &asked)
			if strings.HasPrefix(call.ID, "q2.") && asked.Ask == "answer" {
				t.Errorf("%s was sent for a client that disconnected", call.ID)
			}
		}
	}
}
