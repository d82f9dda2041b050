package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"umberwinch/internal/harness"
)

// demoRequest is what the flags of `demo` ask for.
type demoRequest struct {
	demo   harness.Demo
	asJSON bool
}

func newDemo() *cobra.Command {
	var r demoRequest
	c := &cobra.Command{Use: "demo", Short: "A node, an emulated kernel and a load on loopback, with a live table",
		Args: exact(0), Long: `Runs a node, an emulated kernel and callers in this process until --seconds are
over, q is pressed or it is interrupted, and prints what each class of requests got. A run that is interrupted
or fails leaves the node's log, and says on standard error where.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.check(); err != nil {
				return usage(err)
			}
			return r.run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr())
		}}
	f := c.Flags()
	f.Int64Var(&r.demo.Seed, "seed", 1, "seed of the load's random numbers")
	f.Float64Var(&r.demo.Load, "load", 0.9, "share of the cores' capacity that is asked for")
	f.BoolVar(&r.demo.Pools, "pools", false, "with pools of run slots")
	f.IntVar(&r.demo.Seconds, "seconds", 0, "how long; 0 until it is interrupted")
	f.StringVar(&r.demo.Trouble, "trouble", "",
		"a fault: a slow or cold dependency; links: the kernel's link breaks every 5 s")
	f.BoolVar(&r.asJSON, "json", false, "print the results as JSON")
	return c
}

func (r *demoRequest) check() error {
	if r.demo.Load <= 0 || r.demo.Load > 10 {
		return fmt.Errorf("--load: found %g, expected above 0 and at most 10", r.demo.Load)
	}
	if r.demo.Trouble != "" && !slices.Contains(harness.DemoTroubles, r.demo.Trouble) {
		return fmt.Errorf("--trouble: found %q, expected one of %v", r.demo.Trouble, harness.DemoTroubles)
	}
	return nil
}

func (r *demoRequest) run(ctx context.Context, out, errs io.Writer) error {
	r.demo.Plain = true
	if f, ok := out.(*os.File); ok && term.IsTerminal(int(f.Fd())) && term.IsTerminal(int(os.Stdin.Fd())) {
		was, err := term.MakeRaw(int(os.Stdin.Fd()))
		if err != nil {
			return err
		}
		defer term.Restore(int(os.Stdin.Fd()), was)
		r.demo.Plain, r.demo.Keys = false, pressedKeys(os.Stdin)
	}
	results, err := r.demo.Run(ctx, out)
	if err != nil {
		return err
	}
	if r.demo.Folder != "" {
		fmt.Fprintf(errs, "interrupted; logs are in %s\n", r.demo.Folder)
	}
	if r.asJSON {
		return printJSON(out, results)
	}
	return table(out, demoTable(results))
}

// pressedKeys reads a terminal in raw mode.
func pressedKeys(terminal io.Reader) <-chan byte {
	keys := make(chan byte)
	go func() {
		for one := make([]byte, 1); ; {
			if _, err := terminal.Read(one); err != nil {
				return
			}
			keys <- one[0]
		}
	}()
	return keys
}

func demoTable(results []harness.DemoResult) [][]string {
	rows := [][]string{{"CLASS", "ASKED", "IN TIME", "SHED", "95TH"}}
	for _, r := range results {
		rows = append(rows, []string{r.Class, fmt.Sprint(r.Requests), fmt.Sprintf("%.3f", r.InTime),
			fmt.Sprintf("%.3f", r.Shed), fmt.Sprintf("%.0f ms", r.P95)})
	}
	return rows
}
