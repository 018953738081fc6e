package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// ClassEstimate is the Scheduler's current estimate for the queries of one class, for operators and tests.
type ClassEstimate struct {
	SubqueryWork   time.Duration // work of a subquery without a hint
	WorkPerHint    float64       // work per unit of a hint
	LatenessFactor float64       // factor by which admission expects queries to take longer than estimated; at least 1
	TrialLimit     float64       // attempts in flight at a slow replica, from which no trial query is admitted there
}

// ClassEstimates returns the current estimates, by class index.
func (scheduler *Scheduler) ClassEstimates() []ClassEstimate {
	var estimates []ClassEstimate
	for index := range scheduler.classes {
		class := &scheduler.classes[index]
		estimates = append(estimates, ClassEstimate{
			SubqueryWork:   class.subqueryWork,
			WorkPerHint:    class.workPerHint,
			LatenessFactor: class.admission.latenessFactor,
			TrialLimit:     class.admission.trialLimit,
		})
	}
	return estimates
}

// DescribeReplicas describes the state of the replicas for operators: a line about all of them, then one for each
// replica that is not removed. It uses the terms of the page that shows it, which operators know.
func (scheduler *Scheduler) DescribeReplicas() string {
	var text strings.Builder
	fmt.Fprintf(&text, "lanes %.2f copies %.1f extras %d taken %d open %d\n",
		scheduler.estimates.parallelism, scheduler.hedges.tokens, len(scheduler.retries.furtherAttempts),
		len(scheduler.retries.arrivals), len(scheduler.open))
	for _, replica := range scheduler.replicas.all {
		if replica.state != Removed {
			scheduler.describeReplica(&text, replica)
		}
	}
	return text.String()
}

func (scheduler *Scheduler) describeReplica(text *strings.Builder, replica *replicaState) {
	fmt.Fprintf(text, "replica %d: pace %.3g cap %.0f", replica.id, replica.slowdown, replica.limit)
	fmt.Fprintf(text, " out %d (%v) held %v", len(replica.outstanding), replica.outstandingWork, replica.queuedWork)
	fmt.Fprintf(text, " aside %v credit %.1f", replica.ejectedForAny(), replica.retryTokens)
	fmt.Fprintf(text, " recent %.3g usual %.3g", replica.recentLatency, replica.baselineLatency)
	fmt.Fprintf(text, " cold %v", scheduler.slowStart.warmingUp(replica, scheduler.now))
	fmt.Fprintf(text, " trial in %v gap %v\n", replica.nextProbeAt-scheduler.now, replica.probeInterval)
}
