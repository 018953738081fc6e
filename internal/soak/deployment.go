package soak

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// class is a class of queries as defined in the settings.
type class struct {
	name       string
	effect     string // value in the settings that says whether a subquery may run more than once
	deadline   time.Duration
	minShare   float64 // share of the shards that a successful answer must contain
	idempotent bool
}

// The deployment that every soak runs.
const (
	coordinatorCount = 12
	cells            = 2
	replicasPerCell  = 5
	shardCount       = 24
	maxBatch         = 2 // subqueries in a frame
	maxAttempts      = 3 // attempts of a subquery

	connectTimeout     = 250 * time.Millisecond  // for even seeds
	longConnectTimeout = 1300 * time.Millisecond // for odd seeds: long enough to connect on the second SYN
	idleTimeout        = 3 * time.Second         // time without a frame after which a connection to a replica is closed
	drainGrace         = time.Second             // how long a notified co-ordinator may send to a draining replica

	replicaCores = 3
	meanWork     = 40 * time.Millisecond // mean time of a subquery on one core

	overloadMultiple = 2.0                     // a replica fails at this multiple of its capacity
	overloadWindow   = 1500 * time.Millisecond // if sustained over this time
	startCapacity    = 0.1                     // share of its full capacity that a cold replica has
	warmAfter        = 20 * time.Second        // age at which a replica has its full capacity

	minBudget    = 3    // attempts beyond the first that are always allowed in a budgetWindow
	budgetRatio  = 0.04 // further ones for each query and subquery that clients request in it
	budgetWindow = 5 * time.Second
)

var classes = []*class{
	{name: "look", effect: "pure", deadline: 1500 * time.Millisecond, minShare: 1, idempotent: true},
	{name: "claim", effect: "side_effect", deadline: 1500 * time.Millisecond, minShare: 1},
	{name: "some", effect: "pure", deadline: 1200 * time.Millisecond, minShare: 0.3, idempotent: true},
}

// settingsJSON returns the settings of the deployment with the given classes.
func settingsJSON(seed uint64, classes []*class) string {
	timeout := connectTimeout
	if seed%2 == 1 {
		timeout = longConnectTimeout
	}
	return fmt.Sprintf(`{"balancers":%d,"bounds":{"connectTimeout":%d,"idleClose":%d,"maxAttempts":%d,"maxOpen":400,
"mayCancel":true,"multiplex":8,"secondCopies":true,"retryAfter":false},"discovery":"automatic",
"familyInfo":{"batch":%d,"callCost":0,"cells":%d,"classFetch":[0,0,0],"classNeed":[1.0,1.0,1.0],
"leastShare":[1.0,1.0,0.3],"partialEarns":[0.9,0.9,0.9],"ranges":%d,"span":1},
"guarantees":{"answerSlack":20000,"stopSendingWithin":%d,"tipMultiple":%v,"overloadFor":%d,"startCapacity":%v,
"warmAfter":%d,"minExtra":%d,"extraRatio":%v,"ratioSpan":%d},
"lanes":[%s],"orgs":[],"tariffs":{},"zone":0,"zones":["west"]}`,
		coordinatorCount, timeout.Microseconds(), idleTimeout.Microseconds(), maxAttempts,
		maxBatch, cells, shardCount,
		drainGrace.Microseconds(), overloadMultiple, overloadWindow.Microseconds(), startCapacity,
		warmAfter.Microseconds(), minBudget, budgetRatio, budgetWindow.Microseconds(),
		classSettingsJSON(classes))
}

// classSettingsJSON returns the elements of the list of classes in the settings.
func classSettingsJSON(classes []*class) string {
	var all []string
	for _, class := range classes {
		objective := class.deadline / 2
		all = append(all, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"effect":%q}`,
			class.name, objective.Microseconds(), class.deadline.Microseconds(), class.effect))
	}
	return strings.Join(all, ",")
}

// warmUpAllowance returns how many subqueries of mean work the settings allow a replica of a given age in one overload
// window, from all co-ordinators together. It is 0 once the replica has been warm for a whole window.
func warmUpAllowance(age time.Duration) float64 {
	if age >= warmAfter+overloadWindow {
		return 0
	}
	capacity := startCapacity + (1-startCapacity)*min(1, age.Seconds()/warmAfter.Seconds())
	return overloadMultiple * capacity * replicaCores * overloadWindow.Seconds() / meanWork.Seconds()
}

// manyArrivalsThreshold is the allowance from which on warmUpLimit adds two standard deviations instead of three.
const manyArrivalsThreshold = 30

// warmUpLimit returns the number of arrivals above which a replica that is warming up is overloaded (the operators'
// limit). The work of each arrival is random; above the limit, their total almost certainly exceeds the allowance.
func warmUpLimit(allowance float64) float64 {
	if allowance < manyArrivalsThreshold {
		return allowance + 3*math.Sqrt(allowance) + 3
	}
	return allowance + 2*math.Sqrt(allowance) + 2
}
