package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// countersLine returns all counters, for the counters page and for the log lines at shutdown.
func (c *Coordinator) countersLine() string {
	clients := c.server.Counts()
	line := &counterLine{}
	line.add("accepted", clients.Accepted)
	line.add("evicted", clients.Evicted)
	line.add("shed", clients.Shed)
	line.add("accept_failed", clients.AcceptFailures)
	line.add("busy", c.admission.shed.Load())
	line.add("share", fmt.Sprintf("%.2f", c.admission.controller.Share()))
	line.add("wall_clock_distrusted", c.incarnations.Distrusted())
	if c.gossip != nil {
		line.add("stranger_peer_messages", c.gossip.unknownSenders.Load())
	}
	c.addShadowCounts(line)
	return c.counts.line(len(c.queries)) + " " + line.text.String()
}

// addShadowCounts adds the results of shadow evaluation, if it is enabled.
func (c *Coordinator) addShadowCounts(line *counterLine) {
	counts, enabled := c.scheduler.ShadowCounts()
	if !enabled {
		return
	}
	line.add("watched", counts.Queries)
	line.add("would_turn_back", counts.WouldReject)
	line.add("would_let_in", counts.WouldAdmit)
	line.add("watched_parts", counts.Subqueries)
	line.add("would_go_elsewhere", counts.WouldPlaceElsewhere)
	line.add("watched_legs", counts.Attempts)
	line.add("would_time_out_otherwise", counts.WouldTimeOutOtherwise)
	line.add("would_not_copy", counts.WouldNotHedge)
	line.add("would_copy", counts.WouldHedge)
}

// estimatesPage returns the estimates for classes and replicas in readable form.
func (c *Coordinator) estimatesPage() string {
	var page strings.Builder
	estimates := c.scheduler.ClassEstimates()
	for _, name := range slices.Sorted(maps.Keys(c.classes)) {
		if twoPhase := c.twoPhase.classes[name]; twoPhase != nil {
			fmt.Fprintf(&page, "questions of track=%s %s\n", name, twoPhase)
		}
		estimate := estimates[c.classes[name].index]
		fmt.Fprintf(&page, "track=%s work=%v hint=%.3g longer=%.2f trickle=%.0f\n", name,
			estimate.SubqueryWork, estimate.WorkPerHint, estimate.LatenessFactor, estimate.TrialLimit)
	}
	share := c.admission.controller.Share()
	fmt.Fprintf(&page, "share=%.2f core=%.2f\n%s", share, c.admission.cpu.usedShare, c.scheduler.DescribeReplicas())
	return page.String()
}
