package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

const (
	readyTimeout = 15 * time.Second // until /up answers 200
	stopTimeout  = 8 * time.Second  // from SIGTERM to SIGKILL
	caseTimeout  = 110 * time.Second
)

// platformFile is the configuration file of a co-ordinator.
type platformFile struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     list           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// settings returns settings like those of a small deployment: one cell, whose replicas hold all shards, and the classes
// that the case names.
func settings(shards int, classes ...map[string]any) map[string]any {
	needs := make([]float64, len(classes))
	for n := range needs {
		needs[n] = 1
	}
	return map[string]any{
		"balancers": 1, "selfIndex": 0, "discovery": "automatic", "zone": 0, "zones": []string{"west"},
		"bounds": map[string]any{
			"maxAttempts": 3, "mayCancel": true, "secondCopies": true, "multiplex": 32, "idleClose": 30_000_000,
			"connectTimeout": 250_000, "maxOpen": 2000,
		},
		"familyInfo": map[string]any{"cells": 1, "span": 1, "ranges": shards, "classNeed": needs},
		"guarantees": map[string]any{"answerSlack": 50_000, "stopSendingWithin": 1_000_000},
		"lanes":      classes,
	}
}

// class returns the settings of a class; its times are in seconds.
func class(name, effect string, aim, deadline float64) map[string]any {
	return map[string]any{"name": name, "aim": aim * 1e6, "deadline": deadline * 1e6, "effect": effect}
}

// coordinator is a process of the program.
type coordinator struct {
	file    platformFile
	path    string // of the configuration file
	process *exec.Cmd
	done    chan error
	stderr  *os.File
}

// startCoordinator starts a co-ordinator with the command of the deploy file and waits until it is ready.
func (setup *setup) startCoordinator(file platformFile) (*coordinator, error) {
	command, err := setup.runCommand()
	if err != nil {
		return nil, err
	}
	if file.Listen, err = freeAddress(); err != nil {
		return nil, err
	}
	file.Name = "n0"
	file.Seed = "8c1f30d27a5be964"
	started := &coordinator{file: file, path: filepath.Join(setup.temp, "config.json"), done: make(chan error, 1)}
	if err := started.writeFile(file); err != nil {
		return nil, err
	}
	if started.stderr, err = os.Create(filepath.Join(setup.temp, "stderr.txt")); err != nil {
		return nil, err
	}
	started.process = exec.Command("/bin/sh", "-c", command)
	started.process.Dir = setup.root
	// The kernel kills the co-ordinator if this process ends in any other way, also if it is killed.
	started.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started.process.Stderr = started.stderr
	started.process.Env = append(os.Environ(), "ROUTER_CONFIG="+started.path, "ROUTER_NAME="+file.Name,
		"ROUTER_LISTEN="+file.Listen, "ROUTER_DISCOVERY="+file.Discovery)
	if err := started.process.Start(); err != nil {
		return nil, err
	}
	go func() { started.done <- started.process.Wait() }()
	setup.killOnSignal(started.process.Process)
	setup.record.add("co-ordinator started on %s", file.Listen)
	if err := started.awaitReady(); err != nil {
		started.kill()
		return nil, err
	}
	setup.record.add("co-ordinator is ready")
	return started, nil
}

// runCommand returns the command of the deploy file that starts a co-ordinator.
func (setup *setup) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(setup.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run command")
	}
	return string(found[1]), nil
}

// writeFile replaces the configuration file.
func (coordinator *coordinator) writeFile(file platformFile) error {
	text, err := json.Marshal(file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(coordinator.path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(coordinator.path+".new", coordinator.path)
}

func (coordinator *coordinator) address() string { return coordinator.file.Listen }

func (coordinator *coordinator) signal(signal syscall.Signal) {
	_ = coordinator.process.Process.Signal(signal)
}

func (coordinator *coordinator) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case err := <-coordinator.done:
			coordinator.done <- err
			return fmt.Errorf("the co-ordinator ended: %w", err)
		default:
		}
		response, err := client.Get("http://" + coordinator.address() + "/up")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the co-ordinator is not ready")
}

// killOnSignal kills a process and ends this one if this one is told to end or takes too long.
func (setup *setup) killOnSignal(process *os.Process) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(caseTimeout):
		}
		_ = process.Kill()
		_ = os.RemoveAll(setup.temp)
		os.Exit(exitNotRun)
	}()
}

// stop ends the process as a planned restart does.
func (coordinator *coordinator) stop() {
	coordinator.signal(syscall.SIGCONT)
	coordinator.signal(syscall.SIGTERM)
	select {
	case <-coordinator.done:
	case <-time.After(stopTimeout):
		coordinator.kill()
	}
	_ = coordinator.stderr.Close()
}

func (coordinator *coordinator) kill() {
	_ = coordinator.process.Process.Kill()
	<-coordinator.done
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
