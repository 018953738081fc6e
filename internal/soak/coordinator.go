package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"terntray/internal/fake"
	"terntray/internal/faultbuild"
)

const (
	// coordinatorPrefix is the prefix of the co-ordinators' names. No other target of a fault begins with it.
	coordinatorPrefix = "n"

	// maxSockets is the limit on file descriptors in the co-ordinators' platform files.
	maxSockets = 400

	// knownListLag is how many revisions the endpoint list that a process starts with is behind its agent.
	knownListLag = 2

	// shutdownAllowance is how long beyond the longest deadline a process may run after SIGTERM, and from when on SIGKILL
	// may come. Where it does not, slowWriteTime is added for writing the last answer to a slow client.
	shutdownAllowance = 700 * time.Millisecond
	slowWriteTime     = 3*time.Second + 500*time.Millisecond
)

// process is one run of a co-ordinator's program. Its times are on the soak's clock.
type process struct {
	program             *fake.Program
	startedAt           time.Duration
	terminatedAt        time.Duration // time of SIGTERM; 0: not sent
	killedAt            time.Duration // time of SIGKILL; 0: not sent
	acceptsClientsUntil time.Duration // clients open no connections after it; 0: no limit
}

// coordinator is one co-ordinator through all its restarts.
type coordinator struct {
	soak      *Soak
	name      string
	faultPage *faultbuild.Page

	mu        sync.Mutex
	addr      string     // the same for all processes
	running   *process   // nil if none is running
	processes []*process // all so far
	agents    []*agent   // all so far; its configuration names the last
	claimed   bool       // a fault is restarting or reloading the process
}

// newCoordinator starts a discovery agent and a co-ordinator that uses it.
func newCoordinator(soak *Soak, index int) (*coordinator, error) {
	name := fmt.Sprint(coordinatorPrefix, index)
	page, err := faultbuild.NewPage(filepath.Join(soak.folder, name+".page"))
	if err != nil {
		return nil, err
	}
	for setting, rate := range soak.options.Rates {
		page.Set(setting, rate)
	}
	agent, err := newAgent(soak)
	if err != nil {
		return nil, err
	}
	coordinator := &coordinator{soak: soak, name: name, faultPage: page}
	coordinator.addAgent(agent)
	return coordinator, coordinator.start()
}

// start starts a process and waits until it serves requests.
func (c *coordinator) start() error {
	known, err := c.knownEndpoints()
	if err != nil {
		return err
	}
	c.mu.Lock()
	addr := c.addr
	c.mu.Unlock()
	program, err := fake.Launch(fake.Options{
		Path:      c.soak.options.Program,
		Name:      c.name,
		Listen:    cmp.Or(addr, anyPort()),
		Discovery: c.agent().addr(),
		Settings:  settingsJSON(c.soak.seed, c.soak.classes),
		Known:     known,
		Sockets:   maxSockets,
		Env:       []string{c.faultPage.EnvVar()},
		Args:      []string{"-trace"},
	})
	if err != nil {
		return err
	}
	startedAt := c.soak.now()
	if err := program.WaitServing(); err != nil {
		program.Stop()
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = program.Addr
	c.running = &process{program: program, startedAt: startedAt}
	c.processes = append(c.processes, c.running)
	return nil
}

// knownEndpoints returns the endpoint list that a process starts with: a few revisions behind its agent, as a file on
// disk would be, but not from before the replicas that the soak started with were all listed.
func (c *coordinator) knownEndpoints() (string, error) {
	agent := c.agent()
	agent.mu.Lock()
	revision := max(cells*replicasPerCell, agent.revision-knownListLag)
	agent.mu.Unlock()
	all, _ := c.soak.endpoints.listAt(revision, 0)
	known, err := json.Marshal(endpointList{Revision: 1, Full: true, Endpoints: all})
	return string(known), err
}

// agent returns the discovery agent that the configuration names.
func (c *coordinator) agent() *agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[len(c.agents)-1]
}

func (c *coordinator) addAgent(agent *agent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.agents = append(c.agents, agent)
}

func (c *coordinator) allAgents() []*agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.agents)
}

// currentProcess returns the running process, or nil.
func (c *coordinator) currentProcess() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

func (c *coordinator) wasKilled(process *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return process.killedAt > 0
}

// diedOpen reports whether a process was killed after SIGTERM.
func (c *coordinator) diedOpen(process *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return process.killedAt > 0 && process.terminatedAt > 0
}

// acceptingProcess returns the process to which clients may open connections, with its address, or nil.
func (c *coordinator) acceptingProcess() (*process, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		return nil, ""
	}
	if until := c.running.acceptsClientsUntil; until > 0 && c.soak.now() > until {
		return nil, ""
	}
	return c.running, c.addr
}

// claim reserves the process until release for a fault that restarts or reloads it. It returns false if another fault
// has claimed it or no process is running. Faults of other kinds may occur at the same time.
func (c *coordinator) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimed || c.running == nil {
		return false
	}
	c.claimed = true
	return true
}

func (c *coordinator) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed = false
}

// terminate ends the process with SIGTERM, as a planned restart does, and checks its exit. Clients keep opening
// connections to it for clientsFor.
func (c *coordinator) terminate(clientsFor time.Duration) {
	c.mu.Lock()
	process := c.running
	process.terminatedAt = c.soak.now()
	process.acceptsClientsUntil = process.terminatedAt + clientsFor
	c.mu.Unlock()
	process.program.Signal(syscall.SIGTERM)
	select {
	case <-process.program.Done():
	case <-time.After(c.soak.longestDeadline() + shutdownAllowance + slowWriteTime):
		c.soak.violated(RuleShutdown, "", "%s is still running %v after SIGTERM",
			c.name, c.soak.now()-process.terminatedAt)
		process.program.Signal(syscall.SIGKILL)
		<-process.program.Done()
		c.mu.Lock()
		process.killedAt = c.soak.now()
		c.mu.Unlock()
	}
	c.recordExit(process)
	if process.killedAt == 0 {
		c.checkExit(process)
	}
}

// checkExit checks that a process that ended by itself has exited with status 0.
func (c *coordinator) checkExit(process *process) {
	if state := process.program.State(); !state.Success() {
		c.soak.violated(RuleCrash, "", "%s exited with %v: %s", c.name, state, lastLines(process.program.Log(), 20))
	}
}

// kill ends the process with SIGKILL.
func (c *coordinator) kill() {
	c.mu.Lock()
	process := c.running
	process.killedAt = c.soak.now()
	process.acceptsClientsUntil = process.killedAt
	c.mu.Unlock()
	process.program.Signal(syscall.SIGKILL)
	<-process.program.Done()
	c.recordExit(process)
}

func (c *coordinator) recordExit(process *process) {
	c.soak.checkLog(c, process)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
}

// reload writes a configuration that names a new discovery agent and sends SIGHUP.
func (c *coordinator) reload() error {
	agent, err := newAgent(c.soak)
	if err != nil {
		return err
	}
	process := c.currentProcess()
	if err := process.program.Configure(agent.addr()); err != nil {
		return err
	}
	agent.setEffectiveFrom(c.soak.now() + reloadTime)
	c.addAgent(agent)
	return process.program.Signal(syscall.SIGHUP)
}

// close stops all processes and agents and releases the fault page.
func (c *coordinator) close() {
	for _, process := range c.processes {
		process.program.Stop()
	}
	for _, agent := range c.agents {
		agent.close()
	}
	c.faultPage.Close()
}
