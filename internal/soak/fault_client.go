package soak

import (
	"math/rand/v2"
	"time"
)

// targetClients is the target of faults that affect all clients.
const targetClients = "clients"

func disconnectClients(soak *Soak, random *rand.Rand) string {
	soak.clientsDisconnecting.Store(true)
	time.Sleep(drawDuration(random, 200*time.Millisecond, time.Second))
	soak.clientsDisconnecting.Store(false)
	return targetClients
}

func sendBurst(soak *Soak, random *rand.Rand) string {
	soak.burst.Store(true)
	time.Sleep(drawDuration(random, 300*time.Millisecond, 1500*time.Millisecond))
	soak.burst.Store(false)
	return targetClients
}

// openIdleConnections opens many connections to random co-ordinators and sends no request on them. Its target is only
// one of the co-ordinators, drawn beforehand.
func openIdleConnections(soak *Soak, random *rand.Rand) string {
	coordinator := soak.drawCoordinator(random)
	client := &client{soak: soak, random: random}
	var idle []*clientConn
	for range 20 * coordinatorCount {
		if conn := client.dial(); conn != nil {
			idle = append(idle, conn)
		}
	}
	time.Sleep(drawDuration(random, 100*time.Millisecond, 1500*time.Millisecond))
	for _, conn := range idle {
		conn.Close()
	}
	return coordinator.name
}
