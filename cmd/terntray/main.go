// Terntray is a co-ordinator of queries over replicated shards.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit statuses.
const (
	exitFailure = 1 // the command failed
	exitUsage   = 2 // the command line is wrong
)

const usage = `usage: terntray COMMAND [FLAGS]

  serve     serve queries until SIGTERM or SIGINT
  check     validate the configuration and exit
  version   print the version
  help      print this help

terntray COMMAND -h lists a command's flags.
`

var commands = map[string]func(*flag.FlagSet, []string) error{
	"serve":   serve,
	"check":   check,
	"version": version,
}

func main() {
	if len(os.Args) < 2 {
		failUsage()
	}
	name := os.Args[1]
	if name == "help" {
		fmt.Print(usage)
		return
	}
	command, known := commands[name]
	if !known {
		failUsage()
	}
	flags := flag.NewFlagSet("terntray "+name, flag.ExitOnError)
	if err := command(flags, os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "terntray:", err)
		os.Exit(exitFailure)
	}
}

// failUsage prints the usage and exits with exitUsage.
func failUsage() {
	fmt.Fprint(os.Stderr, usage)
	os.Exit(exitUsage)
}
