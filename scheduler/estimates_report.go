package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// ClassEstimate is what the Scheduler expects of the queries of one class, for people and tests.
type ClassEstimate struct {
	SubqueryWork   time.Duration // of a subquery without a hint
	WorkPerHint    float64       // work for each unit of a hint
	LatenessFactor float64       // by which admission takes queries to be later than estimated; at least 1
	TrialLimit     float64       // attempts that may be in flight at a replica for a query that is admitted as a trial
}

// ClassEstimates are the present estimates, by class index.
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

// DescribeReplicas tells what the Scheduler knows of the replicas, for a person to read: a line of what concerns
// all, then a line for each replica that is not removed. The words in it are those of the page that shows it, which
// operators know.
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
