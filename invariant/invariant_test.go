package invariant

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sound is an attempt that nothing speaks against.
func sound() Attempt { return Attempt{TimeLeft: time.Second, MaxAttempts: 3} }

func TestEachConditionRefusesAnAttempt(t *testing.T) {
	for want, change := range map[Reason]func(*Attempt){
		Allowed:          func(*Attempt) {},
		DeadlinePassed:   func(a *Attempt) { a.TimeLeft = leastTime - 1 },
		ClientGone:       func(a *Attempt) { a.ClientGone = true },
		QueryClosed:      func(a *Attempt) { a.QueryClosed = true },
		EndpointDraining: func(a *Attempt) { a.Endpoint = Draining },
		EndpointRemoved:  func(a *Attempt) { a.Endpoint = Removed },
		TooManyAttempts:  func(a *Attempt) { a.Earlier = make([]Evidence, 3) },
		MayHaveRun:       func(a *Attempt) { a.Effect, a.Earlier = NonIdempotent, []Evidence{NeverRan, MayRun} },
		AttemptRunning:   func(a *Attempt) { a.Effect, a.Earlier = NonIdempotent, []Evidence{Running} },
	} {
		a := sound()
		change(&a)
		if got := a.Check(); got != want {
			t.Errorf("%+v: %v, want %v", a, got, want)
		}
	}
}

func TestRepeatsThatTheEffectAllows(t *testing.T) {
	for _, a := range []Attempt{
		{Effect: NonIdempotent, Earlier: []Evidence{NeverRan, NeverRan}},
		{Effect: Idempotent, Earlier: []Evidence{Running, MayRun}},
		{Effect: Keyed, Earlier: []Evidence{MayRun}},
	} {
		a.TimeLeft = time.Second
		if got := a.Check(); got != Allowed {
			t.Errorf("%+v: %v", a, got)
		}
	}
}

// What is refused stays refused when more speaks against it, and time only takes away.
func TestMoreAgainstAnAttemptNeverAllowsIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			TimeLeft: time.Duration(rapid.IntRange(-5, 50).Draw(t, "left")) * time.Millisecond / 10, ClientGone: rapid.Bool().Draw(t, "gone"),
			QueryClosed: rapid.Bool().Draw(t, "closed"), Endpoint: EndpointState(rapid.IntRange(0, 2).Draw(t, "endpoint")),
			Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")), MaxAttempts: rapid.IntRange(0, 3).Draw(t, "most"),
		}
		for range rapid.IntRange(0, 4).Draw(t, "earlier") {
			a.Earlier = append(a.Earlier, Evidence(rapid.IntRange(0, 2).Draw(t, "evidence")))
		}
		worse := a
		worse.TimeLeft -= time.Duration(rapid.IntRange(0, 3).Draw(t, "passed")) * time.Millisecond
		worse.Earlier = append(append([]Evidence{}, a.Earlier...), MayRun)
		if a.Check() != Allowed && worse.Check() == Allowed {
			t.Fatalf("%+v is refused by %v, %+v is allowed", a, a.Check(), worse)
		}
	})
}

func TestAnswersAndCloses(t *testing.T) {
	for _, c := range []struct{ got, want Reason }{
		{Answer{}.Check(), Allowed},
		{Answer{Late: answerSlack}.Check(), Allowed},
		{Answer{Late: answerSlack + 1}.Check(), DeadlinePassed},
		{Answer{Late: answerSlack + 100*time.Millisecond, LoopStalled: 100 * time.Millisecond}.Check(), Allowed},
		{Answer{Answered: true, Late: time.Second}.Check(), Answered},
		{ClientClose{RequestOpen: true}.Check(), NotAnswered},
		{ClientClose{RequestOpen: true, ClientGone: true}.Check(), Allowed},
		{ClientClose{}.Check(), Allowed},
	} {
		if c.got != c.want {
			t.Errorf("%v, want %v", c.got, c.want)
		}
	}
}

func TestEachReasonHasAName(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range append(Reasons(), Allowed) {
		if seen[r.String()] || r.String() == "" {
			t.Errorf("reason %d is called %q", r, r)
		}
		seen[r.String()] = true
	}
	if Reason(99).String() != "unknown" {
		t.Error("a reason that there is not has a name")
	}
}
