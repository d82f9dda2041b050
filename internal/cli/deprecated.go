package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

// newLab has the fault tests under the names that they had before.
func newLab() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "Earlier name of faulttest", Hidden: true}
	for _, child := range []*cobra.Command{newRaftTest(), newPoolsTest(), newPolicyTest(), newZonesTest()} {
		c.AddCommand(deprecated(child, "faulttest "+child.Name()))
	}
	c.AddCommand(deprecated(renamed(newRecoveryTest(), "comeback"), "faulttest recovery"),
		deprecated(renamed(newResultStoreTest(), "kept"), "faulttest results"))
	return c
}

// newKept has the commands about stored results under the name that they had before.
func newKept() *cobra.Command { return deprecated(renamed(newResults(), "kept"), "results") }

// renamed gives a command another name; what follows the name in its use line stays.
func renamed(c *cobra.Command, name string) *cobra.Command {
	c.Use = name + strings.TrimPrefix(c.Use, c.Name())
	return c
}

// deprecated keeps a command, and those below it, under an earlier name: not shown in help, and with a warning on
// standard error that names the present one. Standard output stays as it is, as scripts read it. now is the present
// name without the program's.
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
