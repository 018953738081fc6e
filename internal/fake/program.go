package fake

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is a co-ordinator that runs as a process of its own.
type Program struct {
	Addr string

	options Options
	cmd     *exec.Cmd
	done    chan struct{}
	dir     string
	mu      sync.Mutex
	log     bytes.Buffer
}

func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log is what it has logged so far.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Options say how a program is started. What is empty has a value that suits a test of one co-ordinator.
type Options struct {
	Path      string // of the built program
	Name      string
	Listen    string // an address; a free port if empty
	Discovery string // an address
	Settings  string // of the deployment, as JSON
	Known     string // the list that it is started with, as Listing writes it
	Sockets   int    // the limit on descriptors
	Env       []string
	Args      []string // further ones of serve
}

const (
	servesWithin = 10 * time.Second // from its start
	endsWithin   = 5 * time.Second  // from SIGTERM; then it is killed
)

// StartProgram starts a built program among replicas and discovery, on one core, and waits until it serves; settings
// are the deployment's as JSON, args further ones of serve.
func StartProgram(path, settings string, r *Discovery, args ...string) (*Program, error) {
	return Start(Options{Path: path, Settings: settings, Discovery: r.Listener.Addr().String(), Known: EndpointList(1, true, r.Replicas), Args: args})
}

// Start starts a program and waits until it serves.
func Start(o Options) (*Program, error) {
	p, err := Launch(o)
	if err != nil {
		return nil, err
	}
	if err := p.WaitServing(); err != nil {
		p.Stop()
		return nil, err
	}
	return p, nil
}

// Launch starts a program without waiting for anything.
func Launch(o Options) (*Program, error) {
	p := &Program{done: make(chan struct{})}
	var err error
	if p.dir, err = os.MkdirTemp("", "terntray"); err != nil {
		return nil, err
	}
	p.options = o
	if err := p.Configure(o.Discovery); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(o.Path, append([]string{"serve"}, o.Args...)...)
	p.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+p.configFile(), "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	p.cmd.Env = append(p.cmd.Env, o.Env...)
	p.cmd.Stderr = p
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *Program) configFile() string { return filepath.Join(p.dir, "config.json") }

// Configure writes the program's configuration anew, with discovery at an address; SIGHUP has the program read it.
func (p *Program) Configure(discovery string) error {
	o := p.options
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":512,"sockets":%d},"known":%s,"settings":%s}`,
		cmp.Or(o.Name, "n0"), cmp.Or(o.Listen, "127.0.0.1:0"), discovery, cmp.Or(o.Sockets, 8192), o.Known, o.Settings)
	return os.WriteFile(p.configFile(), []byte(text), 0o600)
}

// WaitServing waits until the program serves.
func (p *Program) WaitServing() error {
	for end := time.Now().Add(servesWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if _, after, ok := strings.Cut(p.Log(), "listen="); ok && strings.Contains(after, " ") {
			p.Addr, _, _ = strings.Cut(after, " ")
			if p.Get("/up") == "up" {
				return nil
			}
		}
		if p.Ended() {
			break
		}
	}
	return errors.New("the program does not serve: " + p.Log())
}

// Signal sends the program a signal.
func (p *Program) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID is its process id.
func (p *Program) PID() int { return p.cmd.Process.Pid }

// Ended tells whether the process has ended.
func (p *Program) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (p *Program) Done() <-chan struct{} { return p.done }

// State is how the process has ended; nil before.
func (p *Program) State() *os.ProcessState {
	if !p.Ended() {
		return nil
	}
	return p.cmd.ProcessState
}

// Get reads one of its pages.
func (p *Program) Get(path string) string {
	r, err := http.Get("http://" + p.Addr + path)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	body, _ := io.ReadAll(r.Body)
	return strings.TrimSpace(string(body))
}

// Counters reads what it has counted.
func (p *Program) Counters() map[string]int {
	all := map[string]int{}
	for _, pair := range strings.Fields(p.Get("/counters")) {
		name, n, _ := strings.Cut(pair, "=")
		all[name], _ = strconv.Atoi(n)
	}
	return all
}

// CPUUsed is the time of a core that it has used so far, in steps of the machine's clock tick (10 ms, proc(5)).
func (p *Program) CPUUsed() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Descriptors is how many it holds open.
func (p *Program) Descriptors() int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(all)
}

// CPUTotal is the time of a core that it has used; to be asked once it has ended.
func (p *Program) CPUTotal() time.Duration {
	<-p.done
	return p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
}

// Stop ends it, by force if it does not go by itself, and waits for that.
func (p *Program) Stop() {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(endsWithin):
		p.cmd.Process.Kill()
		<-p.done
	}
	os.RemoveAll(p.dir)
}
