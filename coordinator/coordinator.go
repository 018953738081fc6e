package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"terntray/eventloop"
	"terntray/incarnation"
	"terntray/internal/netconn"
	"terntray/invariant"
	"terntray/scheduler"
)

const (
	bindTimeout       = 2 * time.Second // for an address that is taken, or a shortage of the machine
	bindRetryInterval = bindTimeout / 20
)

// Coordinator is one co-ordinator. Its fields belong to the event loop, except those that say otherwise.
type Coordinator struct {
	loop       *eventloop.Loop
	deployment *Deployment
	log        *log.Logger
	Trace      bool // a line for each query and attempt; set before Serve

	// Configuration, read once by New and not changed.
	config      scheduler.Config
	shadow      *scheduler.Config // under which decisions are counted and not acted on; nil: none
	classes     map[string]class  // by name
	maxTimeouts map[string]time.Duration
	zones       map[string]scheduler.ZoneIndex
	tenants     map[string]scheduler.TenantIndex
	shards      int
	maxOpen     int // of openWork

	scheduler  *scheduler.Scheduler // a new one after a panic
	admission  admission
	twoPhase   twoPhaseQueries
	counts     Counts
	limitedLog limitedLog

	// What is open.
	queries            map[scheduler.RequestID]*queryState
	queriesByRequestID map[string]*queryState                 // the same by their clients' ids
	subqueries         map[scheduler.RequestID]*subqueryState // of open queries, or with attempts out
	arriving           *client                                // whose request is looked at and not open yet; else nil
	openWork           int                                    // open queries and their unanswered subqueries
	lastID             scheduler.RequestID
	lastNumber         scheduler.QueryNumber

	// Drivers. Their goroutines notify the loop by posting to it.
	front         front
	fleet         fleet
	list          list
	gossip        *gossip // nil: no messages between co-ordinators
	refusedWrites refusedWrites
	stopReading   context.CancelFunc // ends the reading of the configuration file for a reload
	drivers       sync.WaitGroup

	ready        atomic.Bool  // queries can be served; read by any goroutine
	shuttingDown atomic.Bool  // read by any goroutine
	shutdownAt   atomic.Int64 // loop time; set before shuttingDown
	clientsGone  bool         // shutting down, and no client can connect any more
}

// New makes a co-ordinator from its configuration; an error names what is wrong with that. It opens nothing yet.
func New(d *Deployment, logger *log.Logger) (*Coordinator, error) {
	c := &Coordinator{
		loop:       eventloop.New(),
		deployment: d,
		log:        logger,
		limitedLog: limitedLog{log: logger},
		counts:     Counts{Refused: map[invariant.Reason]int{}},

		queries:            map[scheduler.RequestID]*queryState{},
		queriesByRequestID: map[string]*queryState{},
		subqueries:         map[scheduler.RequestID]*subqueryState{},

		list:        list{boots: incarnation.New()},
		stopReading: func() {},
	}
	c.admission.start(d.Limits.Cores, logger)
	if err := c.configure(); err != nil {
		return nil, err
	}
	return c, c.startScheduler()
}

// startScheduler starts a scheduler that knows nothing but its configuration.
func (c *Coordinator) startScheduler() error {
	started, err := scheduler.New(c, c.deployment.seed(), c.config)
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

// Serve serves until the context ends, then answers what is open and returns nil. An error says why it cannot serve.
func (c *Coordinator) Serve(ctx context.Context) error {
	listener, err := listen(c.deployment.Listen)
	if err != nil {
		return fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	if err := c.startGossip(c.fleet.installation.Gossip); err != nil {
		_ = listener.Close()
		return err
	}
	c.list.start(c)
	c.front.start(c, listener)
	c.watchCertificates()
	c.log.Printf("event=serving name=%s listen=%s replicas=%d",
		c.deployment.Name, listener.Addr(), len(c.fleet.all))
	context.AfterFunc(ctx, func() { c.loop.Post(c.beginShutdown) })
	c.loop.Run(c.endIteration, c.recoverFromPanic, c.finished)
	c.stopDrivers()
	c.log.Printf("event=ended %s", c.countersLine())
	return nil
}

// listen opens the listener. A process that has ended a moment ago may still hold the address, and the machine may be
// short of something for a moment.
func listen(addr string) (net.Listener, error) {
	end := time.Now().Add(bindTimeout)
	for {
		listener, err := net.Listen("tcp", addr)
		passing := errors.Is(err, syscall.EADDRINUSE) || netconn.IsShortage(err)
		if !passing || time.Now().After(end) {
			return listener, err
		}
		time.Sleep(bindRetryInterval)
	}
}

// endIteration has the scheduler decide on all that an iteration brought, and has the decisions carried out.
func (c *Coordinator) endIteration() {
	c.scheduler.Decide(c.loop.Now())
	c.fleet.flush()
	if c.admission.update(c.loop.Now()) {
		c.scheduler.ReadDelayed(c.loop.Now(), c.admission.readDelay())
	}
}

// beginShutdown is called at SIGTERM. The process goes on for a while: clients that still connect are served, idle ones
// are asked to go, and each query that is open or still comes gets its answer. Then finished ends the loop.
func (c *Coordinator) beginShutdown() {
	c.log.Printf("event=shutting_down %s", c.countersLine())
	c.shutdownAt.Store(int64(c.loop.Since(time.Now())))
	c.shuttingDown.Store(true)
	c.front.leave(func() { c.loop.Post(func() { c.clientsGone = true }) })
}

// finished reports whether the loop may end: no query is open and none can come.
func (c *Coordinator) finished() bool { return c.clientsGone && len(c.queries) == 0 }

// stopDrivers ends all goroutines but those of clients, which have ended.
func (c *Coordinator) stopDrivers() {
	c.list.stop()
	c.fleet.stop()
	c.gossip.close()
	c.drivers.Wait()
}

// ScheduleWakeup implements scheduler.Host.
func (c *Coordinator) ScheduleWakeup(name string, delay time.Duration) {
	c.loop.After(delay, name, func() { c.scheduler.Wakeup(c.loop.Now(), name) })
}

// PollEndpoints implements scheduler.Host: it asks discovery for the endpoint list and its changes.
func (c *Coordinator) PollEndpoints() { c.list.follow() }

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
