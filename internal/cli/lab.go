package cli

import (
	"github.com/spf13/cobra"
)

func newLab() *cobra.Command {
	c := &cobra.Command{Use: "lab", Short: "The laboratory: the real code under faults and load"}
	return c
}
