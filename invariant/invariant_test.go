package invariant

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"terntray/internal/replicaproto"
)

// allowedAttempt returns an attempt that no condition refuses.
func allowedAttempt() Attempt { return Attempt{TimeLeft: time.Second, MaxAttempts: 3} }

// Each condition refuses an attempt on its own, and is returned as the reason.
func TestEachConditionRefusesAnAttempt(t *testing.T) {
	for want, change := range map[Reason]func(*Attempt){
		Allowed:          func(*Attempt) {},
		DeadlinePassed:   func(attempt *Attempt) { attempt.TimeLeft = replicaproto.MinTimeLeft - 1 },
		ClientGone:       func(attempt *Attempt) { attempt.ClientGone = true },
		QueryClosed:      func(attempt *Attempt) { attempt.QueryClosed = true },
		EndpointDraining: func(attempt *Attempt) { attempt.Endpoint = Draining },
		EndpointRemoved:  func(attempt *Attempt) { attempt.Endpoint = Removed },
		TooManyAttempts:  func(attempt *Attempt) { attempt.Earlier = make([]Evidence, 3) },
		MayHaveRun: func(attempt *Attempt) {
			attempt.Effect = NonIdempotent
			attempt.Earlier = []Evidence{NeverRan, MayRun}
		},
		KeyExpired: func(attempt *Attempt) {
			attempt.Effect = Keyed
			attempt.Key = KeyUse{Used: true, Age: time.Second, Window: time.Second}
		},
		AttemptRunning: func(attempt *Attempt) {
			attempt.Effect = NonIdempotent
			attempt.Earlier = []Evidence{Running}
		},
	} {
		attempt := allowedAttempt()
		change(&attempt)
		if got := attempt.Check(); got != want {
			t.Errorf("%+v: %v, want %v", attempt, got, want)
		}
	}
}

// A subquery may be repeated if its earlier attempts never ran or if it is idempotent or keyed.
func TestRepeatsAllowedByEffect(t *testing.T) {
	for _, attempt := range []Attempt{
		{Effect: NonIdempotent, Earlier: []Evidence{NeverRan, NeverRan}},
		{Effect: Idempotent, Earlier: []Evidence{Running, MayRun}},
		{Effect: Keyed, Earlier: []Evidence{MayRun}, Key: KeyUse{Used: true, Age: 1, Window: 2}},
		{Effect: Keyed, Earlier: []Evidence{NeverRan}},
	} {
		attempt.TimeLeft = time.Second
		if got := attempt.Check(); got != Allowed {
			t.Errorf("%+v: %v", attempt, got)
		}
	}
}

// A refused attempt must not become allowed as time passes and further attempts are made.
func TestRefusedAttemptStaysRefusedAsConditionsWorsen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := Attempt{
			TimeLeft:    time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond / 10,
			ClientGone:  rapid.Bool().Draw(t, "gone"),
			QueryClosed: rapid.Bool().Draw(t, "closed"),
			Endpoint:    EndpointState(rapid.IntRange(0, 2).Draw(t, "endpoint")),
			Effect:      Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
			MaxAttempts: rapid.IntRange(0, 3).Draw(t, "most"),
			Key: KeyUse{
				Used:   rapid.Bool().Draw(t, "used"),
				Age:    time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Millisecond,
				Window: time.Duration(rapid.IntRange(0, 3).Draw(t, "window")) * time.Millisecond,
			},
		}
		for range rapid.IntRange(0, 4).Draw(t, "earlier") {
			attempt.Earlier = append(attempt.Earlier, Evidence(rapid.IntRange(0, 2).Draw(t, "evidence")))
		}
		worse := attempt
		passed := time.Duration(rapid.IntRange(0, 3).Draw(t, "passed")) * time.Millisecond
		worse.TimeLeft -= passed
		worse.Key.Age += passed
		worse.Earlier = append(append([]Evidence{}, attempt.Earlier...), MayRun)
		if attempt.Check() != Allowed && worse.Check() == Allowed {
			t.Fatalf("%+v is refused (%v), but %+v is allowed", attempt, attempt.Check(), worse)
		}
	})
}

// A response may be late by the grace period plus a stall of the process. A connection must not be closed while a
// response is owed, unless the client has disconnected.
func TestAnswerAndClientCloseChecks(t *testing.T) {
	const stall = 100 * time.Millisecond
	for _, check := range []struct{ got, want Reason }{
		{Answer{}.Check(), Allowed},
		{Answer{Late: responseGrace}.Check(), Allowed},
		{Answer{Late: responseGrace + 1}.Check(), DeadlinePassed},
		{Answer{Late: responseGrace + stall, LoopStalled: stall}.Check(), Allowed},
		{Answer{Answered: true, Late: time.Second}.Check(), Answered},
		{ClientClose{RequestOpen: true}.Check(), NotAnswered},
		{ClientClose{RequestOpen: true, ClientGone: true}.Check(), Allowed},
		{ClientClose{}.Check(), Allowed},
	} {
		if check.got != check.want {
			t.Errorf("%v, want %v", check.got, check.want)
		}
	}
}

// Each reason has a unique name in the log and the counters.
func TestEachReasonHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, reason := range append(Reasons(), Allowed) {
		if seen[reason.String()] || reason.String() == "" {
			t.Errorf("reason %d has the empty or duplicate name %q", reason, reason)
		}
		seen[reason.String()] = true
	}
	if Reason(99).String() != "unknown" {
		t.Error("an undefined reason has a name")
	}
}
