package coordinator

import (
	"context"
	"fmt"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"terntray/config"
	"terntray/connpool"
	"terntray/discovery"
	"terntray/eventloop"
	"terntray/incarnation"
	"terntray/invariant"
	"terntray/replicaconn"
	"terntray/scheduler"
	"terntray/server"
)

// Coordinator is one co-ordinator. Its fields belong to the event loop, unless their comments say otherwise.
type Coordinator struct {
	loop       *eventloop.Loop
	deployment *Deployment
	log        *log.Logger
	Trace      bool // log a line for each query and attempt; set before Serve

	settings
	openState

	scheduler  *scheduler.Scheduler // replaced after a panic
	admission  admission
	twoPhase   twoPhaseQueries
	counts     Counts
	limitedLog limitedLog

	// Drivers. Their goroutines notify the loop by posting to it.
	server        *server.Server
	replicas      *replicaconn.Driver
	discovery     *discovery.Watcher
	gossip        *gossip // nil: no gossip
	refusedWrites refusedWrites
	cancelReload  context.CancelFunc // stops reading the platform file for a reload
	drivers       sync.WaitGroup
	lifetime      context.Context // ends with Serve
	endLifetime   context.CancelFunc

	incarnations  *incarnation.Tracker
	ready         atomic.Bool // reported by /up; read by any goroutine
	clientsClosed bool        // no client is connected and none can connect any more
}

// settings are the values that configure reads from the deployment. They do not change afterwards.
type settings struct {
	schedulerConfig scheduler.Config
	installation    *config.Config    // the installation file, or the defaults if there is none
	shadow          *scheduler.Config // for shadow evaluation, whose decisions are only counted; nil: none
	classes         map[string]class  // by name
	zones           map[string]scheduler.ZoneIndex
	tenants         map[string]scheduler.TenantIndex
	shards          int
	maxOpen         int // limit of openWork
}

// openState holds the open queries, subqueries and attempts. It belongs to the event loop.
type openState struct {
	queries            map[scheduler.RequestID]*queryState
	queriesByRequestID map[string]*queryState // by the Req-Id from the client
	usedIDs            usedIDs
	queriesByClient    map[client]*queryState
	subqueries         map[scheduler.RequestID]*subqueryState // of open queries, or with attempts in flight
	arriving           client                                 // whose query is handled now and not open yet; nil: none
	attemptsInFlight   map[connpool.AttemptID]*attemptState   // sent and not ended
	openWork           int                                    // open queries plus their unanswered subqueries
	lastID             scheduler.RequestID
	lastNumber         scheduler.QueryNumber
}

func newOpenState(limits Limits) openState {
	return openState{
		usedIDs:            newUsedIDs(limits),
		queries:            map[scheduler.RequestID]*queryState{},
		queriesByRequestID: map[string]*queryState{},
		queriesByClient:    map[client]*queryState{},
		subqueries:         map[scheduler.RequestID]*subqueryState{},
		attemptsInFlight:   map[connpool.AttemptID]*attemptState{},
	}
}

// New returns a co-ordinator with the given configuration, or an error if the configuration is invalid. It opens no
// sockets yet.
func New(deployment *Deployment, logger *log.Logger) (*Coordinator, error) {
	c := &Coordinator{
		loop:         eventloop.New(),
		deployment:   deployment,
		log:          logger,
		limitedLog:   limitedLog{log: logger},
		openState:    newOpenState(deployment.Limits),
		incarnations: incarnation.New(),
		cancelReload: func() {},
	}
	c.counts.Refused = map[invariant.Reason]int{}
	c.lifetime, c.endLifetime = context.WithCancel(context.Background())
	c.admission.start(deployment.Limits.Cores, logger)
	if err := c.configure(); err != nil {
		return nil, err
	}
	c.discovery = discovery.New(c.discoveryConfig(), endpointHandler{c}, c.loop, logger)
	c.loop.WaitAfterStall(c.discovery.HasCaughtUp)
	c.server = server.New(c.serverConfig(), clientHandler{c}, c.loop, logger)
	return c, c.startScheduler()
}

// startScheduler replaces the scheduler by a new one in its initial state.
func (c *Coordinator) startScheduler() error {
	started, err := scheduler.New(c, c.deployment.seed(), c.schedulerConfig)
	if err != nil {
		return fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if c.shadow != nil {
		if err := started.EnableShadow(*c.shadow); err != nil {
			return fmt.Errorf("installation: watch.settings: %w", err)
		}
	}
	c.scheduler = started
	return nil
}

// Serve serves clients until the context ends, then answers the open queries and returns nil. It returns an error if
// it cannot start serving.
func (c *Coordinator) Serve(ctx context.Context) error {
	listener, err := server.Listen(c.deployment.Listen)
	if err != nil {
		return fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	if err := c.startGossip(c.installation.Gossip); err != nil {
		_ = listener.Close()
		return err
	}
	c.discovery.Start()
	c.server.Start(listener)
	c.replicas.WatchCertificates()
	c.log.Printf("event=serving name=%s listen=%s replicas=%d",
		c.deployment.Name, listener.Addr(), c.replicas.EndpointCount())
	context.AfterFunc(ctx, func() { c.loop.Post(c.shutDown) })
	c.loop.Run(c.endIteration, c.recoverFromPanic, c.isShutDown)
	c.stopDrivers()
	c.log.Printf("event=ended %s", c.countersLine())
	return nil
}

// endIteration runs the scheduler on all events of an iteration and flushes the resulting writes to replicas.
func (c *Coordinator) endIteration() {
	c.scheduler.Decide(c.loop.Now())
	c.replicas.Flush()
	if c.admission.update(c.loop.Now()) {
		c.scheduler.ReadDelayed(c.loop.Now(), c.admission.readDelay())
	}
}

// stopDrivers ends the drivers' goroutines. Those of client connections have ended before.
func (c *Coordinator) stopDrivers() {
	c.discovery.Stop()
	c.endLifetime()
	c.replicas.Stop()
	c.gossip.close()
	c.replicas.Wait()
	c.drivers.Wait()
}

// ScheduleWakeup implements scheduler.Host.
func (c *Coordinator) ScheduleWakeup(name string, delay time.Duration) {
	c.loop.After(delay, name, func() { c.scheduler.Wakeup(c.loop.Now(), name) })
}

// PollEndpoints implements scheduler.Host. It asks discovery for the endpoint list and its changes.
func (c *Coordinator) PollEndpoints() { c.discovery.Poll() }

// Log implements scheduler.Host.
func (c *Coordinator) Log(text string) { c.log.Printf("event=scheduler message=%q", text) }

// trace logs a line if -trace is set.
func (c *Coordinator) trace(format string, args ...any) {
	if c.Trace {
		c.log.Printf("t=%.4f "+format, append([]any{c.loop.Now().Seconds()}, args...)...)
	}
}

// logLimited writes a rate-limited log line, for events that clients, replicas or peers can cause at any rate.
func (c *Coordinator) logLimited(format string, args ...any) {
	c.limitedLog.printf(c.loop.Now(), format, args...)
}
