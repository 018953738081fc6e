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
	ProbeLimit     float64       // attempts that may be in flight at a replica for a query that is admitted as a probe
}

// ClassEstimates are the present estimates, by class index.
func (c *Scheduler) ClassEstimates() []ClassEstimate {
	var estimates []ClassEstimate
	for index := range c.classes {
		class := &c.classes[index]
		estimates = append(estimates, ClassEstimate{
			SubqueryWork:   class.subqueryWork,
			WorkPerHint:    class.workPerHint,
			LatenessFactor: class.admission.latenessFactor,
			ProbeLimit:     class.admission.probeLimit,
		})
	}
	return estimates
}

// DescribeReplicas tells what the Scheduler knows of the replicas, for a person to read: a line of what concerns
// all, then a line for each replica that is not removed. The words in it are those of the page that shows it, which
// operators know.
func (c *Scheduler) DescribeReplicas() string {
	var text strings.Builder
	fmt.Fprintf(&text, "lanes %.2f copies %.1f extras %d taken %d open %d\n",
		c.estimates.parallelism, c.hedges.tokens, len(c.retries.extras), len(c.retries.arrivals), len(c.open))
	for _, replica := range c.replicas.all {
		if replica.state != Removed {
			c.describeReplica(&text, replica)
		}
	}
	return text.String()
}

func (c *Scheduler) describeReplica(text *strings.Builder, replica *replicaState) {
	fmt.Fprintf(text, "replica %d: pace %.3g cap %.0f", replica.id, replica.slowdown, replica.limit)
	fmt.Fprintf(text, " out %d (%v) held %v", len(replica.outstanding), replica.outstandingWork, replica.queuedWork)
	fmt.Fprintf(text, " aside %v credit %.1f", replica.ejectedForAny(), replica.retryTokens)
	fmt.Fprintf(text, " recent %.3g usual %.3g", replica.recentLatency, replica.usualLatency)
	fmt.Fprintf(text, " cold %v", c.slowStart.warmingUp(replica, c.now))
	fmt.Fprintf(text, " trial in %v gap %v\n", replica.nextProbeAt-c.now, replica.probeInterval)
}
