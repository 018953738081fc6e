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

// Coordinator is one co-ordinator. Its fields belong to the event loop, except those that say otherwise.
type Coordinator struct {
	loop       *eventloop.Loop
	deployment *Deployment
	log        *log.Logger
	Trace      bool // a line for each query and attempt; set before Serve

	settings
	openState

	scheduler  *scheduler.Scheduler // a new one after a panic
	admission  admission
	twoPhase   twoPhaseQueries
	counts     Counts
	limitedLog limitedLog

	// Drivers. Their goroutines notify the loop by posting to it.
	server        *server.Server
	replicas      *replicaconn.Driver
	discovery     *discovery.Watcher
	gossip        *gossip // nil: no messages between co-ordinators
	refusedWrites refusedWrites
	cancelReload  context.CancelFunc // ends the reading of the platform file for a reload
	drivers       sync.WaitGroup
	lifetime      context.Context // ends with Serve
	endLifetime   context.CancelFunc

	incarnations  *incarnation.Tracker
	ready         atomic.Bool // what /up says; read by any goroutine
	clientsClosed bool        // no client is connected and none can connect any more
}

// settings are what configure reads from the deployment; they do not change.
type settings struct {
	schedulerConfig scheduler.Config
	installation    *config.Config    // the installation file; without one, the defaults
	shadow          *scheduler.Config // under which decisions are counted and not acted on; nil: none
	classes         map[string]class  // by name
	zones           map[string]scheduler.ZoneIndex
	tenants         map[string]scheduler.TenantIndex
	shards          int
	maxOpen         int // of openWork
}

// openState is what is open. It belongs to the event loop.
type openState struct {
	queries            map[scheduler.RequestID]*queryState
	queriesByRequestID map[string]*queryState                 // the same by the ids that clients gave them
	queriesByClient    map[client]*queryState                 // and by client
	subqueries         map[scheduler.RequestID]*subqueryState // of open queries, or with attempts out
	arriving           client                                 // whose request is looked at and not open yet; else nil
	attemptsInFlight   map[connpool.AttemptID]*attemptState   // sent, and not ended
	openWork           int                                    // open queries and their unanswered subqueries
	lastID             scheduler.RequestID
	lastNumber         scheduler.QueryNumber
}

func newOpenState() openState {
	return openState{
		queries:            map[scheduler.RequestID]*queryState{},
		queriesByRequestID: map[string]*queryState{},
		queriesByClient:    map[client]*queryState{},
		subqueries:         map[scheduler.RequestID]*subqueryState{},
		attemptsInFlight:   map[connpool.AttemptID]*attemptState{},
	}
}

// New makes a co-ordinator from its configuration; an error names what is wrong with that. It opens nothing yet.
func New(deployment *Deployment, logger *log.Logger) (*Coordinator, error) {
	c := &Coordinator{
		loop:         eventloop.New(),
		deployment:   deployment,
		log:          logger,
		limitedLog:   limitedLog{log: logger},
		openState:    newOpenState(),
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
	c.server = server.New(c.serverConfig(), clientHandler{c}, c.loop, logger)
	return c, c.startScheduler()
}

// startScheduler starts a scheduler that knows nothing but its configuration.
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

// Serve serves until the context ends, then answers what is open and returns nil. An error says why it cannot
// serve.
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
		c.deployment.Name, listener.Addr(), c.replicas.Endpoints())
	context.AfterFunc(ctx, func() { c.loop.Post(c.shutDown) })
	c.loop.Run(c.endIteration, c.recoverFromPanic, c.isShutDown)
	c.stopDrivers()
	c.log.Printf("event=ended %s", c.countersLine())
	return nil
}

// endIteration has the scheduler decide on all that an iteration brought, and has the decisions carried out.
func (c *Coordinator) endIteration() {
	c.scheduler.Decide(c.loop.Now())
	c.replicas.Flush()
	if c.admission.update(c.loop.Now()) {
		c.scheduler.ReadDelayed(c.loop.Now(), c.admission.readDelay())
	}
}

// stopDrivers ends all goroutines but those of clients, which have ended.
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

// PollEndpoints implements scheduler.Host: it asks discovery for the endpoint list and its changes.
func (c *Coordinator) PollEndpoints() { c.discovery.Poll() }

// Log implements scheduler.Host.
func (c *Coordinator) Log(text string) { c.log.Printf("event=scheduler message=%q", text) }

// trace logs a line of -trace.
func (c *Coordinator) trace(format string, args ...any) {
	if c.Trace {
		c.log.Printf("t=%.4f "+format, append([]any{c.loop.Now().Seconds()}, args...)...)
	}
}

// logLimited logs what others can cause as often as they like.
func (c *Coordinator) logLimited(format string, args ...any) {
	c.limitedLog.printf(c.loop.Now(), format, args...)
}
