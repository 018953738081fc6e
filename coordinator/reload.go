package coordinator

import (
	"context"
	"errors"
	"maps"
	"time"
)

const (
	rereadInterval = 250 * time.Millisecond // between attempts to read a file that may be half written
	maxRereads     = 40                     // then the old configuration stays until the next reload
)

var errNoDiscoveryAddress = errors.New("ROUTER_CONFIG: found no address of discovery, wanted one")

// Reload is called at SIGHUP. It reads the platform file and the TLS files anew and takes up what can change while
// the service runs: the address of discovery, and the certificates. It may be called from any goroutine and at any
// time; of several calls the last counts.
func (c *Coordinator) Reload() {
	c.loop.Post(func() {
		c.drivers.Go(c.replicas.ReloadTLS)
		c.cancelReload()
		ctx, stop := context.WithCancel(c.lifetime)
		c.cancelReload = stop
		path := c.deployment.path
		c.drivers.Go(func() { c.readUntilUsable(ctx, path) })
	})
}

// readUntilUsable reads the platform file until it can be used, as it may be replaced just now. Until then the old
// configuration stays.
func (c *Coordinator) readUntilUsable(ctx context.Context, path string) {
	for attempt := range maxRereads {
		deployment, err := readReloaded(path)
		if err == nil {
			c.loop.Post(func() {
				if ctx.Err() == nil {
					c.reconfigure(deployment)
				}
			})
			return
		}
		if attempt == 0 {
			c.log.Printf("event=reload_failed cause=%q", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rereadInterval):
		}
	}
}

func readReloaded(path string) (*Deployment, error) {
	deployment, err := readFile(path)
	if err != nil {
		return nil, err
	}
	if deployment.Discovery == "" {
		return nil, errNoDiscoveryAddress
	}
	return deployment, nil
}

// reconfigure takes up a new configuration. Its endpoint list is not used: it may be older than the one that is
// known. An address of discovery that the file states as before changes nothing, as the environment may have
// replaced it.
func (c *Coordinator) reconfigure(deployment *Deployment) {
	c.counts.Reloads++
	current := c.deployment
	c.log.Printf("event=reloaded discovery=%s", deployment.Discovery)
	if deployment.Limits != current.Limits || !maps.Equal(deployment.settings, current.settings) {
		c.log.Printf("event=restart_needed reason=%q", "limits and settings have changed; they hold from the start on")
	}
	if deployment.discoveryInFile != current.discoveryInFile {
		current.discoveryInFile = deployment.discoveryInFile
		c.discovery.MoveTo(deployment.discoveryInFile)
	}
}
