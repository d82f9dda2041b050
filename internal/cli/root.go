// Package cli implements the commands of umberctl: their flags, output and exit statuses. Decisions about groups, nodes
// and requests are made by the packages that it calls.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"umberwinch/internal/config"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed, or a fault test found a broken promise
	exitUsage   = 2 // invalid file, flag or document: nothing was done
	exitRefused = 3 // the group refused the request: a conflict, or an invalid document or change
	exitUnknown = 4 // no response: the request may or may not have taken effect
)

// exitError is an error with its exit status.
type exitError struct {
	error
	code int
}

func (c exitError) Unwrap() error { return c.error }

func usageError(err error) error { return exitError{err, exitUsage} }

// Run executes a command line, without the program's name, and returns the exit status.
func Run(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, err)
	var c exitError
	var r *errorResponse
	var f config.Faults
	switch {
	case errors.As(err, &c):
		return c.code
	case errors.As(err, &f):
		return exitUsage
	case errors.Is(err, errOutcomeUnknown):
		return exitUnknown
	case errors.As(err, &r):
		return exitRefused
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{Use: "umberctl",
		Short: "Control umberwinch fleets",
		Long: `umberctl runs and operates umberwinch's control service, its nodes and zones, and runs the project's
fault tests.

Exit statuses:
  0  success
  1  failure, or a fault test found a broken promise
  2  invalid file, flag or document; nothing was done
  3  the group refused the request
  4  no response; the request may or may not have taken effect`,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newDemo(), newControl(), newConfig(), newPolicy(), newNodes(), newZones(), newFleet(), newNode(),
		newResults(), newFaultTest(), newKept(), newLab())
	return root
}

// exactArgs requires n arguments; another number is a usage error.
func exactArgs(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(n)(c, args); err != nil {
			return usageError(fmt.Errorf("%s: %w", c.CommandPath(), err))
		}
		return nil
	}
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints rows in aligned columns.
func printTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, cell)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
