// Package cli is umberctl's commands: what operators type, print and get as an exit status. It owns flags,
// tables and exit statuses alike in all of them; it decides nothing about a group or a request.
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
	exitFailed  = 1 // it ran and failed, or a fault test broke a promise
	exitUsage   = 2 // a wrong file, flag or document: nothing was done
	exitRefused = 3 // the group refused it: a conflict, a wrong document or change
	exitUnknown = 4 // no response: it may or may not have been done
)

// exitError is an error with an exit status of its own.
type exitError struct {
	error
	code int
}

func (c exitError) Unwrap() error { return c.error }

func usageError(err error) error { return exitError{err, exitUsage} }

// Run runs a command line and gives the exit status.
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
		Short: "Run, query and change umberwinch's control service; run fault tests",
		Long: `umberctl runs an instance of umberwinch's control service, queries and changes a group of them, and
runs the project's fault tests.

Exit statuses: 0 done; 1 failed, or a promise was broken; 2 a wrong file, flag or document, nothing was done; 3
the group refused it; 4 no response, it may or may not have been done.`,
		SilenceUsage: true, SilenceErrors: true, Args: cobra.NoArgs}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(newDemo(), newControl(), newConfig(), newPolicy(), newNodes(), newZones(), newFleet(), newNode(),
		newResults(), newFaultTest(), newKept(), newLab())
	return root
}

// exactArgs requires so many arguments; another number is a wrong line.
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

// printTable prints rows in columns, the first row as their head.
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
