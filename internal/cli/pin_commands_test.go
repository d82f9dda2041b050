package cli

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var writeCommands = flag.Bool("write-commands", false, "rewrite testdata/commands.txt")

// commandLines lists a command and its subcommands, each with its flags, their types and defaults.
func commandLines(c *cobra.Command) []string {
	lines := []string{c.CommandPath()}
	c.LocalNonPersistentFlags().VisitAll(func(f *pflag.Flag) {
		lines = append(lines, fmt.Sprintf("%s --%s %s %q", c.CommandPath(), f.Name, f.Value.Type(), f.DefValue))
	})
	c.PersistentFlags().VisitAll(func(f *pflag.Flag) {
		lines = append(lines, fmt.Sprintf("%s --%s %s %q", c.CommandPath(), f.Name, f.Value.Type(), f.DefValue))
	})
	for _, below := range c.Commands() {
		lines = append(lines, commandLines(below)...)
	}
	return lines
}

// Operators' scripts depend on commands and flags: all that are in testdata/commands.txt, recorded at version 2a0a97e,
// must exist with the same type and default. Entries may only be added.
func TestCommandsAndFlagsStay(t *testing.T) {
	file := filepath.Join("testdata", "commands.txt")
	now := commandLines(newRoot())
	if *writeCommands {
		if err := os.WriteFile(file, []byte(strings.Join(now, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	for _, line := range now {
		known[line] = true
	}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		if !known[line] {
			t.Errorf("%s is missing, want it unchanged", line)
		}
	}
}

// Operators' scripts depend on the exit statuses.
func TestExitStatusesStay(t *testing.T) {
	got := [...]int{exitOK, exitFailed, exitUsage, exitRefused, exitUnknown}
	if got != [...]int{0, 1, 2, 3, 4} {
		t.Errorf("exit statuses are %v, want 0 to 4", got)
	}
}
