package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"terntray/internal/fake"
)

const (
	agreed = 1500 * time.Millisecond
	cutOff = 4 * time.Second
	shards = 64
)

// settings describe one cell group of three holders a shard, one replayable track.
const settings = `{"balancers":1,"bounds":{"connectTimeout":1000000,"idleClose":30000000,"maxAttempts":3,
"maxOpen":200000,"mayCancel":true,"multiplex":64,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":1,"callCost":0,"cells":%d,"classFetch":[0],"classNeed":[1.0],"ranges":64,"span":3},
"lanes":[{"name":"look","aim":1500000,"deadline":4000000,"effect":"pure"}],
"orgs":[],"tariffs":{},"zone":0,"zones":["west","east"]}`

// deployment is a program among its replicas.
type deployment struct {
	*fake.Program
	replicas []*fake.Replica
	roster   *fake.Discovery
}

func deploy(program string, replicas int, act func(*fake.Replica, fake.Call)) (*deployment, error) {
	d := &deployment{}
	for n := range replicas {
		r, err := fake.NewReplica(fmt.Sprintf("s-%d", n), n, act)
		if err != nil {
			return nil, err
		}
		r.NoLedger = true
		d.replicas = append(d.replicas, r)
	}
	for n, r := range d.replicas {
		r.Cell = n % replicas
	}
	var err error
	if d.roster, err = fake.NewDiscovery("127.0.0.1:0", d.replicas...); err != nil {
		return nil, err
	}
	d.Program, err = fake.StartProgram(program, fmt.Sprintf(settings, replicas), d.roster)
	return d, err
}

func (d *deployment) does(act func(*fake.Replica, fake.Call)) {
	for _, r := range d.replicas {
		r.SetBehavior(act)
	}
}

func (d *deployment) end() {
	d.Stop()
	d.roster.Server.Close()
	for _, r := range d.replicas {
		r.Close()
	}
}

func (d *deployment) load(name string, rate float64, parts int, while time.Duration) []fake.LoadResult {
	l := fake.Load{Addr: d.Addr, Class: "look", Name: name, Rate: rate, Subqueries: parts, Shards: shards, Deadline: cutOff,
		Seed: 7, MaxConns: 2000}
	return l.Run(while)
}

// share of answers that came whole in the agreed time.
func share(all []fake.LoadResult) float64 {
	n := 0
	for _, a := range all {
		if a.WithinObjective(agreed) {
			n++
		}
	}
	return float64(n) / float64(max(1, len(all)))
}

func quick(s *fake.Replica, c fake.Call) { fake.Succeed(s, c) }

// trouble plays a day: all replicas sound, then in trouble for a while, then sound again. It returns when 99% were
// fulfilled again, in seconds after that, or -1.
func trouble(program string, bad func(*fake.Replica, fake.Call), lasts time.Duration) (back float64, err error) {
	sound := fake.After(20*time.Millisecond, quick)
	d, err := deploy(program, 16, sound)
	if err != nil {
		return 0, err
	}
	defer d.end()
	const before, after = 2 * time.Second, 6 * time.Second
	time.AfterFunc(before, func() { d.does(bad) })
	time.AfterFunc(before+lasts, func() { d.does(sound) })
	all := d.load("t", 60, 5, before+lasts+after)
	late, seen := 0, 0
	for n := len(all) - 1; n >= 0 && all[n].Due > before+lasts; n-- {
		seen++
		if !all[n].WithinObjective(agreed) {
			late++
		}
		if float64(late) > 0.01*float64(seen)+1 {
			back = (all[n].Due - before - lasts).Seconds()
			break
		}
	}
	if back > 5 {
		return -1, nil
	}
	return back, nil
}

// crowd starts cold under a crowd, then goes on lightly; it returns the shares fulfilled of each.
func crowd(program string, rate float64, parts int, takes, lasts time.Duration) (crowded, after float64, err error) {
	act := quick
	if takes > 0 {
		act = fake.After(takes, quick)
	}
	d, err := deploy(program, 100, act)
	if err != nil {
		return 0, 0, err
	}
	defer d.end()
	crowded = share(d.load("c", rate, parts, lasts))
	after = share(d.load("l", 20, parts, 1500*time.Millisecond))
	return crowded, after, nil
}

// own asks for so much a second of a co-ordinator whose replicas answer in 2 ms, and returns what it fulfilled in the
// agreed time a second, of what came from the first second to a time and from then on, and the longest that a turning back
// took.
func own(program string, rate float64, settled, lasts time.Duration) (first, then float64, turnedBack time.Duration, err error) {
	d, err := deploy(program, 16, fake.After(2*time.Millisecond, quick))
	if err != nil {
		return 0, 0, 0, err
	}
	defer d.end()
	var early, steady []fake.LoadResult
	for _, a := range d.load("o", rate, 3, lasts) {
		switch {
		case a.Due >= settled:
			steady = append(steady, a)
		case a.Due >= time.Second: // from then on connections are up
			early = append(early, a)
		}
		if a.Status == http.StatusServiceUnavailable {
			turnedBack = max(turnedBack, a.Took)
		}
	}
	return share(early) * rate, share(steady) * rate, turnedBack, nil
}

// watchOwn plays the day of a short core and tells the share let in and the use of the core, ten times a second.
func watchOwn(program string, rate float64) {
	d, err := deploy(program, 16, fake.After(2*time.Millisecond, quick))
	if err != nil {
		fmt.Println(err)
		return
	}
	defer d.end()
	done := make(chan []fake.LoadResult)
	go func() { done <- d.load("o", rate, 3, 3*time.Second) }()
	before := d.Counters()["fulfilled"]
	for {
		select {
		case all := <-done:
			fmt.Printf("in time %.0f/s\n", share(all)*rate)
			return
		case <-time.After(100 * time.Millisecond):
			now := d.Counters()
			fmt.Printf("fulfilled %d/s turned_back=%d scrapped=%d busy=%d open=%d opened=%d %s\n", 10*(now["fulfilled"]-before),
				now["turned_back"], now["scrapped"], now["busy"], now["open"], now["opened"], strings.Split(d.Get("/beliefs"), "replica ")[0])
			before = now["fulfilled"]
		}
	}
}
