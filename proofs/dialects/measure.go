package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"terntray/internal/fake"
)

// measure tells what each dialect costs at some rates, beside an earlier build with frames alone, if one is named: processor time and bytes a part, connections and descriptors, and
// latencies as clients see them.
func measure(program, against string, rates []float64) {
	fmt.Println("| parts a second | dialect | CPU a part | bytes a part | connections a box | descriptors | median | 99% | in time |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, rate := range rates {
		for _, one := range []struct{ program, model, name string }{
			{against, "frames", "frames, before"}, {program, "frames", "frames"}, {program, "h2", "HTTP/2"},
		} {
			if one.program == "" {
				continue
			}
			if err := cost(one.program, one.model, one.name, rate, one.program != against); err != nil {
				fmt.Println("could not be played:", err)
			}
		}
	}
}

func cost(program, model, name string, rate float64, installed bool) error {
	const parts, lasts = 3, 4 * time.Second
	folder, err := os.MkdirTemp("", "terntray")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	installation, err := fake.WriteHTTP2Config(folder)
	if err != nil {
		return err
	}
	var all []*fake.Replica
	for n := range boxes {
		b, err := fake.NewReplica(fmt.Sprintf("s-%d", n), n, fake.After(5*time.Millisecond, fake.Succeed))
		if err != nil {
			return err
		}
		defer b.Close()
		b.NoLedger, b.Model = true, model
		all = append(all, b)
	}
	roster, err := fake.NewDiscovery("127.0.0.1:0", all...)
	if err != nil {
		return err
	}
	defer roster.Server.Close()
	var args []string
	if installed {
		args = []string{"-installation", installation}
	}
	p, err := fake.StartProgram(program, settings, roster, args...)
	if err != nil {
		return err
	}
	idle := p.CPUUsed()
	l := fake.Load{Addr: p.Addr, Class: "look", Name: "m", Rate: rate / parts, Subqueries: parts, Shards: 24, Deadline: time.Second,
		Seed: 3, MaxConns: 1000, TextBytes: 100}
	done := make(chan []fake.LoadResult)
	go func() { done <- l.Run(lasts) }()
	time.Sleep(lasts / 2)
	descriptors := p.Descriptors()
	answers := <-done
	used, attempts := p.CPUUsed()-idle, p.Counters()["legs"]
	if os.Getenv("SHOW") != "" {
		fmt.Println(p.Get("/counters"))
		fmt.Println(p.Get("/beliefs"))
		fmt.Println(p.Log())
	}
	p.Stop()
	in, conns := 0, 0
	for _, b := range all {
		bytes, n := b.Traffic()
		in += bytes
		conns += n
	}
	var took []time.Duration
	inTime := 0
	for _, a := range answers {
		if took = append(took, a.Took); a.WithinObjective(agreed) {
			inTime++
		}
	}
	slices.Sort(took)
	fmt.Printf("| %.0f | %s | %v | %d | %.1f | %d | %v | %v | %.3f |\n", rate, name, (used / time.Duration(max(1, attempts))).Round(time.Microsecond),
		in/max(1, attempts), float64(conns)/boxes, descriptors, took[len(took)/2].Round(10*time.Microsecond),
		took[len(took)*99/100].Round(10*time.Microsecond), float64(inTime)/float64(len(took)))
	return nil
}
