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
	startTimeout    = 10 * time.Second // from the start of the process until it serves
	shutdownTimeout = 5 * time.Second  // from SIGTERM until SIGKILL
	pollInterval    = 5 * time.Millisecond
	defaultSockets  = 8192
	defaultMemoryMB = 512
	clockTick       = 10 * time.Millisecond // unit of CPU time in /proc/PID/stat, see proc(5)
)

// Program is a co-ordinator that runs in its own process.
type Program struct {
	Addr string // the address for clients; set once the program serves

	options Options
	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has exited
	dir     string
	mu      sync.Mutex
	log     bytes.Buffer
}

// Write appends to the program's log. It receives the process's standard error.
func (program *Program) Write(text []byte) (int, error) {
	program.mu.Lock()
	defer program.mu.Unlock()
	return program.log.Write(text)
}

// Log returns what the program has logged so far.
func (program *Program) Log() string {
	program.mu.Lock()
	defer program.mu.Unlock()
	return program.log.String()
}

// Options configure how a program is started. Name, Listen, Sockets and MemoryMB have defaults that suit a test with one
// co-ordinator.
type Options struct {
	Path      string // path of the executable
	Name      string
	Listen    string // address for clients; empty: a free port on loopback
	Discovery string // address of the discovery agent
	Settings  string // settings of the deployment, as JSON
	Known     string // endpoint list at the start, in the format of EndpointList
	Sockets   int    // limit on descriptors
	MemoryMB  int    // memory limit
	Env       []string
	Args      []string // additional arguments of serve
}

// StartProgram starts the executable at path with a discovery and its replicas, and waits until it serves. Settings
// are those of the deployment, as JSON; args are additional arguments of serve.
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

// Launch starts a program without waiting until it serves.
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
		_ = program.cmd.Wait() // State gives the exit status
		close(program.done)
	}()
	return program, nil
}

func (program *Program) configFile() string { return filepath.Join(program.dir, "config.json") }

// Configure rewrites the program's configuration with the given address of discovery. A running program rereads it on
// SIGHUP.
func (program *Program) Configure(discovery string) error {
	options := program.options
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		cmp.Or(options.Name, "n0"), cmp.Or(options.Listen, "127.0.0.1:0"), discovery,
		cmp.Or(options.MemoryMB, defaultMemoryMB), cmp.Or(options.Sockets, defaultSockets), options.Known,
		options.Settings)
	return os.WriteFile(program.configFile(), []byte(text), 0o600)
}

// WriteHTTP2Config writes an installation file that selects HTTP/2 for replicas of model h2, and returns its path.
func WriteHTTP2Config(folder string) (string, error) {
	file := filepath.Join(folder, "installation.json")
	return file, os.WriteFile(file, []byte(`{"replicas":[{"model":"h2","dialect":"http2"}]}`), 0o600)
}

// WaitServing waits until the program serves. It returns an error if the process exits or startTimeout passes first.
func (program *Program) WaitServing() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if program.isServing() {
			return nil
		}
		if program.Ended() {
			break
		}
	}
	return errors.New("the program did not start serving; its log: " + program.Log())
}

// isServing takes the program's address from its log and reports whether the program is up.
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

// PID returns the program's process id.
func (program *Program) PID() int { return program.cmd.Process.Pid }

// Ended reports whether the process has exited.
func (program *Program) Ended() bool {
	select {
	case <-program.done:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed when the process has exited.
func (program *Program) Done() <-chan struct{} { return program.done }

// State returns the exit state of the process, or nil if it is still running.
func (program *Program) State() *os.ProcessState {
	if !program.Ended() {
		return nil
	}
	return program.cmd.ProcessState
}

// Get returns the body of one of the program's pages, or the text of the error if the request fails.
func (program *Program) Get(path string) string {
	response, err := http.Get("http://" + program.Addr + path)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return strings.TrimSpace(string(body))
}

// Counters returns the program's counters by name.
func (program *Program) Counters() map[string]int {
	counters := map[string]int{}
	for _, pair := range strings.Fields(program.Get("/counters")) {
		name, value, _ := strings.Cut(pair, "=")
		counters[name], _ = strconv.Atoi(value)
	}
	return counters
}

// CPUUsed returns the CPU time that the process has used so far, with a resolution of clockTick, or 0 if it cannot be
// read.
func (program *Program) CPUUsed() time.Duration {
	const userField, systemField = 11, 12 // indexes after the command name, see proc(5)
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

// CPUTotal waits for the process to exit and returns the CPU time that it has used.
func (program *Program) CPUTotal() time.Duration {
	<-program.done
	return program.cmd.ProcessState.UserTime() + program.cmd.ProcessState.SystemTime()
}

// PeakMemory returns the largest amount of memory that the process has held so far, in bytes, or 0 if it cannot be read.
func (program *Program) PeakMemory() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", program.PID()))
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kilobytes, _, _ := strings.Cut(strings.TrimSpace(after), " ")
	count, _ := strconv.Atoi(kilobytes)
	return count << 10
}

// Descriptors returns the number of open file descriptors of the process.
func (program *Program) Descriptors() int {
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", program.PID()))
	return len(open)
}

// Stop sends SIGTERM, and SIGKILL if the process is still running after shutdownTimeout. It waits for the process to
// exit and removes its configuration.
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
