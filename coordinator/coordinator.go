package coordinator

import (
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"terntray/discovery"
	"terntray/eventloop"
	"terntray/incarnation"
	"terntray/invariant"
	"terntray/overload"
	"terntray/scheduler"
	"terntray/server"
)

const (
	busyLines   = 5 * time.Second // between lines that say that the core is short
	seldomLines = 10              // in a second, of what replicas bring about
)

// Coordinator is one co-ordinator. Its fields belong to the goroutine that takes the turns, but for those
// that say otherwise.
type Coordinator struct {
	loop       *eventloop.Loop
	deployment *Deployment
	log        *log.Logger
	Trace      bool // a line for each query and attempt; to be set before Serve

	peers       *peers
	config      scheduler.Config
	shadow      *scheduler.Config // under which decisions are counted and not acted on; nil: none
	module      *scheduler.Scheduler
	tracks      map[string]scheduler.ClassIndex
	zones       map[string]scheduler.ZoneIndex
	tenants     map[string]scheduler.TenantIndex
	shards      int
	effects     map[string]invariant.Effect // by track: what a repeat would do
	agreed      map[string]time.Duration    // times, by track
	maxOpen     int
	maxAttempts int // of a subquery; 0: any number
	counts      Counts
	core        core
	gate        overload.Controller
	share       atomic.Uint64 // of arrivals to let in, as bits; read by all
	asked       atomic.Uint64 // arrivals so far; by all
	busied      atomic.Uint64 // of them, not let in; by all

	queries    map[scheduler.RequestID]*openQuery // open ones
	byQuery    map[string]*openQuery              // the same by the client's id
	byClient   map[client]*openQuery              // and by the client
	parts      map[scheduler.RequestID]*part      // of open queries, or with attempts out
	arriving   client                             // whose request is looked at in this turn and is not among them yet
	held       int                                // open queries, and parts of theirs that are not in
	lastID     scheduler.RequestID
	lastNumber scheduler.QueryNumber

	questions     questions
	fleet         fleet
	discovery     *discovery.Watcher
	incarnations  *incarnation.Tracker
	server        *server.Server
	withheld      withheld
	ready         atomic.Bool // queries can be served; read by all
	clientsClosed bool        // no client is connected and none can connect any more
	drivers       sync.WaitGroup

	busyAt      time.Duration      // the last line about it
	stopReading context.CancelFunc // of a configuration that is read anew

	seldomAt             time.Duration // begin of the second in which lines are counted
	seldomLeft, unlogged int
}

// New makes a co-ordinator; it opens nothing yet.
func New(d *Deployment, to *log.Logger) (*Coordinator, error) {
	c := &Coordinator{
		loop: eventloop.New(), deployment: d, log: to, core: core{cores: max(1, math.Ceil(d.Limits.Cores))},
		tracks:       map[string]scheduler.ClassIndex{},
		effects:      map[string]invariant.Effect{},
		agreed:       map[string]time.Duration{},
		zones:        map[string]scheduler.ZoneIndex{},
		tenants:      map[string]scheduler.TenantIndex{},
		queries:      map[scheduler.RequestID]*openQuery{},
		byQuery:      map[string]*openQuery{},
		byClient:     map[client]*openQuery{},
		parts:        map[scheduler.RequestID]*part{},
		incarnations: incarnation.New(),
		counts:       Counts{Withheld: map[invariant.Reason]int{}},

		stopReading: func() {}, seldomLeft: seldomLines, busyAt: -busyLines,
	}
	c.share.Store(math.Float64bits(c.gate.Share()))
	if err := d.absurd(); err != nil {
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
	c.shards, err = d.whole("familyInfo.ranges", 0)
	if c.shards == 0 {
		err = errors.New("setting familyInfo.ranges is missing")
	}
	bad = errors.Join(bad, err)
	c.maxOpen, err = d.whole("bounds.maxOpen", math.MaxInt32)
	bad = errors.Join(bad, err)
	c.maxAttempts = c.config.MaxAttempts
	if bad = errors.Join(bad, c.fleet.begin(c, d), c.questions.begin(d, &c.config)); bad != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", bad)
	}
	c.discovery = discovery.New(c.discoveryConfig(), endpointHandler{c}, c.loop, to)
	c.server = server.New(c.serverConfig(), clientHandler{c}, c.loop, to)
	unused := d.notUsed(len(c.fleet.installation.Gossip.Peers) > 0)
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
	for n, class := range c.config.Classes {
		c.tracks[class.Name] = scheduler.ClassIndex(n)
		c.agreed[class.Name] = class.Objective
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
	c.module = module
	return nil
}

// Serve serves until the context ends, then answers what is open and returns nil.
func (c *Coordinator) Serve(ctx context.Context) error {
	listener, err := server.Listen(c.deployment.Listen)
	if err != nil {
		return fmt.Errorf("ROUTER_LISTEN: %w", err)
	}
	if err := c.meet(c.fleet.installation.Gossip); err != nil {
		_ = listener.Close()
		return err
	}
	c.discovery.Start()
	c.server.Start(listener)
	c.watchCertificates()
	c.log.Printf("event=serving name=%s listen=%s replicas=%d",
		c.deployment.Name, listener.Addr(), len(c.fleet.all))
	context.AfterFunc(ctx, func() { c.loop.Post(c.shutDown) })
	c.loop.Run(c.endTurn, c.broken, c.isShutDown)
	c.discovery.Stop()
	c.fleet.stop()
	c.peers.close()
	c.drivers.Wait()
	c.log.Printf("event=ended %s", c.countersLine())
	return nil
}

func (c *Coordinator) endTurn() {
	c.module.Decide(c.loop.Now())
	c.fleet.flush()
	if c.core.look(c.loop.Now()) {
		c.gate.CoreUsed(c.loop.Now(), c.core.used)
		c.module.ReadDelayed(c.loop.Now(), c.gate.ReadDelay())
	}
	if share := c.gate.Share(); share != math.Float64frombits(c.share.Load()) {
		if share < 1 && c.loop.Now() >= c.busyAt+busyLines {
			c.busyAt = c.loop.Now()
			c.log.Printf("event=busy share=%.2f words=%q", share, "this core is short, not the replicas: turning back at the door")
		}
		c.share.Store(math.Float64bits(share))
	}
}

// broken starts the module anew after a panic in a turn and scraps what was open. Guards against: a fault
// that one query brings out. Should also cover: any other panic in a turn. Could hurt: the module
// forgets what it has learned; what the rules count, it keeps.
func (c *Coordinator) broken(cause string) {
	c.counts.Broken++
	c.log.Printf("event=broken cause=%q", cause)
	if k := c.arriving; k != nil {
		c.arriving = nil
		k.Respond(server.Text(http.StatusInternalServerError, "scrapped"))
	}
	for _, q := range c.inOrder() {
		for _, p := range q.parts {
			for n := range p.attempts {
				c.CancelAttempt(p.id, scheduler.AttemptNumber(n))
			}
		}
		c.Fail(q.id)
	}
	told := c.loop.TakeNextIteration()
	counted := c.module.Ledger()
	if err := c.begin(); err != nil {
		c.log.Printf("event=broken cause=%q", err)
	}
	c.module.Resume(counted)
	for _, do := range told { // the new module knows none of them; what holds their places lets go
		do()
	}
	clear(c.parts)
	c.discovery.Repeat()
}

func (c *Coordinator) countersLine() string {
	clients := c.server.Counts()
	line := fmt.Sprintf("%s accepted=%d evicted=%d accept_failed=%d busy=%d share=%.2f", c.counts.line(len(c.queries)),
		clients.Accepted, clients.Evicted, clients.AcceptFailures, c.busied.Load(), c.gate.Share())
	line += fmt.Sprintf(" wall_clock_distrusted=%d", c.incarnations.Distrusted())
	if c.peers != nil {
		line += fmt.Sprintf(" stranger_peer_messages=%d", c.peers.strangers.Load())
	}
	if w, ok := c.module.ShadowCounts(); ok {
		line += fmt.Sprintf(" watched=%d would_turn_back=%d would_let_in=%d watched_parts=%d would_go_elsewhere=%d",
			w.Queries, w.WouldReject, w.WouldAdmit, w.Subqueries, w.WouldPlaceElsewhere)
		line += fmt.Sprintf(" watched_legs=%d would_time_out_otherwise=%d would_not_copy=%d would_copy=%d",
			w.Attempts, w.WouldTimeOutOtherwise, w.WouldNotHedge, w.WouldHedge)
	}
	return line
}

func (c *Coordinator) trace(format string, args ...any) {
	if c.Trace {
		c.log.Printf("t=%.4f "+format, append([]any{c.loop.Now().Seconds()}, args...)...)
	}
}

// seldom logs what others can bring about as often as they like: so many lines in a second, then a count.
func (c *Coordinator) seldom(format string, args ...any) {
	if c.loop.Now()-c.seldomAt >= time.Second {
		if c.unlogged > 0 {
			c.log.Printf("event=more_of_these n=%d", c.unlogged)
		}
		c.seldomAt, c.seldomLeft, c.unlogged = c.loop.Now(), seldomLines, 0
	}
	if c.seldomLeft--; c.seldomLeft < 0 {
		c.unlogged++
		return
	}
	c.log.Printf(format, args...)
}

// Log is the module's word for the log.
func (c *Coordinator) Log(text string) { c.log.Printf("event=decided words=%q", text) }

// ScheduleWakeup tells the module when a time has passed.
func (c *Coordinator) ScheduleWakeup(name string, in time.Duration) {
	c.loop.After(in, name, func() { c.module.Wakeup(c.loop.Now(), name) })
}

// PollEndpoints asks discovery to tell of changes.
func (c *Coordinator) PollEndpoints() { c.discovery.Poll() }
