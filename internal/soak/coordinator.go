package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"terntray/internal/fake"
	"terntray/internal/faultbuild"
)

// life is one process of a co-ordinator.
type life struct {
	program   *fake.Program
	began     time.Duration
	told      time.Duration // SIGTERM; 0: never
	killed    time.Duration // SIGKILL; 0: never
	ended     time.Duration // 0: it runs
	clientsTo time.Duration // until when new clients are sent to it
}

// coordinator is one co-ordinator in all its lives.
type coordinator struct {
	soak *Soak
	name string
	page *faultbuild.Page

	mu     sync.Mutex
	addr   string // the same in all lives
	life   *life
	lives  []*life
	agents []*agent // the last is the one that it was told of
	busy   bool     // it is being ended, or started
}

func newCoordinator(s *Soak, n int) (*coordinator, error) {
	c := &coordinator{soak: s, name: fmt.Sprint("n", n)}
	var err error
	if c.page, err = faultbuild.NewPage(filepath.Join(s.folder, c.name+".page")); err != nil {
		return nil, err
	}
	for setting, rate := range s.options.Rates {
		c.page.Set(setting, rate)
	}
	a, err := newAgent(s)
	if err != nil {
		return nil, err
	}
	c.agents = []*agent{a}
	return c, c.start()
}

// start begins a life and waits until it serves.
func (c *coordinator) start() error {
	a := c.agent()
	all, _ := c.soak.roster.at(c.known(), 0)
	known, err := json.Marshal(listing{Rev: 1, All: true, Targets: all})
	if err != nil {
		return err
	}
	c.mu.Lock()
	addr := c.addr
	c.mu.Unlock()
	p, err := fake.Launch(fake.Options{Path: c.soak.options.Program, Name: c.name, Listen: addr, Discovery: a.addr(),
		Settings: settings(c.soak.seed), Known: string(known), Sockets: 400, Env: []string{c.page.Variable()}, Args: []string{"-trace"}})
	if err != nil {
		return err
	}
	l := &life{program: p, began: c.soak.now()}
	if err := p.WaitServing(); err != nil {
		p.Stop()
		return fmt.Errorf("%s: %w", c.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr, c.life, c.lives = p.Addr, l, append(c.lives, l)
	return nil
}

// known is the revision of the list that a process is started with: some behind.
func (c *coordinator) known() int {
	a := c.agent()
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(cells*replicasPerCell, a.learned-2)
}

func (c *coordinator) agent() *agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[len(c.agents)-1]
}

// takes tells whether the front sends new clients here, and to which life.
func (c *coordinator) takes() (*life, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.life
	if l == nil || l.clientsTo > 0 && c.soak.now() > l.clientsTo {
		return nil, ""
	}
	return l, c.addr
}

// claim has one trouble at a time end or start it.
func (c *coordinator) claim() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.life == nil {
		return false
	}
	c.busy = true
	return true
}

func (c *coordinator) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// terminate ends it as a planned restart does, and judges its end.
func (c *coordinator) terminate(clientsFor time.Duration) {
	c.mu.Lock()
	l := c.life
	l.told = c.soak.now()
	l.clientsTo = l.told + clientsFor
	c.mu.Unlock()
	l.program.Signal(syscall.SIGTERM)
	select {
	case <-l.program.Done():
	case <-time.After(longestDeadline() + 700*time.Millisecond + writeTime):
		c.soak.found("shutdown", "", "%s runs %v after SIGTERM", c.name, c.soak.now()-l.told)
		l.program.Signal(syscall.SIGKILL)
		<-l.program.Done()
		l.killed = c.soak.now()
	}
	c.ends(l)
	if state := l.program.State(); l.killed == 0 && !state.Success() {
		c.soak.found("crash", "", "%s ended with %v: %s", c.name, state, lastLines(l.program.Log(), 20))
	}
}

// writeTime is what an answer may take to be written to a client that reads slowly, beyond the longest deadline.
const writeTime = 3*time.Second + 500*time.Millisecond

// kill ends it without a word.
func (c *coordinator) kill() {
	c.mu.Lock()
	l := c.life
	l.killed = c.soak.now()
	l.clientsTo = l.killed
	c.mu.Unlock()
	l.program.Signal(syscall.SIGKILL)
	<-l.program.Done()
	c.ends(l)
}

func (c *coordinator) ends(l *life) {
	c.soak.readLog(c, l)
	c.mu.Lock()
	defer c.mu.Unlock()
	l.ended = c.soak.now()
	c.life = nil
}

// reload moves discovery to another agent.
func (c *coordinator) reload() error {
	a, err := newAgent(c.soak)
	if err != nil {
		return err
	}
	c.mu.Lock()
	l := c.life
	c.mu.Unlock()
	if err := l.program.Configure(a.addr()); err != nil {
		return err
	}
	a.mu.Lock()
	a.after = c.soak.now() + reloadCounts
	for n := range a.notices {
		a.notices[n].at = max(a.notices[n].at, a.after)
	}
	a.mu.Unlock()
	c.mu.Lock()
	c.agents = append(c.agents, a)
	c.mu.Unlock()
	return l.program.Signal(syscall.SIGHUP)
}

// loopMargin is by how much the loop may be late and a query still be given up before its deadline: that is done at the first
// look from 20 ms before it on, and looks are 10 ms apart.
const loopMargin = 10 * time.Millisecond

// Words of a program's log that are finds of their own.
var findsInLogs = []string{"event=violation", "event=loop_panic", "event=client_panic", "panic:", "DATA RACE", "fatal error"}

func (s *Soak) readLog(c *coordinator, l *life) {
	log := l.program.Log()
	for _, words := range findsInLogs {
		if at := strings.Index(log, words); at >= 0 && !(s.options.Panics && words == "event=loop_panic") {
			s.found("log", "", "%s says %s", c.name, lastLines(log[at:min(len(log), at+600)], 30))
		}
	}
	for line := range strings.Lines(log) {
		var late time.Duration
		if _, words, ok := strings.Cut(strings.TrimSpace(line), "loop_late="); ok {
			late, _ = time.ParseDuration(words)
			if late < loopMargin {
				s.found("log", "", "%s left a query open until its deadline: %s", c.name, line)
			}
		}
	}
	if s.options.Logs != "" {
		name := filepath.Join(s.options.Logs, fmt.Sprintf("seed%d-%s-%d.log", s.seed, c.name, l.began.Milliseconds()))
		if err := os.WriteFile(name, []byte(log), 0o600); err != nil {
			s.found("soak", "", "log: %v", err)
		}
	}
}

func lastLines(text string, most int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-most):], " / ")
}
