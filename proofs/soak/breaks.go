package main

// panicking is a program whose loop panics about once a second, before, between or after what an iteration does.
var panicking = map[string][2]string{
	"eventloop/loop.go": {"	event()\n	for len(loop.received)", "	if loop.now%353 == 0 {\n		panic(\"as if, before\")\n	}\n	event()\n	if loop.now%353 == 1 {\n		panic(\"as if, behind\")\n	}\n	for len(loop.received)"},
}

// deliberate are changes of the program that break a rule, each to be caught by the oracle as that rule.
var deliberate = []struct {
	name, rule string
	patches    map[string][2]string // by file: what stands there once, and what replaces it
}{
	{"told_time", "told_time", map[string][2]string{
		"internal/replicaproto/call.go": {"waitMS = (call.Deadline - now).Milliseconds()", "waitMS = (call.Deadline - now).Milliseconds() + 400"},
	}},
	{"lost_answer", "answer", map[string][2]string{
		"server/response.go": {"	if !client.write(response.bytes) {\n", "	if client.requestCount%23 == 7 {\n		return false\n	}\n	if !client.write(response.bytes) {\n"},
	}},
	{"late_answer", "answer", map[string][2]string{
		"server/response.go": {"	if !client.write(response.bytes) {\n", "	if client.requestCount%9 == 7 {\n		time.Sleep(4 * time.Second)\n	}\n	if !client.write(response.bytes) {\n"},
	}},
	{"two_answers", "answer", map[string][2]string{
		"server/response.go": {"	if !client.write(response.bytes) {\n", "	if client.requestCount%9 == 7 {\n		response.bytes = append(response.bytes, response.bytes...)\n	}\n	if !client.write(response.bytes) {\n"},
	}},
	{"client_gone", "client_there", map[string][2]string{
		"server/notify.go":   {"	client.left.Store(true)\n	if client.requestOpen {\n", "	if false {\n"},
		"server/presence.go": {"	if client.left.Load() {\n		return true\n	}\n", "	if true {\n		return false\n	}\n"},
	}},
	{"drain", "drain", map[string][2]string{
		"coordinator/endpoints.go": {"	replica := c.replicas.EndpointOf(endpoint.UID)\n	replica.SetState(", "	if endpoint.State == wire.Draining {\n		endpoint.State = wire.Ready\n	}\n	replica := c.replicas.EndpointOf(endpoint.UID)\n	replica.SetState("},
	}},
	{"effect", "effect", map[string][2]string{
		"scheduler/retry.go":     {"(first == nil || class.effect == invariant.Idempotent ||", "(true ||"},
		"invariant/invariant.go": {"	if attempt.Effect != NonIdempotent {\n", "	if true {\n"},
	}},
	{"slow_start", "slow_start", map[string][2]string{
		"scheduler/slowstart.go": {"	if !s.warmingUp(replica, now) {\n		return true\n", "	if true {\n		return true\n"},
	}},
	{"honest", "honest", map[string][2]string{
		"coordinator/answer.go": {"Payload: string(subquery.value)}", "Payload: string(subquery.value) + \"x\"}"},
	}},
	{"budget", "budget", map[string][2]string{
		"scheduler/retry.go": {"	return b.parameters.retryBudgetSpan == 0 || float64", "	return true || float64"},
	}},
	{"shutdown", "shutdown", map[string][2]string{
		"coordinator/shutdown.go": {"return c.clientsClosed && len(c.queries) == 0 }", "return c.clientsClosed && len(c.queries) == 0 && c.counts.Attempts%2 == 0 }"},
	}},
	{"wall_clock", "shutdown", map[string][2]string{ // the limit is kept without its monotonic reading
		"server/shutdown.go": {"func (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {\n	limit := start.Add(shutdownAcceptTime)\n",
			"var processStart = time.Now()\n\nfunc (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {\n" +
				"	limit := processStart.Round(0).Add(start.Sub(processStart)).Add(shutdownAcceptTime)\n"},
	}},
}
