package main

// panicking is a program whose loop panics about once a second, before, between or after what an iteration does.
var panicking = map[string][2]string{
	"eventloop/loop.go": {"	event()\n	for len(l.received)", "	if l.now%353 == 0 {\n		panic(\"as if, before\")\n	}\n	event()\n	if l.now%353 == 1 {\n		panic(\"as if, behind\")\n	}\n	for len(l.received)"},
}

// deliberate are changes of the program that break a rule, each to be caught by the oracle as that rule.
var deliberate = []struct {
	name, rule string
	patches    map[string][2]string // by file: what stands there once, and what replaces it
}{
	{"told_time", "told_time", map[string][2]string{
		"internal/replicaproto/replicaproto.go": {"waitMS = (c.Deadline - now).Milliseconds()", "waitMS = (c.Deadline - now).Milliseconds() + 400"},
	}},
	{"lost_answer", "answer", map[string][2]string{
		"coordinator/client.go": {"	if !k.write(a.bytes) {\n", "	if k.asked%23 == 7 {\n		return false\n	}\n	if !k.write(a.bytes) {\n"},
	}},
	{"late_answer", "answer", map[string][2]string{
		"coordinator/client.go": {"	if !k.write(a.bytes) {\n", "	if k.asked%9 == 7 {\n		time.Sleep(4 * time.Second)\n	}\n	if !k.write(a.bytes) {\n"},
	}},
	{"two_answers", "answer", map[string][2]string{
		"coordinator/client.go": {"	if !k.write(a.bytes) {\n", "	if k.asked%9 == 7 {\n		a.bytes = append(a.bytes, a.bytes...)\n	}\n	if !k.write(a.bytes) {\n"},
	}},
	{"client_gone", "client_there", map[string][2]string{
		"coordinator/client.go": {"	k.gone.Store(true)\n	if k.busy {\n", "	if false {\n"},
		"coordinator/permit.go": {"	if k.gone.Load() {\n		return true\n	}\n", "	if true {\n		return false\n	}\n"},
	}},
	{"drain", "drain", map[string][2]string{
		"coordinator/list.go": {"	r := c.fleet.named(t.UID)\n	r.state.Store", "	if t.State == protocol.Draining {\n		t.State = protocol.Ready\n	}\n	r := c.fleet.named(t.UID)\n	r.state.Store"},
	}},
	{"effect", "effect", map[string][2]string{
		"scheduler/retry.go":     {"(first < 0 || class.effect == invariant.Idempotent ||", "(true ||"},
		"invariant/invariant.go": {"	if a.Effect != NonIdempotent {\n", "	if true {\n"},
	}},
	{"slow_start", "slow_start", map[string][2]string{
		"scheduler/slowstart.go": {"	if !c.coldFor(r) || p == nil {\n		return true\n", "	if true {\n		return true\n"},
	}},
	{"honest", "honest", map[string][2]string{
		"coordinator/queries.go": {"Payload: string(p.value)}", "Payload: string(p.value) + \"x\"}"},
	}},
	{"budget", "budget", map[string][2]string{
		"scheduler/retry.go": {"	return b.parameters.retryBudgetSpan == 0 || float64", "	return true || float64"},
	}},
	{"shutdown", "shutdown", map[string][2]string{
		"coordinator/coordinator.go": {"func (c *Coordinator) over() bool { return c.gone && len(c.queries) == 0 }", "func (c *Coordinator) over() bool { return c.gone && len(c.queries) == 0 && c.counts.Attempts%2 == 0 }"},
	}},
	{"wall_clock", "shutdown", map[string][2]string{ // the limit is kept without its monotonic reading
		"coordinator/client.go": {"limit = k.c.loop.Start().Add(time.Duration(k.c.leftAt.Load())).Add(goingOn)",
			"limit = time.Unix(0, k.c.loop.Start().Add(time.Duration(k.c.leftAt.Load())).UnixNano()).Add(goingOn)"},
	}},
}
