// Command adapter runs the admission module for the simulator, in its protocol over standard input and output.
package main

import (
	"fmt"
	"os"

	"umberwinch/internal/simulator"
)

func main() {
	if err := simulator.New().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
