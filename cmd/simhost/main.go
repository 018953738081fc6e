// Simhost runs schedulers for the simulator, which it talks to over standard input and output.
package main

import (
	"fmt"
	"os"

	"terntray/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
