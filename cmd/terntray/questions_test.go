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

const phasesOn = `{"phases":{"tracks":["look"]}}`

// question makes a request for the best of some shards.
func question(id string, within float64, best int, shards ...int) string {
	var segments []string
	for _, s := range shards {
		segments = append(segments, fmt.Sprintf(`{"segment":%d,"boost":%.6f,"work":20000}`, s, 1/float64(len(shards))))
	}
	body := fmt.Sprintf(`{"segments":[%s],"text":"score>=0","question":{"best":%d}}`, strings.Join(segments, ","), best)
	return fmt.Sprintf("POST /look HTTP/1.1\r\nHost: b\r\nReq-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n%s",
		id, within, len(body), body)
}

// boxesWithData starts boxes of the given moods: for summaries, then for answers, each by replica.
func boxesWithData(t *testing.T, data *fake.Shards, mood func(s *fake.Replica, c fake.Call, summary bool) fake.SummaryFault) (a, b *fake.Replica) {
	act := data.Behavior(mood, func(bool, int) time.Duration { return 2 * time.Millisecond })
	return newStandin(t, "s-a", 0, act), newStandin(t, "s-b", 0, act)
}

func honest(*fake.Replica, fake.Call, bool) fake.SummaryFault { return fake.NoFault }

// whole checks that an answer is the one that all blocks would have given.
func (c *client) whole(data *fake.Shards, best int, shards ...int) {
	c.t.Helper()
	a := c.receive()
	if want := data.ExpectedResponse(shards, 0, &best); a.status != http.StatusOK || strings.TrimSpace(a.body) != want {
		c.t.Errorf("answer %d %s, want %s", a.status, a.body, want)
	}
}

// Blocks that are silent in the first phase and answer in the second, that differ, lie or die: the answer is whole and
// right, or there is none.
func TestQuestionsWhateverSummariesAre(t *testing.T) {
	for name, mood := range map[string]fake.SummaryFault{"honest": fake.NoFault, "silent": fake.NoSummary, "malformed": fake.MalformedSummary,
		"loose": fake.LooseBounds, "stale": fake.StaleVersion, "dying behind its summary": fake.ResetAfterSummary, "late": fake.LateSummary} {
		data := fake.NewShards(3, 24, 6, 0.4)
		a, b := boxesWithData(t, data, func(s *fake.Replica, c fake.Call, summary bool) fake.SummaryFault {
			if summary && c.Shard%3 == 0 {
				return mood
			}
			return fake.NoFault
		})
		p, _ := installed(t, wide, phasesOn, 1024, a, b)
		for n := range 3 {
			c := p.connect()
			c.send(question(fmt.Sprint("q", n), 20, 3, 0, 1, 2, 3, 4, 5, 6, 7, 8))
			c.whole(data, 3, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		}
		if n := p.counters(); n["questions"] != 3 || n["two_phases"] < 1 {
			t.Errorf("%s: counters %v", name, n)
		}
	}
}

// A box whose answer is above its own bound is found out: the question is refused, and its summaries are not used again.
func TestFalseSummariesSpoilTheQuestionAndTheBox(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	lying := 0
	for len(data.Records[lying]) == 0 {
		lying++
	}
	a, b := boxesWithData(t, data, func(_ *fake.Replica, c fake.Call, summary bool) fake.SummaryFault {
		if summary && c.Shard == lying {
			return fake.FalseBounds
		}
		return fake.NoFault
	})
	p, _ := installed(t, wide, phasesOn, 1024, a, b)
	refused := 0
	for n := range 6 {
		c := p.connect()
		c.send(question(fmt.Sprint("q", n), 20, 200, 0, 1, 2, 3, 4)) // more than match: nothing is left out
		switch got := c.receive(); got.status {
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
	if refused < 1 || refused > 2 || !strings.Contains(p.get("/beliefs"), "spoilt=") {
		t.Errorf("%d of 6 refused (two boxes): %s", refused, p.get("/beliefs"))
	}
}

// Nothing wanted, nothing that matches, more wanted than matches: whole answers, empty where they are.
func TestQuestionsAtTheEdges(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 0) // nothing of score 0 or more anywhere
	a, b := boxesWithData(t, data, honest)
	p, _ := installed(t, wide, phasesOn, 1024, a, b)
	c := p.connect()
	for n, best := range []int{0, 1, 50} {
		c.send(question(fmt.Sprint("q", n), 20, best, 0, 1, 2, 3, 4, 5))
		c.whole(data, best, 0, 1, 2, 3, 4, 5)
	}
	if data.Calls[1] != 0 {
		t.Errorf("%d blocks were asked although none can matter", data.Calls[1])
	}
	for _, bad := range []string{`-1`, `"x"`, `20000`, `1.5`} {
		c := p.connect()
		c.send(strings.Replace(question("bad", 20, 7777, 0, 1, 2, 3, 4, 5), "7777", fmt.Sprintf("%4s", bad), 1))
		if got := c.receive(); got.status != http.StatusBadRequest {
			t.Errorf("best of %s: %d", bad, got.status)
		}
	}
}

// Off, a question is passed over as ever: its text goes unchanged.
func TestQuestionsAreOffWithoutTheFile(t *testing.T) {
	a := newStandin(t, "s-a", 0, fulfil)
	p, _ := deployed(t, settings, a)
	c := p.connect()
	c.send(question("q1", 10, 3, 5))
	c.expect(map[int]string{5: value(a, 5)})
	if got := a.Received(); len(got) != 1 || got[0].Text != "score>=0" {
		t.Errorf("%+v", got)
	}
}

// A first phase that takes nearly all of the time: the second is not begun, and the refusal comes at once.
func TestSecondPhaseIsNotBegunTooLate(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	slow := fake.NoFault
	act := data.Behavior(honest, func(summary bool, _ int) time.Duration {
		if !summary || slow == fake.NoFault {
			return 150 * time.Millisecond
		}
		return time.Hour // no summary
	})
	a, b := newStandin(t, "s-a", 0, act), newStandin(t, "s-b", 0, act)
	short := strings.Replace(wide, `"aim":2000000`, `"aim":1000000`, 1)
	p, _ := installed(t, short, phasesOn, 1024, a, b)
	c := p.connect()
	for n := range 12 { // the second phase takes 150 ms, as is learned
		c.send(question(fmt.Sprint("w", n), 5, 2, 0, 1, 2, 3, 4))
		c.receive()
	}
	slow = fake.NoSummary
	began := time.Now()
	c.send(question("late", 0.2, 2, 0, 1, 2, 3, 4)) // no time for both
	got := c.receive()
	if took := time.Since(began); got.status == http.StatusOK || took > 260*time.Millisecond {
		t.Errorf("answered %d after %v", got.status, took)
	}
}

// A client that leaves in the gap, and a co-ordinator that is told to drain, reload and end between the phases: what is open
// is answered whole, nothing goes on for who has left.
func TestBetweenThePhases(t *testing.T) {
	data := fake.NewShards(3, 24, 6, 1)
	act := data.Behavior(honest, func(summary bool, _ int) time.Duration {
		if summary {
			return 300 * time.Millisecond
		}
		return time.Millisecond
	})
	a, b := newStandin(t, "s-a", 0, act), newStandin(t, "s-b", 0, act)
	p, r := installed(t, wide, phasesOn, 1024, a, b)
	stays, leaves := p.connect(), p.connect()
	stays.send(question("q1", 20, 3, 0, 1, 2, 3, 4))
	leaves.send(question("q2", 20, 3, 0, 1, 2, 3, 4))
	until(t, "summaries are asked", func() bool { return a.HasReceived("q1.") || b.HasReceived("q1.") })
	until(t, "both are", func() bool { return a.HasReceived("q2.") || b.HasReceived("q2.") })
	leaves.Conn.Close()
	r.SetState(a, "draining")
	p.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(20 * time.Millisecond)
	p.cmd.Process.Signal(syscall.SIGTERM)
	stays.whole(data, 3, 0, 1, 2, 3, 4)
	p.ends(t)
	for _, s := range []*fake.Replica{a, b} {
		for _, call := range s.Received() {
			var asked struct{ Ask string }
			line, _, _ := strings.Cut(call.Text, "\n")
			json.Unmarshal([]byte(line), &asked)
			if strings.HasPrefix(call.ID, "q2.") && asked.Ask == "answer" {
				t.Errorf("%s went for a client that has left", call.ID)
			}
		}
	}
}
