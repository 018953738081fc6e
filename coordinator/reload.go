package coordinator

import (
	"context"
	"errors"
	"maps"
	"time"
)

const (
	rereadInterval = 250 * time.Millisecond // between tries to read a file that may be partly written
	maxRereads     = 40                     // after them the old configuration stays until the next reload
)

var errNoDiscoveryAddress = errors.New("ROUTER_CONFIG: the platform file has no address of discovery")

// Reload is called at SIGHUP. It reads the platform file and the TLS files again and applies what can change while
// the process runs: the address of discovery and the certificates. It may be called from any goroutine at any time; a
// later call supersedes an earlier one.
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

// readUntilUsable reads the platform file, with retries because the file may be in the middle of being replaced. The
// old configuration stays in effect until a read succeeds.
func (c *Coordinator) readUntilUsable(ctx context.Context, path string) {
	for try := range maxRereads {
		deployment, err := readReloaded(path)
		if err == nil {
			c.loop.Post(func() {
				if ctx.Err() == nil {
					c.reconfigure(deployment)
				}
			})
			return
		}
		if try == 0 {
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

// reconfigure applies a new configuration. It ignores the endpoint list in it, which may be older than the known one.
// The address of discovery is applied only if it has changed in the file; otherwise an override from the environment
// stays in effect.
func (c *Coordinator) reconfigure(deployment *Deployment) {
	c.counts.Reloads++
	current := c.deployment
	c.log.Printf("event=reloaded discovery=%s", deployment.Discovery)
	if deployment.Limits != current.Limits || !maps.Equal(deployment.settings, current.settings) {
		c.log.Printf("event=restart_needed reason=%q", "changed limits and settings take effect only after a restart")
	}
	if deployment.discoveryInFile != current.discoveryInFile {
		current.discoveryInFile = deployment.discoveryInFile
		c.discovery.MoveTo(deployment.discoveryInFile)
	}
}
