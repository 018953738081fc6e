package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"runtime"
	"runtime/debug"

	"terntray/config"
	"terntray/coordinator"
)

const release = "0.1"

// check implements the command that validates the configuration. It opens no socket.
func check(flags *flag.FlagSet, args []string) error {
	configFile := configFlag(flags)
	parse(flags, args)
	deployment, err := readDeployment(*configFile)
	if err != nil {
		return err
	}
	if _, err := coordinator.New(deployment, log.New(os.Stderr, "", 0)); err != nil {
		return err
	}
	fmt.Println("ok:", deployment.Name, "on", deployment.Listen)
	return nil
}

// version implements the command that prints the release, the Go version and, if the build recorded it, the revision.
func version(flags *flag.FlagSet, args []string) error {
	parse(flags, args)
	fmt.Print("terntray ", release, " ", runtime.Version())
	if revision := buildRevision(); revision != "" {
		fmt.Print(" revision ", revision)
	}
	fmt.Println()
	return nil
}

// buildRevision returns the version control revision that the build recorded, or an empty string.
func buildRevision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// configFlag declares the flag that names the installation file.
func configFlag(flags *flag.FlagSet) *string {
	return flags.String("installation", "",
		"installation file, as rendered by terntray-settings (default: none)")
}

// readDeployment reads the platform file, which the environment names, and the installation file.
func readDeployment(configFile string) (*coordinator.Deployment, error) {
	deployment, err := coordinator.ReadDeployment(os.Getenv)
	if err != nil {
		return nil, err
	}
	deployment.Installation, err = config.Read(configFile)
	return deployment, err
}

// parse parses a command's flags. It exits with exitUsage if there are other arguments.
func parse(flags *flag.FlagSet, args []string) {
	_ = flags.Parse(args) // never fails: the flag set uses ExitOnError
	if flags.NArg() > 0 {
		fmt.Fprintf(flags.Output(), "unexpected arguments: %q\n", flags.Args())
		flags.Usage()
		os.Exit(exitUsage)
	}
}
