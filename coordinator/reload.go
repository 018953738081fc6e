package coordinator

import (
	"context"
	"errors"
	"maps"
	"time"
)

const (
	rereadAfter = 250 * time.Millisecond // a file that cannot be used may be half written
	rereads     = 40                     // times; then the old configuration stays until the next word
)

// Reload reads the configuration file anew and takes up what can change while the service runs: where discovery
// is. It may be called from any goroutine and at any time; of several calls the last counts.
func (c *Coordinator) Reload() {
	c.loop.Post(func() {
		c.drivers.Go(c.rereadTLS)
		c.stopReading()
		ctx, stop := context.WithCancel(c.fleet.context)
		c.stopReading = stop
		path := c.deployment.path
		c.drivers.Go(func() { c.reread(ctx, path) })
	})
}

// reread reads the file until it can be used. Guards against: a file that is replaced while it is read. Should
// also cover: one that comes late. Could hurt: never, the old configuration stays meanwhile.
func (c *Coordinator) reread(ctx context.Context, path string) {
	for n := range rereads {
		d, err := readFile(path)
		if err == nil && d.Discovery == "" {
			err = errors.New("ROUTER_CONFIG: no address of discovery")
		}
		if err == nil {
			c.loop.Post(func() {
				if ctx.Err() == nil {
					c.reconfigure(d)
				}
			})
			return
		}
		if n == 0 {
			c.log.Printf("event=reload_failed cause=%q", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rereadAfter):
		}
	}
}

// reconfigure takes up a new configuration. The list in it may be old and is no news.
func (c *Coordinator) reconfigure(d *Deployment) {
	c.counts.Reloads++
	old := c.deployment
	c.log.Printf("event=reloaded discovery=%s", d.Discovery)
	if d.Limits != old.Limits || !maps.Equal(d.settings, old.settings) {
		c.log.Printf("event=not_taken_up words=%q", "limits and settings hold from the start on; restart for them")
	}
	if d.stated != old.stated { // else what the environment said at the start holds
		old.stated = d.stated
		c.discovery.MoveTo(d.stated)
	}
}
