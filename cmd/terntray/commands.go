package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"terntray/config"
	"terntray/coordinator"
)

const (
	release     = "0.1"
	memoryShare = 0.7 // of the limit on memory that the collector keeps to
)

func serve(flags *flag.FlagSet, args []string) error {
	trace := flags.Bool("trace", false, "log a line for each retrieval and leg")
	file := flags.String("installation", "", "the project's own settings, as terntray-settings renders them; empty: none")
	parse(flags, args)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // before anything else: unhandled it would end the process
	signal.Ignore(syscall.SIGPIPE)         // a log that nobody reads is no reason to end
	deployment, err := read(*file)
	if err != nil {
		return err
	}
	if mb := deployment.Limits.MemoryMB; mb > 0 {
		debug.SetMemoryLimit(int64(float64(mb) * memoryShare * (1 << 20)))
	}
	if cores := deployment.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), max(1, int(math.Ceil(cores)))))
	}
	lines := newLogs(os.Stderr)
	defer lines.end()
	c, err := coordinator.New(deployment, log.New(lines, "", log.Lmicroseconds))
	if err != nil {
		return err
	}
	c.Trace = *trace
	go func() {
		for range hangups {
			c.Reload()
		}
	}()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return c.Serve(ctx)
}

// read reads the platform's file and the project's own.
func read(file string) (*coordinator.Deployment, error) {
	d, err := coordinator.ReadDeployment(os.Getenv)
	if err != nil {
		return nil, err
	}
	d.Installation, err = config.Read(file)
	return d, err
}

func check(flags *flag.FlagSet, args []string) error {
	file := flags.String("installation", "", "the project's own settings, as terntray-settings renders them; empty: none")
	parse(flags, args)
	deployment, err := read(*file)
	if err != nil {
		return err
	}
	if _, err := coordinator.New(deployment, log.New(os.Stderr, "", 0)); err != nil {
		return err
	}
	fmt.Println("ok:", deployment.Name, "on", deployment.Listen)
	return nil
}

func version(flags *flag.FlagSet, args []string) error {
	parse(flags, args)
	fmt.Print("terntray ", release, " ", runtime.Version())
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				fmt.Print(" revision ", s.Value)
			}
		}
	}
	fmt.Println()
	return nil
}

// parse takes a command's flags; anything else on its line is a mistake.
func parse(flags *flag.FlagSet, args []string) {
	flags.Parse(args) // ends the program on a mistake
	if flags.NArg() > 0 {
		fmt.Fprintf(flags.Output(), "unexpected: %q\n", flags.Args())
		flags.Usage()
		os.Exit(2)
	}
}
