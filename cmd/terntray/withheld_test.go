package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"terntray/internal/fake"
	"terntray/internal/valuetrial"
)

// Guards against values that wait for the end of the confirmation time where a ping can confirm them at once: HTTP/2 replies
// without a content-length, from the start of a process on.
func TestHTTP2ValuesOfManySizesAreNotDelayed(t *testing.T) {
	const (
		queries = 41
		rate    = 20                    // per second
		limit   = 20 * time.Millisecond // the wait of any reply before replies were judged, as for frames
	)
	result, err := valuetrial.Run(valuetrial.Options{
		Path: os.Args[0], Env: []string{mainVariable + "=1"},
		Class: valuetrial.Safe, HTTP2: true, Sizes: 3000, Queries: queries, Rate: rate, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if median := result.Percentile(0.5); median >= limit || len(result.Latencies) != queries {
		t.Errorf("median %v of %d queries, want under %v of %d", median, len(result.Latencies), limit, queries)
	}
}

// Guards against decisions that do not know of a reply because it is withheld until its length is confirmed: the subquery is
// sent again although a replica has answered it, and sound replicas are ejected as silent. It shows with values of more
// than one size, from the start of a process on, where the latency objective is short.
func TestWithheldRepliesAreKnownToTheDecisions(t *testing.T) {
	const (
		queries = 40
		rate    = 20 // per second
	)
	for _, class := range []valuetrial.Class{valuetrial.Safe, valuetrial.Unsafe} {
		for _, http2 := range []bool{false, true} {
			for _, sizes := range []int{2, 3000} {
				t.Run(fmt.Sprintf("%s, HTTP/2 %t, %d sizes", class, http2, sizes), func(t *testing.T) {
					t.Parallel()
					result, err := valuetrial.Run(valuetrial.Options{
						Path: os.Args[0], Env: []string{mainVariable + "=1"},
						Class: class, HTTP2: http2, Sizes: sizes, Queries: queries, Rate: rate, Seed: 1,
					})
					if err != nil {
						t.Fatal(err)
					}
					if strings.Contains(result.Log, "DATA RACE") || strings.Contains(result.Log, "event=violation") {
						t.Errorf("the log:\n%s", result.Log)
					}
					if result.SentAgain+result.Ejected+result.Wrong+result.Failed+result.Rejected > 0 {
						t.Errorf("sent again %d, ejected %d, wrong %d, failed %d, rejected %d, want 0 each; the log:\n%s",
							result.SentAgain, result.Ejected, result.Wrong, result.Failed, result.Rejected, result.Log)
					}
				})
			}
		}
	}
}

// Guards against sound replies that are thrown away for what comes behind them while they are withheld: a reset or the orderly
// end of their connection, the first bytes of a message that never goes on, noise in place of another reply or right behind
// them. The subquery was sent again although it was over, and its query failed, also where the effect had run.
func TestRepliesAreKeptWhateverComesBehindThem(t *testing.T) {
	const (
		queries = 60
		rate    = 10 // per second
	)
	disruptions := []struct {
		kind  valuetrial.Disruption
		share int // one reply in so many
		// unanswered: some calls get no sound reply, so that their queries may fail. In the unsafe class that holds of each
		// disruption, as a connection may end under a call.
		unanswered bool
	}{
		{kind: valuetrial.ResetBehind, share: 8},
		{kind: valuetrial.EndBehind, share: 8},
		{kind: valuetrial.FragmentBehind, share: 8, unanswered: true},
		{kind: valuetrial.Noise, share: 20, unanswered: true},
		{kind: valuetrial.NoiseBehind, share: 8, unanswered: true},
	}
	for _, class := range []valuetrial.Class{valuetrial.Safe, valuetrial.Unsafe} {
		for _, http2 := range []bool{false, true} {
			for _, disruption := range disruptions {
				t.Run(fmt.Sprintf("%s, HTTP/2 %t, %s", class, http2, disruption.kind), func(t *testing.T) {
					t.Parallel()
					result, err := valuetrial.Run(valuetrial.Options{
						Path: os.Args[0], Env: []string{mainVariable + "=1"}, Class: class, HTTP2: http2, Sizes: 3000,
						Disruption: disruption.kind, Share: disruption.share, Queries: queries, Rate: rate, Seed: 1,
					})
					if err != nil {
						t.Fatal(err)
					}
					if strings.Contains(result.Log, "DATA RACE") || strings.Contains(result.Log, "event=violation") {
						t.Errorf("the log:\n%s", result.Log)
					}
					mayFail := disruption.unanswered || class == valuetrial.Unsafe
					if result.Failed+result.Rejected > 0 && !mayFail || result.FailedAnswered > 0 {
						t.Errorf("failed %d, of them answered %d, rejected %d; the log:\n%s",
							result.Failed, result.FailedAnswered, result.Rejected, result.Log)
					}
					if result.SentAgain+result.Wrong > 0 {
						t.Errorf("sent again %d (after %v), wrong %d; the log:\n%s",
							result.SentAgain, result.Gaps, result.Wrong, result.Log)
					}
				})
			}
		}
	}
}

// Guards against a co-ordinator that throws away a reply that it has read because it closes the connection itself, or for what
// it learns while the reply is withheld: the replica restarts, drains, is removed or is silent, or the process shuts down. The
// subquery's effect has run, so its query would fail.
func TestRepliesAreKeptWhateverIsLearnedMeanwhile(t *testing.T) {
	const unanswered = 200 * time.Millisecond // time for a ping to be answered; a value is withheld for longer
	short := strings.Replace(settings, `"connectTimeout":1000000`,
		fmt.Sprintf(`"connectTimeout":%d`, unanswered.Microseconds()), 1)
	for name, learn := range map[string]func(*process, *fake.Discovery, *fake.Replica){
		"restarted": func(_ *process, discovery *fake.Discovery, replica *fake.Replica) {
			discovery.Mu.Lock()
			replica.BootMS = time.Now().Add(time.Second).UnixMilli()
			discovery.Mu.Unlock()
			discovery.SetState(replica, "ready")
		},
		"draining": func(_ *process, discovery *fake.Discovery, replica *fake.Replica) {
			discovery.SetState(replica, "draining")
		},
		"removed": func(_ *process, discovery *fake.Discovery, replica *fake.Replica) {
			discovery.SetState(replica, "gone")
		},
		"shutdown": func(program *process, _ *fake.Discovery, _ *fake.Replica) {
			program.cmd.Process.Signal(syscall.SIGTERM)
		},
		"no ping is answered": func(*process, *fake.Discovery, *fake.Replica) {},
	} {
		for _, model := range []string{"m", "h2"} {
			t.Run(name+", "+model, func(t *testing.T) {
				t.Parallel()
				replica := newReplica(t, "s-a", 0, succeed)
				replica.Model = model
				replica.OmitsContentLength = true
				replica.IgnorePings(true) // over HTTP/2 an answer would confirm the reply at once
				program, discovery := startDeploymentWith(t, short, allHTTP2, 1024, replica)
				client := program.connect()
				client.send(query("claim", "q1", 10, 3))
				waitFor(t, "the reply is withheld", func() bool { return program.counters()["unconfirmed"] == 1 })
				learn(program, discovery, replica)
				client.expect(map[int]string{3: value(replica, 3)})
			})
		}
	}
}

// Guards against a reply that is given up in the middle, because its replica stands still for as long as the brief allows
// (8.4: 500 ms). The effect of its subquery has run, so its query would fail.
func TestReplyWithAPauseWithinItIsServed(t *testing.T) {
	const pause = 500 * time.Millisecond
	replica := newReplica(t, "s-a", 0, fake.SucceedWithPause(pause))
	short := strings.Replace(settings, `"connectTimeout":1000000`, `"connectTimeout":250000`, 1)
	program, _ := startDeployment(t, short, replica)
	client := program.connect()
	client.send(query("claim", "q1", 10, 3))
	client.expect(map[int]string{3: value(replica, 3)})
	if counters := program.counters(); counters["legs"] != 1 || counters["spoilt"] != 0 {
		t.Errorf("counters %v", counters)
	}
}
