package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// What a co-ordinator believes, for those who watch it. Nothing here chooses anything.

// Belief is what is believed of one track.
type Belief struct {
	Work    time.Duration // of a part
	Hint    float64       // work for each unit of hint
	Longer  float64       // times the expected time that its queries may take
	Trickle float64       // let in against the belief at a time
}

// Beliefs tells what is believed of each track, in the order of the settings.
func (c *Coordinator) Beliefs() []Belief {
	var all []Belief
	for n := range c.tracks {
		t := &c.tracks[n]
		all = append(all, Belief{Work: t.unit, Hint: t.hintUnit, Longer: t.longer, Trickle: t.trickle})
	}
	return all
}

// Fleet tells what is believed of the replicas, a line for each that is not gone, for a person to read.
func (c *Coordinator) Fleet() string {
	var s strings.Builder
	fmt.Fprintf(&s, "lanes %.2f copies %.1f extras %d taken %d open %d\n", c.lanes, c.copies, len(c.extras), len(c.taken),
		len(c.open))
	for r := range c.id {
		if c.life[r] == Left {
			continue
		}
		fmt.Fprintf(&s, "replica %d: pace %.3g cap %.0f out %d (%v) held %v aside %v credit %.1f recent %.3g usual %.3g cold %v trial in %v gap %v\n",
			c.id[r], c.pace[r], c.limit[r], len(c.outs[r]), c.outWork[r], c.heldWork[r],
			slices.Contains(c.aside[r], true), c.credit[r], c.recent[r], c.usual[r], c.coldFor(replica(r)), c.trialAt[r]-c.now, c.trialGap[r])
	}
	return s.String()
}
