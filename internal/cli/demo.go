package cli

import (
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"umberwinch/internal/harness"
)

func newDemo() *cobra.Command {
	d := &harness.Demo{}
	var asJSON bool
	c := &cobra.Command{Use: "demo", Short: "A node, an emulated kernel and a load on loopback, with a live table",
		Args: exact(0), RunE: func(cmd *cobra.Command, _ []string) error {
			if d.Load <= 0 || d.Load > 10 {
				return usage(fmt.Errorf("--load: found %g, expected above 0 and at most 10", d.Load))
			}
			if d.Trouble != "" && !slices.Contains(harness.DemoTroubles, d.Trouble) {
				return usage(fmt.Errorf("--trouble: found %q, expected one of %v", d.Trouble, harness.DemoTroubles))
			}
			d.Plain = true
			out := cmd.OutOrStdout()
			if f, ok := out.(*os.File); ok && term.IsTerminal(int(f.Fd())) && term.IsTerminal(int(os.Stdin.Fd())) {
				was, err := term.MakeRaw(int(os.Stdin.Fd()))
				if err != nil {
					return err
				}
				defer term.Restore(int(os.Stdin.Fd()), was)
				keys := make(chan byte)
				go func() {
					for one := make([]byte, 1); ; {
						if _, err := os.Stdin.Read(one); err != nil {
							return
						}
						keys <- one[0]
					}
				}()
				d.Plain, d.Keys = false, keys
			}
			res, err := d.Run(cmd.Context(), out)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(out, res)
			}
			rows := [][]string{{"CLASS", "ASKED", "IN TIME", "SHED", "95TH"}}
			for _, r := range res {
				rows = append(rows, []string{r.Class, fmt.Sprint(r.Asked), fmt.Sprintf("%.3f", r.InTime),
					fmt.Sprintf("%.3f", r.Shed), fmt.Sprintf("%.0f ms", r.P95)})
			}
			return table(out, rows)
		}}
	f := c.Flags()
	f.Int64Var(&d.Seed, "seed", 1, "the load's chance comes from it")
	f.Float64Var(&d.Load, "load", 0.9, "share of the cores' capacity that is asked for")
	f.BoolVar(&d.Pools, "pools", false, "with pools of run slots")
	f.IntVar(&d.Seconds, "seconds", 0, "how long; 0 until it is interrupted")
	f.StringVar(&d.Trouble, "trouble", "", "slow or cold: a service below that is; links: the kernel's link breaks every 5 s")
	f.BoolVar(&asJSON, "json", false, "print the sums as JSON")
	return c
}
