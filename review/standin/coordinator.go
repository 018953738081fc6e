package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// coordinator is the program under review, as a process of its own.
type coordinator struct {
	addr string
	cmd  *exec.Cmd
	dir  string
	done chan struct{}
	mu   sync.Mutex
	log  bytes.Buffer
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Write takes what the program logs.
func (program *coordinator) Write(text []byte) (int, error) {
	program.mu.Lock()
	defer program.mu.Unlock()
	return program.log.Write(text)
}

// startCoordinator starts the program by the command of the deploy file and waits until it is ready.
func startCoordinator(lists *agent, settings string) (*coordinator, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run")
	}
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		addr, lists.listener.Addr(), lists.known(), settings)
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(config), 0o600); err != nil {
		return nil, err
	}
	program := &coordinator{addr: addr, dir: dir, done: make(chan struct{})}
	program.cmd = exec.Command("/bin/sh", "-c", string(run[1]))
	program.cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+file, "ROUTER_NAME=n0", "ROUTER_LISTEN="+addr,
		"ROUTER_DISCOVERY="+lists.listener.Addr().String())
	program.cmd.Stdout, program.cmd.Stderr = program, program
	// The program must not outlive this process.
	program.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := program.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		program.cmd.Wait()
		close(program.done)
	}()
	return program, program.awaitReady()
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (program *coordinator) awaitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + program.addr + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the co-ordinator was not ready in 10 s")
}

// ended reports whether the process has ended.
func (program *coordinator) ended() bool {
	select {
	case <-program.done:
		return true
	default:
		return false
	}
}

// signal sends the process a signal.
func (program *coordinator) signal(signal syscall.Signal) { program.cmd.Process.Signal(signal) }

// stop ends the process and writes its log to the record.
func (program *coordinator) stop(record *recorder) {
	program.signal(syscall.SIGCONT)
	program.signal(syscall.SIGTERM)
	select {
	case <-program.done:
	case <-time.After(4 * time.Second):
		program.signal(syscall.SIGKILL)
		<-program.done
	}
	os.RemoveAll(program.dir)
	program.mu.Lock()
	defer program.mu.Unlock()
	record.note("log of the co-ordinator:\n%s", program.log.String())
}
