package soak

import (
	"math/rand/v2"
	"time"
)

// takeAgentDown has a discovery agent answer nothing and learn nothing for a while.
func takeAgentDown(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	agent := coordinator.agent()
	agent.setDown(true)
	time.Sleep(drawDuration(random, 200*time.Millisecond, 4*time.Second))
	agent.setDown(false)
	return coordinator.name
}

// agentFault does something to a coordinator's discovery agent that is over at once.
func agentFault(do func(*agent)) injector {
	return func(soak *Soak, random *rand.Rand) string {
		coordinator := soak.drawCoordinator(random)
		do(coordinator.agent())
		return coordinator.name
	}
}

// sendFullLists has a discovery agent answer its watches with full lists for a while.
func sendFullLists(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	agent := coordinator.agent()
	agent.setSendsFullLists(true)
	time.Sleep(drawDuration(random, 500*time.Millisecond, 3*time.Second))
	agent.setSendsFullLists(false)
	return coordinator.name
}
