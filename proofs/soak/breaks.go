package main

import (
	"terntray/internal/faultbuild"
	"terntray/internal/soak"
)

// panicPatches make the event loop panic about once a second, before or after the event of an iteration.
var panicPatches = []faultbuild.Patch{
	{
		File: "eventloop/loop.go",
		Old:  "	event()\n	for len(loop.received)",
		New: "	if loop.now%353 == 0 {\n" +
			"		panic(\"injected before the event\")\n" +
			"	}\n" +
			"	event()\n" +
			"	if loop.now%353 == 1 {\n" +
			"		panic(\"injected after the event\")\n" +
			"	}\n" +
			"	for len(loop.received)",
	},
}

// replyLostAtReset makes connections lose a withheld reply at any end but the orderly one.
var replyLostAtReset = []faultbuild.Patch{
	{
		File: "replicaconn/reader.go",
		Old:  "		if input.endCause() != nil {\n",
		New:  "		if cause := input.endCause(); cause != nil && cause.Error() == \"EOF\" {\n",
	},
}

// deliberateBreak is a change to the program that violates a rule. The checker (internal/soak/check*.go) must report a
// violation of that rule.
type deliberateBreak struct {
	name    string // in -break and in the output
	rule    soak.Rule
	patches []faultbuild.Patch
	restart bool // it shows in the scenario of planned restarts; else in that of all faults
}

func (deliberate *deliberateBreak) scenario() soak.Scenario {
	if deliberate.restart {
		return soak.ScenarioRestarts
	}
	return soak.ScenarioFaults
}

var deliberateBreaks = []deliberateBreak{
	{name: "told_time", rule: soak.RuleTimeout, patches: []faultbuild.Patch{
		{
			File: "internal/replicaproto/call.go",
			Old:  "waitMS = (call.Deadline - now).Milliseconds()",
			New:  "waitMS = (call.Deadline - now).Milliseconds() + 400",
		},
	}},
	{name: "lost_answer", rule: soak.RuleAnswer, patches: []faultbuild.Patch{
		{
			File: "server/response.go",
			Old:  "	if !client.write(response.bytes) {\n",
			New: "	if client.requestCount%23 == 7 {\n" +
				"		return false\n" +
				"	}\n" +
				"	if !client.write(response.bytes) {\n",
		},
	}},
	{name: "late_answer", rule: soak.RuleAnswer, patches: []faultbuild.Patch{
		{
			File: "server/response.go",
			Old:  "	if !client.write(response.bytes) {\n",
			New: "	if client.requestCount%9 == 7 {\n" +
				"		time.Sleep(4 * time.Second)\n" +
				"	}\n" +
				"	if !client.write(response.bytes) {\n",
		},
	}},
	{name: "two_answers", rule: soak.RuleAnswer, patches: []faultbuild.Patch{
		{
			File: "server/response.go",
			Old:  "	if !client.write(response.bytes) {\n",
			New: "	if client.requestCount%9 == 7 {\n" +
				"		response.bytes = append(response.bytes, response.bytes...)\n" +
				"	}\n" +
				"	if !client.write(response.bytes) {\n",
		},
	}},
	{name: "client_gone", rule: soak.RuleClientConnected, patches: []faultbuild.Patch{
		{
			File: "server/notify.go",
			Old:  "	client.disconnected.Store(true)\n	if client.requestOpen {\n",
			New:  "	if false {\n",
		},
		{
			File: "server/presence.go",
			Old:  "	if client.disconnected.Load() {\n		return true\n	}\n",
			New:  "	if true {\n		return false\n	}\n",
		},
	}},
	{name: "drain", rule: soak.RuleDrain, patches: []faultbuild.Patch{
		{
			File: "coordinator/endpoints.go",
			Old:  "	replica := c.replicas.EndpointOf(endpoint.UID)\n	replica.SetState(",
			New: "	if endpoint.State == wire.Draining {\n" +
				"		endpoint.State = wire.Ready\n" +
				"	}\n" +
				"	replica := c.replicas.EndpointOf(endpoint.UID)\n" +
				"	replica.SetState(",
		},
	}},
	{name: "effect", rule: soak.RuleNonIdempotent, patches: []faultbuild.Patch{
		{
			File: "scheduler/retry.go",
			Old:  "(first == nil || class.effect == invariant.Idempotent ||",
			New:  "(true ||",
		},
		{
			File: "invariant/invariant.go",
			Old:  "	case attempt.Effect != NonIdempotent:\n",
			New:  "	case true:\n",
		},
	}},
	{name: "slow_start", rule: soak.RuleSlowStart, patches: []faultbuild.Patch{
		{
			File: "scheduler/slowstart.go",
			Old:  "	if !s.warmingUp(replica, now) {\n		return true\n",
			New:  "	if true {\n		return true\n",
		},
	}},
	{name: "honest", rule: soak.RuleAnswerContent, patches: []faultbuild.Patch{
		{
			File: "coordinator/answer.go",
			Old:  "Payload: string(subquery.value)}",
			New:  "Payload: string(subquery.value) + \"x\"}",
		},
	}},
	{name: "budget", rule: soak.RuleRetryBudget, patches: []faultbuild.Patch{
		{
			File: "scheduler/retry.go",
			Old:  "	return b.parameters.retryBudgetSpan == 0 || float64",
			New:  "	return true || float64",
		},
	}},
	{name: "shutdown", rule: soak.RuleShutdown, patches: []faultbuild.Patch{
		{
			File: "coordinator/shutdown.go",
			Old:  "return c.clientsClosed && len(c.queries) == 0 }",
			New:  "return c.clientsClosed && len(c.queries) == 0 && c.counts.Attempts%2 == 0 }",
		},
	}},
	{name: "wall_clock", rule: soak.RuleShutdown, patches: []faultbuild.Patch{ // the limit loses its monotonic clock reading
		{
			File: "server/shutdown.go",
			Old: "func (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {\n" +
				"	limit := start.Add(shutdownAcceptTime)\n",
			New: "var processStart = time.Now()\n" +
				"\n" +
				"func (client *ClientConn) shutdownReadDeadline(start time.Time) time.Time {\n" +
				"	limit := processStart.Round(0).Add(start.Sub(processStart)).Add(shutdownAcceptTime)\n",
		},
	}},
	{name: "sent_again", rule: soak.RuleSentAgain, restart: true, patches: []faultbuild.Patch{
		{
			File: "scheduler/results.go",
			Old:  "	if replied == nil || replied.replied {\n",
			New:  "	if replied == nil || !replied.replied {\n",
		},
	}},
	{name: "reply_lost_at_reset", rule: soak.RuleSentAgain, restart: true, patches: replyLostAtReset},
	{name: "reply_lost_and_failed", rule: soak.RuleReplyLost, restart: true, patches: replyLostAtReset},
	{name: "open_at_kill", rule: soak.RuleAnswer, restart: true, patches: []faultbuild.Patch{
		{
			File: "coordinator/arrival.go",
			Old:  "c.server.AnswerBy(); limited {",
			New:  "c.server.AnswerBy(); limited && false {",
		},
		{
			File: "server/response.go",
			Old:  "client.closeAfterResponse.Load() || client.server.isShuttingDown() || mustClose",
			New:  "client.closeAfterResponse.Load() || mustClose",
		},
		{
			File: "server/reading.go",
			Old:  "	case shutdownStart != nil && !awaitsRequest:\n		return pastDeadline\n",
			New:  "	case shutdownStart != nil && !awaitsRequest:\n		return client.waitingSince.Add(idleTimeout)\n",
		},
	}},
}
