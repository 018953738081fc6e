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
	time.Sleep(between(random, 200*time.Millisecond, 4*time.Second))
	agent.setDown(false)
	return coordinator.name
}

// onAgent does something to a coordinator's discovery agent that is over at once.
func onAgent(do func(*agent)) strike {
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
	agent.setFullLists(true)
	time.Sleep(between(random, 500*time.Millisecond, 3*time.Second))
	agent.setFullLists(false)
	return coordinator.name
}
