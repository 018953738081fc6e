package soak

import (
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
	// coordinatorPrefix begins the coordinators' names, and no other target's of a fault.
	coordinatorPrefix = "n"

	// maxSockets is the coordinators' setting for the sockets that they may hold.
	maxSockets = 400

	// revisionsBehind is how old the list is that a process is started with.
	revisionsBehind = 2

	// shutdownExtra is what a process may take after SIGTERM beyond the longest deadline, and slowWriteTime what its
	// last answer may take on top, to be written to a client that reads slowly.
	shutdownExtra = 700 * time.Millisecond
	slowWriteTime = 3*time.Second + 500*time.Millisecond
)

// process is one process of a coordinator. Its times are on the soak's clock.
type process struct {
	program      *fake.Program
	started      time.Duration
	terminated   time.Duration // SIGTERM; 0: never
	killed       time.Duration // SIGKILL; 0: never
	clientsUntil time.Duration // until when new clients are sent to it; 0: without end
}

// coordinator is one coordinator in all its processes.
type coordinator struct {
	soak *Soak
	name string
	page *faultbuild.Page

	mu        sync.Mutex
	addr      string     // the same in all processes
	running   *process   // nil: none
	processes []*process // so far
	agents    []*agent   // the last is the one that its configuration names
	claimed   bool       // a fault ends or starts it
}

// newCoordinator starts a coordinator and its discovery agent.
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
	coordinator := &coordinator{soak: soak, name: name, page: page}
	coordinator.addAgent(agent)
	return coordinator, coordinator.start()
}

// start starts a process and waits until it serves.
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
		Listen:    addr,
		Discovery: c.agent().addr(),
		Settings:  settings(c.soak.seed),
		Known:     known,
		Sockets:   maxSockets,
		Env:       []string{c.page.EnvVar()},
		Args:      []string{"-trace"},
	})
	if err != nil {
		return err
	}
	started := c.soak.now()
	if err := program.WaitServing(); err != nil {
		program.Stop()
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = program.Addr
	c.running = &process{program: program, started: started}
	c.processes = append(c.processes, c.running)
	return nil
}

// knownEndpoints is the list that a process is started with: some revisions behind its agent, as a file on disk is.
func (c *coordinator) knownEndpoints() (string, error) {
	agent := c.agent()
	agent.mu.Lock()
	revision := max(cells*replicasPerCell, agent.revision-revisionsBehind)
	agent.mu.Unlock()
	all, _ := c.soak.endpoints.at(revision, 0)
	known, err := json.Marshal(endpointList{Revision: 1, Full: true, Endpoints: all})
	return string(known), err
}

// agent is the discovery agent that its configuration names.
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

// current is the process that runs; nil: none.
func (c *coordinator) current() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

func (c *coordinator) wasKilled(process *process) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return process.killed > 0
}

// takesClients is the process to which new clients are sent, with its address; nil: none are.
func (c *coordinator) takesClients() (*process, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		return nil, ""
	}
	if until := c.running.clientsUntil; until > 0 && c.soak.now() > until {
		return nil, ""
	}
	return c.running, c.addr
}

// claim has one fault at a time end or start the coordinator; it tells whether the caller has it now.
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

// terminate ends the process as a planned restart does, and judges its end. New clients are sent to it for a while yet.
func (c *coordinator) terminate(clientsFor time.Duration) {
	c.mu.Lock()
	process := c.running
	process.terminated = c.soak.now()
	process.clientsUntil = process.terminated + clientsFor
	c.mu.Unlock()
	process.program.Signal(syscall.SIGTERM)
	select {
	case <-process.program.Done():
	case <-time.After(longestDeadline() + shutdownExtra + slowWriteTime):
		c.soak.violated(RuleShutdown, "", "%s runs %v after SIGTERM", c.name, c.soak.now()-process.terminated)
		process.program.Signal(syscall.SIGKILL)
		<-process.program.Done()
		c.mu.Lock()
		process.killed = c.soak.now()
		c.mu.Unlock()
	}
	c.noteEnd(process)
	if state := process.program.State(); process.killed == 0 && !state.Success() {
		c.soak.violated(RuleCrash, "", "%s ended with %v: %s", c.name, state, lastLines(process.program.Log(), 20))
	}
}

// kill ends the process with SIGKILL.
func (c *coordinator) kill() {
	c.mu.Lock()
	process := c.running
	process.killed = c.soak.now()
	process.clientsUntil = process.killed
	c.mu.Unlock()
	process.program.Signal(syscall.SIGKILL)
	<-process.program.Done()
	c.noteEnd(process)
}

func (c *coordinator) noteEnd(process *process) {
	c.soak.readLog(c, process)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
}

// reload moves discovery to another agent: a new configuration, then SIGHUP.
func (c *coordinator) reload() error {
	agent, err := newAgent(c.soak)
	if err != nil {
		return err
	}
	process := c.current()
	if err := process.program.Configure(agent.addr()); err != nil {
		return err
	}
	agent.startCountingAt(c.soak.now() + reloadTime)
	c.addAgent(agent)
	return process.program.Signal(syscall.SIGHUP)
}

// close ends whatever still runs.
func (c *coordinator) close() {
	for _, process := range c.processes {
		process.program.Stop()
	}
	for _, agent := range c.agents {
		agent.close()
	}
	c.page.Close()
}
