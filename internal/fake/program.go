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

const (
	startTimeout    = 10 * time.Second // from a program's start until it serves
	shutdownTimeout = 5 * time.Second  // from SIGTERM until it is killed
	pollInterval    = 5 * time.Millisecond
	defaultSockets  = 8192
	clockTick       = 10 * time.Millisecond // unit of the processor time in /proc/PID/stat, proc(5)
)

// Program is a co-ordinator that runs as a process of its own.
type Program struct {
	Addr string // where it serves clients, once it does

	options Options
	cmd     *exec.Cmd
	done    chan struct{} // is closed when the process has ended
	dir     string
	mu      sync.Mutex
	log     bytes.Buffer
}

// Write takes what the program logs.
func (program *Program) Write(text []byte) (int, error) {
	program.mu.Lock()
	defer program.mu.Unlock()
	return program.log.Write(text)
}

// Log is what the program has logged so far.
func (program *Program) Log() string {
	program.mu.Lock()
	defer program.mu.Unlock()
	return program.log.String()
}

// Options say how a program is started. What is empty has a value that suits a test of one co-ordinator.
type Options struct {
	Path      string // of the built program
	Name      string
	Listen    string // an address; a free port if empty
	Discovery string // an address
	Settings  string // of the deployment, as JSON
	Known     string // the endpoint list that it is started with, as EndpointList writes it
	Sockets   int    // limit on descriptors
	Env       []string
	Args      []string // further arguments of serve
}

// StartProgram starts a built program with a discovery and its replicas, and waits until it serves. Settings are the
// deployment's as JSON, args further arguments of serve.
func StartProgram(path, settings string, discovery *Discovery, args ...string) (*Program, error) {
	return Start(Options{
		Path:      path,
		Settings:  settings,
		Discovery: discovery.Listener.Addr().String(),
		Known:     EndpointList(1, true, discovery.Replicas),
		Args:      args,
	})
}

// Start starts a program and waits until it serves.
func Start(options Options) (*Program, error) {
	program, err := Launch(options)
	if err != nil {
		return nil, err
	}
	if err := program.WaitServing(); err != nil {
		program.Stop()
		return nil, err
	}
	return program, nil
}

// Launch starts a program without waiting for anything.
func Launch(options Options) (*Program, error) {
	dir, err := os.MkdirTemp("", "terntray")
	if err != nil {
		return nil, err
	}
	program := &Program{options: options, done: make(chan struct{}), dir: dir}
	if err := program.Configure(options.Discovery); err != nil {
		return nil, err
	}
	program.cmd = exec.Command(options.Path, append([]string{"serve"}, options.Args...)...)
	program.cmd.Env = append(os.Environ(),
		"ROUTER_CONFIG="+program.configFile(), "ROUTER_LISTEN=", "ROUTER_DISCOVERY=", "ROUTER_NAME=")
	program.cmd.Env = append(program.cmd.Env, options.Env...)
	program.cmd.Stderr = program
	if err := program.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = program.cmd.Wait() // see State
		close(program.done)
	}()
	return program, nil
}

func (program *Program) configFile() string { return filepath.Join(program.dir, "config.json") }

// Configure writes the program's configuration anew, with discovery at an address; the program reads it at SIGHUP.
func (program *Program) Configure(discovery string) error {
	options := program.options
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":512,"sockets":%d},"known":%s,"settings":%s}`,
		cmp.Or(options.Name, "n0"), cmp.Or(options.Listen, "127.0.0.1:0"), discovery,
		cmp.Or(options.Sockets, defaultSockets), options.Known, options.Settings)
	return os.WriteFile(program.configFile(), []byte(text), 0o600)
}

// WriteHTTP2Config writes an installation file that has replicas of model h2 speak HTTP/2, and returns its name.
func WriteHTTP2Config(folder string) (string, error) {
	file := filepath.Join(folder, "installation.json")
	return file, os.WriteFile(file, []byte(`{"replicas":[{"model":"h2","dialect":"http2"}]}`), 0o600)
}

// WaitServing waits until the program serves. It fails if it ends or startTimeout passes first.
func (program *Program) WaitServing() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if program.isServing() {
			return nil
		}
		if program.Ended() {
			break
		}
	}
	return errors.New("the program does not serve: " + program.Log())
}

// isServing reads the program's address from its log and asks whether it is up.
func (program *Program) isServing() bool {
	_, after, found := strings.Cut(program.Log(), "listen=")
	if !found || !strings.Contains(after, " ") {
		return false
	}
	program.Addr, _, _ = strings.Cut(after, " ")
	return program.Get("/up") == "up"
}

// Signal sends the program a signal.
func (program *Program) Signal(signal syscall.Signal) error {
	return program.cmd.Process.Signal(signal)
}

// PID is the program's process id.
func (program *Program) PID() int { return program.cmd.Process.Pid }

// Ended reports whether the process has ended.
func (program *Program) Ended() bool {
	select {
	case <-program.done:
		return true
	default:
		return false
	}
}

// Done is closed when the process has ended.
func (program *Program) Done() <-chan struct{} { return program.done }

// State is how the process has ended; nil before.
func (program *Program) State() *os.ProcessState {
	if !program.Ended() {
		return nil
	}
	return program.cmd.ProcessState
}

// Get reads one of the program's pages; where that fails it returns the error's text.
func (program *Program) Get(path string) string {
	response, err := http.Get("http://" + program.Addr + path)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body))
}

// Counters reads the program's counters.
func (program *Program) Counters() map[string]int {
	counters := map[string]int{}
	for _, pair := range strings.Fields(program.Get("/counters")) {
		name, value, _ := strings.Cut(pair, "=")
		counters[name], _ = strconv.Atoi(value)
	}
	return counters
}

// CPUUsed is the processor time that the process has used so far, in steps of clockTick.
func (program *Program) CPUUsed() time.Duration {
	const userField, systemField = 11, 12 // behind the command's name, see proc(5)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", program.PID()))
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemField {
		return 0
	}
	user, _ := strconv.Atoi(fields[userField])
	system, _ := strconv.Atoi(fields[systemField])
	return time.Duration(user+system) * clockTick
}

// CPUTotal is the processor time that the process has used. It waits for the process to end.
func (program *Program) CPUTotal() time.Duration {
	<-program.done
	return program.cmd.ProcessState.UserTime() + program.cmd.ProcessState.SystemTime()
}

// Descriptors is how many descriptors the process has open.
func (program *Program) Descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.PID()))
	return len(open)
}

// Stop ends the process, by force if it has not ended shutdownTimeout after SIGTERM, and waits for that.
func (program *Program) Stop() {
	_ = program.Signal(syscall.SIGTERM)
	select {
	case <-program.done:
	case <-time.After(shutdownTimeout):
		_ = program.cmd.Process.Kill()
		<-program.done
	}
	os.RemoveAll(program.dir)
}
