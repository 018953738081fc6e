package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// What a co-ordinator believes, for those who watch it. Nothing here chooses anything.

// ClassEstimate is what is believed of one track.
type ClassEstimate struct {
	SubqueryWork   time.Duration // of a part
	WorkPerHint    float64       // work for each unit of hint
	LatenessFactor float64       // times the expected time that its queries may take
	ProbeLimit     float64       // let in against the belief at a time
}

// ClassEstimates tells what is believed of each track, in the order of the settings.
func (scheduler *Scheduler) ClassEstimates() []ClassEstimate {
	var all []ClassEstimate
	for n := range scheduler.classes {
		t := &scheduler.classes[n]
		all = append(all, ClassEstimate{SubqueryWork: t.subqueryWork, WorkPerHint: t.workPerHint, LatenessFactor: t.admission.latenessFactor, ProbeLimit: t.admission.trialLimit})
	}
	return all
}

// DescribeReplicas tells what is believed of the replicas, a line for each that is not gone, for a person to read.
func (scheduler *Scheduler) DescribeReplicas() string {
	var s strings.Builder
	fmt.Fprintf(&s, "lanes %.2f copies %.1f extras %d taken %d open %d\n", scheduler.estimates.parallelism, scheduler.hedges.tokens, len(scheduler.retries.furtherAttempts), len(scheduler.retries.arrivals),
		len(scheduler.open))
	for _, r := range scheduler.replicas.all {
		if r.state == Removed {
			continue
		}
		fmt.Fprintf(&s, "replica %d: pace %.3g cap %.0f out %d (%v) held %v aside %v credit %.1f recent %.3g usual %.3g cold %v trial in %v gap %v\n",
			r.id, r.slowdown, r.limit, len(r.outstanding), r.outstandingWork, r.queuedWork,
			r.ejectedForAny(), r.retryTokens, r.recentLatency, r.usualLatency, scheduler.slowStart.warmingUp(r, scheduler.now), r.nextProbeAt-scheduler.now, r.probeInterval)
	}
	return s.String()
}
