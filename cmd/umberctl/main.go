// Command umberctl runs and asks umberwinch's control service and holds the project's laboratory.
package main

import (
	"os"

	"umberwinch/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
