package main

import (
	"context"
	"flag"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"terntray/coordinator"
)

// memoryShare is the fraction of the deployment's memory limit to which the garbage collector limits the heap. The rest
// is for stacks, the runtime and the kernel's buffers.
const memoryShare = 0.7

// memoryOutsideHeap is the memory that the limit of the garbage collector leaves at the least: the program's code and data,
// and what the heap exceeds that limit by while much is allocated at once.
const memoryOutsideHeap = 12 << 20

// serve implements the command that runs the co-ordinator. SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads
// the configuration.
func serve(flags *flag.FlagSet, args []string) error {
	trace := flags.Bool("trace", false, "log a line for each query and attempt")
	configFile := configFlag(flags)
	parse(flags, args)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first of all, because an unhandled SIGHUP ends the process
	signal.Ignore(syscall.SIGPIPE)         // keep serving if the reader of the log goes away
	deployment, err := readDeployment(*configFile)
	if err != nil {
		return err
	}
	applyLimits(deployment.Limits)
	output := newAsyncWriter(os.Stderr)
	defer output.Close()
	service, err := coordinator.New(deployment, log.New(output, "", log.Lmicroseconds))
	if err != nil {
		return err
	}
	service.Trace = *trace
	go func() {
		for range hangups {
			service.Reload()
		}
	}()
	return service.Serve(terminationContext())
}

// terminationContext returns a context that ends with the first signal to terminate. Later ones are ignored for as long as
// the process lives: with their default action they would end it before its log is written, with another exit status.
func terminationContext() context.Context {
	ctx, end := context.WithCancel(context.Background())
	terminations := make(chan os.Signal, 1)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-terminations
		end()
	}()
	return ctx
}

// applyLimits sets the runtime's memory limit and GOMAXPROCS from the deployment's limits.
func applyLimits(limits coordinator.Limits) {
	if limits.MemoryMB > 0 {
		debug.SetMemoryLimit(heapLimit(limits.MemoryMB << 20))
	}
	if limits.Cores > 0 {
		processors := max(1, int(math.Ceil(limits.Cores)))
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), processors))
	}
}

// heapLimit returns the limit of the garbage collector for a limit of the process, both in bytes.
func heapLimit(processLimit int) int64 {
	share := int(float64(processLimit) * memoryShare)
	return int64(max(processLimit/2, min(share, processLimit-memoryOutsideHeap)))
}
