// Command umberctl runs and operates umberwinch's control service, nodes and zones, and runs the project's fault tests.
package main

import (
	"os"

	"umberwinch/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
