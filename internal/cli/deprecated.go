package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// newLab returns the deprecated command `lab`, with the fault tests under their earlier names.
func newLab() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Run fault tests (deprecated name of faulttest)", Hidden: true}
	for _, child := range []*cobra.Command{newRaftTest(), newPoolsTest(), newPolicyTest(), newZonesTest()} {
		c.AddCommand(deprecated(child, "faulttest "+child.Name()))
	}
	c.AddCommand(deprecated(renamed(newRecoveryTest(), "comeback"), "faulttest recovery"),
		deprecated(renamed(newResultStoreTest(), "kept"), "faulttest results"))
	return c
}

// newKept returns the deprecated command `kept`, the earlier name of `results`.
func newKept() *cobra.Command { return deprecated(renamed(newResults(), "kept"), "results") }

// renamed changes a command's name and keeps the arguments in its use line.
func renamed(c *cobra.Command, name string) *cobra.Command {
	c.Use = name + strings.TrimPrefix(c.Use, c.Name())
	return c
}

// deprecated hides a command and its subcommands from help and makes them warn on standard error. Standard output is
// unchanged, because scripts read it. replacement is the path of the current command without the program's name.
func deprecated(c *cobra.Command, replacement string) *cobra.Command {
	c.Hidden = true
	for _, child := range c.Commands() {
		deprecated(child, replacement+" "+child.Name())
	}
	if run := c.RunE; run != nil {
		c.RunE = func(cmd *cobra.Command, args []string) error {
			fmt.Fprintf(cmd.ErrOrStderr(), "%s is deprecated, use umberctl %s\n", cmd.CommandPath(), replacement)
			return run(cmd, args)
		}
	}
	return c
}
