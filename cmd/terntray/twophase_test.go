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

// two-phase query makes a request for the best of some shards.
func twoPhaseQuery(id string, within float64, best int, shards ...int) string {
	var segments []string
	for _, replica := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f,"work":20000}`, replica, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"score>=0","question":{"best":%d}}`, strings.Join(segments, ","), best)
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		id, within, len(body), body)
}

// newDataReplicas starts replicas of the given moods: for summaries, then for answers, each by replica.
func newDataReplicas(t *testing.T, data *fake.Shards, mood func(replica *fake.Replica, call fake.Call, summary bool) fake.SummaryFault) (a, b *fake.Replica) {
	act := data.Behavior(mood, func(bool, int) time.Duration { return 2 * time.Millisecond })
	return newReplica(t, "s-a", 0, act), newReplica(t, "s-b", 0, act)
}

func noFault(*fake.Replica, fake.Call, bool) fake.SummaryFault { return fake.NoFault }

// expectBest checks that an answer is the one that all blocks would have given.
func (client *clientConn) expectBest(data *fake.Shards, best int, shards ...int) {
	client.t.Helper()
	a := client.receive()
	if want := data.ExpectedResponse(shards, 0, &best); a.status != http.StatusOK || strings.TrimSpace(a.body) != want {
		client.t.Errorf("answer %d %s, want %s", a.status, a.body, want)
	}
}

// Blocks that are silent in the first phase and answer in the second, that differ, lie or die: the answer is whole and
// right, or there is none.
func TestTwoPhaseAnswerIsCompleteDespiteFaultySummaries(t *testing.T) {
	for name, mood := range map[string]fake.SummaryFault{"honest": fake.NoFault, "silent": fake.NoSummary, "malformed": fake.MalformedSummary,
		"loose": fake.LooseBounds, "stale": fake.StaleVersion, "dying behind its summary": fake.ResetAfterSummary, "late": fake.LateSummary} {
		data := fake.NewShards(3, 24, 6, 0.4)
		a, b := newDataReplicas(t, data, func(replica *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
			if summary && call.Shard%3 == 0 {
				return mood
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

// A replica whose answer is above its own bound is found out: the two-phase query is refused, and its summaries are
// not used again.
func TestFalseSummaryRejectsTheQueryAndDistrustsTheReplica(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	lying := 0
	for len(data.Records[lying]) == 0 {
		lying++
	}
	a, b := newDataReplicas(t, data, func(_ *fake.Replica, call fake.Call, summary bool) fake.SummaryFault {
		if summary && call.Shard == lying {
			return fake.FalseBounds
		}
		return fake.NoFault
	})
	program, _ := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	refused := 0
	for n := range 6 {
		client := program.connect()
		client.send(twoPhaseQuery(fmt.Sprint("q", n), 20, 200, 0, 1, 2, 3, 4)) // more than match: nothing is left out
		switch got := client.receive(); got.status {
		case http.StatusServiceUnavailable:
			refused++
		case http.StatusOK:
			best := 200
			if want := data.ExpectedResponse([]int{0, 1, 2, 3, 4}, 0, &best); strings.TrimSpace(got.body) != want {
				t.Errorf("%s, want %s", got.body, want)
			}
		default:
			t.Errorf("answered %d", got.status)
		}
	}
	if refused < 1 || refused > 2 || !strings.Contains(program.get("/beliefs"), "spoilt=") {
		t.Errorf("%d of 6 refused (two replicas): %s", refused, program.get("/beliefs"))
	}
}

// Nothing wanted, nothing that matches, more wanted than matches: whole answers, empty where they are.
func TestTwoPhaseEdgeCases(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 0) // nothing of score 0 or more anywhere
	a, b := newDataReplicas(t, data, noFault)
	program, _ := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	client := program.connect()
	for n, best := range []int{0, 1, 50} {
		client.send(twoPhaseQuery(fmt.Sprint("q", n), 20, best, 0, 1, 2, 3, 4, 5))
		client.expectBest(data, best, 0, 1, 2, 3, 4, 5)
	}
	if data.AnswerCalls != 0 {
		t.Errorf("%d shards were fetched from although none can matter", data.AnswerCalls)
	}
	for _, bad := range []string{`-1`, `"x"`, `20000`, `1.5`} {
		client := program.connect()
		client.send(strings.Replace(twoPhaseQuery("bad", 20, 7777, 0, 1, 2, 3, 4, 5), "7777", fmt.Sprintf("%4s", bad), 1))
		if got := client.receive(); got.status != http.StatusBadRequest {
			t.Errorf("best of %s: %d", bad, got.status)
		}
	}
}

// Off, a two-phase query is passed over as ever: its text goes unchanged.
func TestTwoPhaseIsOffByDefault(t *testing.T) {
	replica := newReplica(t, "s-a", 0, succeed)
	program, _ := startDeployment(t, settings, replica)
	client := program.connect()
	client.send(twoPhaseQuery("q1", 10, 3, 5))
	client.expect(map[int]string{5: value(replica, 5)})
	if got := replica.Received(); len(got) != 1 || got[0].Text != "score>=0" {
		t.Errorf("%+v", got)
	}
}

// A first phase that takes nearly all of the time: the second is not begun, and the refusal comes at once.
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
	for n := range 12 { // the second phase takes 150 ms, as is learned
		client.send(twoPhaseQuery(fmt.Sprint("w", n), 5, 2, 0, 1, 2, 3, 4))
		client.receive()
	}
	slow = fake.NoSummary
	began := time.Now()
	client.send(twoPhaseQuery("late", 0.2, 2, 0, 1, 2, 3, 4)) // no time for both
	got := client.receive()
	if took := time.Since(began); got.status == http.StatusOK || took > 260*time.Millisecond {
		t.Errorf("answered %d after %v", got.status, took)
	}
}

// A client that leaves in the gap, and a co-ordinator that is told to drain, reload and end between the phases:
// what is open is answered whole, nothing goes on for who has left.
func TestFaultsBetweenThePhases(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	act := data.Behavior(noFault, func(summary bool, _ int) time.Duration {
		if summary {
			return 300 * time.Millisecond
		}
		return time.Millisecond
	})
	a, b := newReplica(t, "s-a", 0, act), newReplica(t, "s-b", 0, act)
	program, r := startDeploymentWith(t, manySubqueries, twoPhaseConfig, 1024, a, b)
	stays, leaves := program.connect(), program.connect()
	stays.send(twoPhaseQuery("q1", 20, 3, 0, 1, 2, 3, 4))
	leaves.send(twoPhaseQuery("q2", 20, 3, 0, 1, 2, 3, 4))
	waitFor(t, "summaries are asked", func() bool { return a.HasReceived("q1.") || b.HasReceived("q1.") })
	waitFor(t, "both are", func() bool { return a.HasReceived("q2.") || b.HasReceived("q2.") })
	leaves.Conn.Close()
	r.SetState(a, "draining")
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
				t.Errorf("%s went for a client that has left", call.ID)
			}
		}
	}
}
