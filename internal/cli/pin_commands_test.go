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

var writeCommands = flag.Bool("write-commands", false, "write testdata/commands.txt anew")

// commandLines lists a command and those below it, each with its flags, their types and defaults.
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

// Every command and flag that operators could type in version 2a0a97e is still there, with its type and default. The
// list only grows.
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
			t.Errorf("found no %s", line)
		}
	}
}

// Scripts tell outcomes apart by these statuses.
func TestExitStatusesStay(t *testing.T) {
	got := [...]int{exitOK, exitFailed, exitUsage, exitRefused, exitUnknown}
	if got != [...]int{0, 1, 2, 3, 4} {
		t.Errorf("found %v, expected 0 to 4", got)
	}
}
