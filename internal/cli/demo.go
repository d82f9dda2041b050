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

// demoOptions are the flags of `demo`.
type demoOptions struct {
	demo   harness.Demo
	asJSON bool
}

func newDemo() *cobra.Command {
	var r demoOptions
	c := &cobra.Command{Use: "demo", Short: "Run a node, an emulated kernel and a load on loopback, with a live table",
		Args: exactArgs(0),
		Long: `Run a node, an emulated kernel and callers in this process for --seconds, or until q is
pressed or the command is interrupted, then print the results of each class of requests. An interrupted or failed run
keeps the node's log and prints its folder on standard error.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := r.validate(); err != nil {
				return usageError(err)
			}
			return r.run(cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr())
		}}
	f := c.Flags()
	f.Int64Var(&r.demo.Seed, "seed", 1, "seed of the load's random numbers")
	f.Float64Var(&r.demo.Load, "load", 0.9, "offered load as a fraction of the cores' capacity, above 0 and at most 10")
	f.BoolVar(&r.demo.Pools, "pools", false, "enable pools of run slots")
	f.IntVar(&r.demo.Seconds, "seconds", 0, "duration in seconds; 0 to run until interrupted")
	f.StringVar(&r.demo.Fault, "trouble", "",
		"fault to inject: slow or cold (a dependency), or links (breaks the kernel's link every 5 s)")
	f.BoolVar(&r.asJSON, "json", false, "print the results as JSON")
	return c
}

func (r *demoOptions) validate() error {
	if r.demo.Load <= 0 || r.demo.Load > 10 {
		return fmt.Errorf("--load: found %g, expected above 0 and at most 10", r.demo.Load)
	}
	if r.demo.Fault != "" && !slices.Contains(harness.DemoFaults, r.demo.Fault) {
		return fmt.Errorf("--trouble: found %q, expected one of %v", r.demo.Fault, harness.DemoFaults)
	}
	return nil
}

func (r *demoOptions) run(ctx context.Context, stdout, stderr io.Writer) error {
	r.demo.Plain = true
	if f, ok := stdout.(*os.File); ok && term.IsTerminal(int(f.Fd())) && term.IsTerminal(int(os.Stdin.Fd())) {
		state, err := term.MakeRaw(int(os.Stdin.Fd()))
		if err != nil {
			return err
		}
		defer term.Restore(int(os.Stdin.Fd()), state)
		r.demo.Plain, r.demo.Keys = false, readKeys(os.Stdin)
	}
	results, err := r.demo.Run(ctx, stdout)
	if err != nil {
		return err
	}
	if r.demo.LogDir != "" {
		fmt.Fprintf(stderr, "interrupted; logs are in %s\n", r.demo.LogDir)
	}
	if r.asJSON {
		return printJSON(stdout, results)
	}
	return printTable(stdout, demoTable(results))
}

// readKeys sends each byte read from a terminal in raw mode, until a read fails.
func readKeys(terminal io.Reader) <-chan byte {
	keys := make(chan byte)
	go func() {
		for key := make([]byte, 1); ; {
			if _, err := terminal.Read(key); err != nil {
				return
			}
			keys <- key[0]
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
