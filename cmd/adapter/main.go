// Command adapter runs the decision module on the simulator's wire, over standard input and output.
package main

import (
	"fmt"
	"os"

	"umberwinch/internal/host"
)

func main() {
	if err := host.New().Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
