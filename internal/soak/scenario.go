package soak

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// Scenario selects what a seed plays.
type Scenario string

// The scenarios.
const (
	// ScenarioFaults has faults of all kinds. Restarted processes end by themselves.
	ScenarioFaults Scenario = "faults"

	// ScenarioRestarts has in addition planned restarts by the terms of the protocol page: clients use open connections
	// until SIGKILL, which comes at the earliest time, and other signals come in series before it. Behind some replies
	// their connection is disrupted. Depending on the seed, deadlines are short, values have one or several sizes, and
	// clients without requests fill some processes.
	ScenarioRestarts Scenario = "restarts"
)

const (
	// maxCountedDeadline is the limit for the longest deadline in the time from SIGTERM to SIGKILL.
	maxCountedDeadline = 3 * time.Second

	shortDeadlineDivisor = 3.5 // of the deadlines, with every other seed
	crowdInterval        = 3   // one seed in so many has a crowd
	smallestValue        = 40  // bytes
)

// valueSizes are the numbers of different sizes of values, by seed.
var valueSizes = []int{1, 2, 23, 3000}

// setting is what a seed of a scenario plays with.
type setting struct {
	classes    []*class
	valueSizes int  // number of sizes; 0: values are as long as their text
	crowd      bool // clients without requests fill some processes
	restarts   bool // planned restarts end with SIGKILL at the earliest time
	// disruptsBehindReplies: behind some replies the connection is reset, ends in order, or carries bytes of no use.
	disruptsBehindReplies bool
}

func newSetting(scenario Scenario, seed uint64) setting {
	if scenario != ScenarioRestarts {
		return setting{classes: classes}
	}
	chosen := setting{
		classes:    classes,
		valueSizes: valueSizes[seed%uint64(len(valueSizes))],
		crowd:      seed%crowdInterval == 0,
		restarts:   true,
	}
	chosen.disruptsBehindReplies = true
	if seed%2 == 0 {
		chosen.classes = withShortDeadlines(classes)
	}
	return chosen
}

func withShortDeadlines(all []*class) []*class {
	shortened := slices.Clone(all)
	for index, class := range all {
		short := *class
		short.deadline = time.Duration(float64(class.deadline) / shortDeadlineDivisor)
		shortened[index] = &short
	}
	return shortened
}

// longestDeadline returns the longest deadline of all classes.
func (s *setting) longestDeadline() (longest time.Duration) {
	for _, class := range s.classes {
		longest = max(longest, class.deadline)
	}
	return longest
}

// earliestKill returns the time from SIGTERM to the earliest SIGKILL.
func (s *setting) earliestKill() time.Duration {
	return shutdownAllowance + min(s.longestDeadline(), maxCountedDeadline)
}

// padded pads a value to one of the sizes of the setting, which follows from the subquery.
func (s *setting) padded(value, subquery string) string {
	if s.valueSizes == 0 {
		return value
	}
	hash := fnv.New32a()
	hash.Write([]byte(subquery))
	size := smallestValue + int(hash.Sum32()%uint32(s.valueSizes))
	return value + strings.Repeat("x", max(0, size-len(value)))
}
