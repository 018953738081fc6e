package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
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
	bindWait     = 2 * time.Second // for an address that is taken, or a shortage of the machine
	longestWaits = 10              // cut-offs of a track; a client that says it waits for longer cannot mean it
)

// Coordinator is one co-ordinator. Its fields belong to the goroutine that takes the turns, but for those
// that say otherwise.
type Coordinator struct {
	loop       *eventloop.Loop
	deployment *Deployment
	log        *log.Logger
	Trace      bool // a line for each query and attempt; to be set before Serve

	gossip        *gossip
	scheduler     *scheduler.Scheduler
	config        scheduler.Config
	shadow        *scheduler.Config // under which decisions are counted and not acted on; nil: none
	classes       map[string]scheduler.ClassIndex
	zones         map[string]scheduler.ZoneIndex
	tenants       map[string]scheduler.TenantIndex
	shards        int
	maxWait       map[string]time.Duration    // by track: what a client may say that it waits
	effects       map[string]invariant.Effect // by track: what a repeat would do
	hasSecondStep map[string]bool             // tracks with a second step, which the protocol has not: nothing of them can be answered
	objectives    map[string]time.Duration    // times, by track
	maxOpen       int
	maxAttempts   int // of a subquery; 0: any number
	counts        Counts
	admission     admission
	limitedLog    limitedLog

	queries            map[scheduler.RequestID]*queryState    // open ones
	queriesByRequestID map[string]*queryState                 // the same by the client's id
	subqueries         map[scheduler.RequestID]*subqueryState // of open queries, or with attempts out
	arriving           *client                                // whose request is looked at in this turn and is not among them yet
	openWork           int                                    // open queries and their unanswered subqueries
	lastID             scheduler.RequestID
	lastNumber         scheduler.QueryNumber

	twoPhase      twoPhaseQueries
	fleet         fleet
	list          list
	front         front
	refusedWrites refusedWrites
	ready         atomic.Bool  // queries can be served; read by all
	shuttingDown  atomic.Bool  // told to end; read by all
	shutdownAt    atomic.Int64 // when, as time since the process' start; set before
	clientsGone   bool         // and no client can come any more
	drivers       sync.WaitGroup

	stopReading context.CancelFunc // of a configuration that is read anew
}

// New makes a co-ordinator; it opens nothing yet.
func New(d *Deployment, to *log.Logger) (*Coordinator, error) {
	c := &Coordinator{
		loop: eventloop.New(), deployment: d, log: to, limitedLog: limitedLog{log: to},
		classes:            map[string]scheduler.ClassIndex{},
		maxWait:            map[string]time.Duration{},
		effects:            map[string]invariant.Effect{},
		hasSecondStep:      map[string]bool{},
		objectives:         map[string]time.Duration{},
		zones:              map[string]scheduler.ZoneIndex{},
		tenants:            map[string]scheduler.TenantIndex{},
		queries:            map[scheduler.RequestID]*queryState{},
		queriesByRequestID: map[string]*queryState{},
		subqueries:         map[scheduler.RequestID]*subqueryState{},
		list:               list{boots: incarnation.New()},
		counts:             Counts{Refused: map[invariant.Reason]int{}},

		stopReading: func() {},
	}
	c.admission.start(d.Limits.Cores, to)
	if err := d.validate(); err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if err := c.configure(d); err != nil {
		return nil, err
	}
	for n, name := range d.names("zones") {
		c.zones[name] = scheduler.ZoneIndex(n)
	}
	for n, name := range d.names("orgs") {
		c.tenants[name] = scheduler.TenantIndex(n)
	}
	var err, bad error
	c.shards, err = d.wholeNumber("familyInfo.ranges", 0)
	if c.shards == 0 {
		err = errors.New("setting familyInfo.ranges is missing")
	}
	bad = errors.Join(bad, err)
	c.maxOpen, err = d.wholeNumber("bounds.maxOpen", math.MaxInt32)
	bad = errors.Join(bad, err)
	c.maxAttempts = c.config.MaxAttempts
	if bad = errors.Join(bad, c.fleet.begin(c, d), c.twoPhase.begin(d, &c.config)); bad != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", bad)
	}
	unused := d.unsupportedSettings(len(c.fleet.installation.Gossip.Peers) > 0)
	for _, name := range slices.Sorted(maps.Keys(unused)) {
		to.Printf("event=not_used setting=%s value=%q holds=%q", name, d.settings[name], unused[name])
	}
	if err := d.checkPeersAndSizes(c.fleet.installation); err != nil {
		return nil, err
	}
	return c, c.begin()
}

// configure reads the typed configuration that queries are served and decided with.
func (c *Coordinator) configure(d *Deployment) (err error) {
	if c.config, c.shadow, err = d.schedulerConfigs(); err != nil {
		return err
	}
	fetches := strings.Split(d.settings["familyInfo.classFetch"], ",")
	for n, class := range c.config.Classes {
		c.hasSecondStep[class.Name] = n < len(fetches) && strings.Trim(fetches[n], "0.-") != ""
		c.classes[class.Name] = scheduler.ClassIndex(n)
		c.maxWait[class.Name] = longestWaits * class.Deadline
		c.objectives[class.Name] = class.Objective
		c.effects[class.Name] = class.Effect
	}
	return nil
}

// begin starts the module from nothing but the list as it was last held.
func (c *Coordinator) begin() error {
	module, err := scheduler.New(c, c.deployment.seed(), c.config)
	if err != nil {
		return fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if c.shadow != nil {
		if err := module.EnableShadow(*c.shadow); err != nil {
			return fmt.Errorf("installation: watch.settings: %w", err)
		}
	}
	c.scheduler = module
	return nil
}

// Serve serves until the context ends, then answers what is open and returns nil.
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
	c.list.stop()
	c.fleet.stop()
	c.gossip.close()
	c.drivers.Wait()
	c.log.Printf("event=ended %s", c.countersLine())
	return nil
}

// listen opens the listener. One that has ended a moment ago may still have the address, and the machine may lack
// something for a moment.
func listen(addr string) (l net.Listener, err error) {
	for end := time.Now().Add(bindWait); ; time.Sleep(bindWait / 20) {
		l, err = net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) && !netconn.IsShortage(err) || time.Now().After(end) {
			return l, err
		}
	}
}

func (c *Coordinator) endIteration() {
	c.scheduler.Decide(c.loop.Now())
	c.fleet.flush()
	if c.admission.update(c.loop.Now()) {
		c.scheduler.ReadDelayed(c.loop.Now(), c.admission.readDelay())
	}
}

// recoverFromPanic starts the module anew after a panic in a turn and scraps what was open. Guards against: a fault
// that one query brings out. Should also cover: any other panic in a turn. Could hurt: the module
// forgets what it has learned; what the rules count, it keeps.
func (c *Coordinator) recoverFromPanic(cause string) {
	c.counts.Panics++
	c.log.Printf("event=broken cause=%q", cause)
	if k := c.arriving; k != nil {
		c.arriving = nil
		k.answer(plainly(http.StatusInternalServerError, "scrapped"))
	}
	for _, q := range c.queriesInOrder() {
		for _, p := range q.subqueries {
			for n := range p.attempts {
				c.CancelAttempt(p.id, scheduler.AttemptNumber(n))
			}
		}
		c.Fail(q.id)
	}
	told := c.loop.TakeNextIteration()
	counted := c.scheduler.Ledger()
	if err := c.begin(); err != nil {
		c.log.Printf("event=broken cause=%q", err)
	}
	c.scheduler.Resume(counted)
	for _, do := range told { // the new module knows none of them; what holds their places lets go
		do()
	}
	clear(c.subqueries)
	c.list.retell()
}

// beginShutdown begins the end: clients are asked to go elsewhere, and those that still come are served.
func (c *Coordinator) beginShutdown() {
	c.log.Printf("event=leaving %s", c.countersLine())
	c.shutdownAt.Store(int64(c.loop.Since(time.Now())))
	c.shuttingDown.Store(true)
	c.front.leave(func() { c.loop.Post(func() { c.clientsGone = true }) })
}

func (c *Coordinator) finished() bool { return c.clientsGone && len(c.queries) == 0 }

func (c *Coordinator) trace(format string, args ...any) {
	if c.Trace {
		c.log.Printf("t=%.4f "+format, append([]any{c.loop.Now().Seconds()}, args...)...)
	}
}

// logLimited logs what others can cause as often as they like.
func (c *Coordinator) logLimited(format string, args ...any) {
	c.limitedLog.printf(c.loop.Now(), format, args...)
}

// Log is the module's word for the log.
func (c *Coordinator) Log(text string) { c.log.Printf("event=decided words=%q", text) }

// ScheduleWakeup tells the module when a time has passed.
func (c *Coordinator) ScheduleWakeup(name string, in time.Duration) {
	c.loop.After(in, name, func() { c.scheduler.Wakeup(c.loop.Now(), name) })
}

// PollEndpoints asks discovery to tell of changes.
func (c *Coordinator) PollEndpoints() { c.list.follow() }
