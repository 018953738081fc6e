package soak

import (
	"math/rand/v2"
	"time"
)

// takeAgentDown takes a discovery agent down for a while.
func takeAgentDown(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	agent := coordinator.agent()
	agent.setDown(true)
	time.Sleep(drawDuration(random, 200*time.Millisecond, 4*time.Second))
	agent.setDown(false)
	return coordinator.name
}

// agentFault returns an injector of an instantaneous fault of a discovery agent.
func agentFault(inject func(*agent)) injector {
	return func(soak *Soak, random *rand.Rand) string {
		coordinator := soak.drawCoordinator(random)
		inject(coordinator.agent())
		return coordinator.name
	}
}

// sendFullLists makes a discovery agent answer watches with full lists for a while.
func sendFullLists(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	agent := coordinator.agent()
	agent.setSendsFullLists(true)
	time.Sleep(drawDuration(random, 500*time.Millisecond, 3*time.Second))
	agent.setSendsFullLists(false)
	return coordinator.name
}
