package soak

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// class is a class of queries, as the settings have it.
type class struct {
	name       string
	effect     string // the settings' word for whether it may run more than once
	deadline   time.Duration
	minShare   float64 // of the shards that an answer with success has to hold
	idempotent bool
}

// The deployment that every soak plays.
const (
	coordinatorCount = 12
	cells            = 2
	replicasPerCell  = 5
	shardCount       = 24
	maxBatch         = 2 // subqueries that a frame may hold
	maxAttempts      = 3 // of a subquery

	connectTimeout     = 250 * time.Millisecond  // of even seeds
	longConnectTimeout = 1300 * time.Millisecond // of odd seeds: a connection may come up at its second SYN
	idleTimeout        = 3 * time.Second         // a connection to a replica is closed after so long without a frame
	drainGrace         = time.Second             // after its notification a draining replica gets nothing new

	replicaCores = 3
	meanWork     = 40 * time.Millisecond // of a subquery, on a core

	overloadMultiple = 2.0                     // a replica falls under this multiple of what it can do,
	overloadWindow   = 1500 * time.Millisecond // over so long
	startCapacity    = 0.1                     // share of its capacity that a replica has at its start
	warmAfter        = 20 * time.Second        // age at which it has all

	minBudget    = 3    // attempts beyond the first in a budgetSpan, whatever was taken,
	budgetRatio  = 0.04 // and so many more for each query and subquery taken
	budgetWindow = 5 * time.Second
)

var classes = []*class{
	{name: "look", effect: "pure", deadline: 1500 * time.Millisecond, minShare: 1, idempotent: true},
	{name: "claim", effect: "side_effect", deadline: 1500 * time.Millisecond, minShare: 1},
	{name: "some", effect: "pure", deadline: 1200 * time.Millisecond, minShare: 0.3, idempotent: true},
}

// longestDeadline is that of the class with the longest.
func longestDeadline() (longest time.Duration) {
	for _, class := range classes {
		longest = max(longest, class.deadline)
	}
	return longest
}

// settingsJSON are the deployment's as JSON.
func settingsJSON(seed uint64) string {
	connect := connectTimeout
	if seed%2 == 1 {
		connect = longConnectTimeout
	}
	return fmt.Sprintf(`{"balancers":%d,"bounds":{"connectTimeout":%d,"idleClose":%d,"maxAttempts":%d,"maxOpen":400,
"mayCancel":true,"multiplex":8,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":%d,"callCost":0,"cells":%d,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],
"leastShare":[1.0,1.0,0.3],"partialEarns":[0.9,0.9,0.9],"ranges":%d,"span":1},
"guarantees":{"answerSlack":20000,"stopSendingWithin":%d,"tipMultiple":%v,"overloadFor":%d,"startCapacity":%v,
"warmAfter":%d,"minExtra":%d,"extraRatio":%v,"ratioSpan":%d},
"lanes":[%s],"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`,
		coordinatorCount, connect.Microseconds(), idleTimeout.Microseconds(), maxAttempts,
		maxBatch, cells, shardCount,
		drainGrace.Microseconds(), overloadMultiple, overloadWindow.Microseconds(), startCapacity,
		warmAfter.Microseconds(), minBudget, budgetRatio, budgetWindow.Microseconds(),
		classSettingsJSON())
}

// classSettingsJSON are the classes as the settings list them.
func classSettingsJSON() string {
	var all []string
	for _, class := range classes {
		objective := class.deadline / 2
		all = append(all, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"effect":%q}`,
			class.name, objective.Microseconds(), class.deadline.Microseconds(), class.effect))
	}
	return strings.Join(all, ",")
}

// warmUpAllowance is how many subqueries of mean work the settings allow a replica in the overload window at an age,
// all coordinators together; 0 once it is warm.
func warmUpAllowance(age time.Duration) float64 {
	if age >= warmAfter+overloadWindow {
		return 0
	}
	capacity := startCapacity + (1-startCapacity)*min(1, age.Seconds()/warmAfter.Seconds())
	return overloadMultiple * capacity * replicaCores * overloadWindow.Seconds() / meanWork.Seconds()
}

// manyArrivalsThreshold is the allowance from which on the limit lies two standard deviations above it; below it is three.
const manyArrivalsThreshold = 30

// warmUpLimit is the number of arrivals from which on a replica that warms up falls (STANDING.md): the work of so many
// is above the allowance nearly for certain, though each one's work is drawn.
func warmUpLimit(allowance float64) float64 {
	if allowance < manyArrivalsThreshold {
		return allowance + 3*math.Sqrt(allowance) + 3
	}
	return allowance + 2*math.Sqrt(allowance) + 2
}
