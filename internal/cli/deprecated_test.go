package cli

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// Deprecated commands must have the same status and standard output as their replacements, warn on standard error, and
// be hidden from help. Otherwise scripts that use them would break.
func TestDeprecatedCommandsWorkAndWarn(t *testing.T) {
	for _, c := range []struct{ name, earlier, now string }{
		{"fault test", "lab raft --without x", "faulttest raft --without x"},
		{"renamed fault test", "lab kept --without x", "faulttest results --without x"},
		{"recovery", "lab comeback --mode x", "faulttest recovery --mode x"},
		{"stored results", "kept list " + t.TempDir(), "results list " + t.TempDir()},
	} {
		t.Run(c.name, func(t *testing.T) {
			stdout, stderr, status := runCommand(t, strings.Fields(c.earlier)...)
			wantStdout, wantStderr, wantStatus := runCommand(t, strings.Fields(c.now)...)
			warning, rest, _ := strings.Cut(stderr, "\n")
			words := strings.Fields(c.now)
			if !strings.Contains(warning, "is deprecated, use umberctl "+words[0]+" "+words[1]) {
				t.Errorf("got warning %q, want the replacement umberctl %s %s", warning, words[0], words[1])
			}
			if stdout != wantStdout || status != wantStatus || len(rest) == 0 || len(rest) != len(wantStderr) {
				t.Errorf("got status %d, stdout %q, stderr %q; want %d, %q, %q", status, stdout, rest, wantStatus,
					wantStdout, wantStderr)
			}
			if strings.Contains(wantStderr, "deprecated") {
				t.Errorf("%s: got stderr %q, want no deprecation warning", c.now, wantStderr)
			}
		})
	}
	for _, hidden := range []string{"lab", "kept"} {
		if c, _, err := newRoot().Find([]string{hidden}); err != nil || !c.Hidden {
			t.Errorf("Find(%s): error %v, want a hidden command", hidden, err)
		}
	}
}

// Deprecated commands must have exactly the flags of their replacements.
func TestDeprecatedCommandsHaveTheSameFlags(t *testing.T) {
	root := newRoot()
	find := func(path string) *cobra.Command {
		c, rest, err := root.Find(strings.Fields(path))
		if err != nil || len(rest) > 0 {
			t.Fatalf("Find(%s): rest %q, error %v, want a command", path, rest, err)
		}
		return c
	}
	for deprecatedName, replacement := range map[string]string{"lab raft": "faulttest raft",
		"lab pools": "faulttest pools", "lab policy": "faulttest policy", "lab zones": "faulttest zones",
		"lab comeback": "faulttest recovery",
		"lab kept":     "faulttest results", "kept stat": "results stat", "kept verify": "results verify",
		"kept compact": "results compact"} {
		if got, want := find(deprecatedName).Flags().FlagUsages(), find(replacement).Flags().FlagUsages(); got != want {
			t.Errorf("%s has the flags\n%swant those of %s\n%s", deprecatedName, got, replacement, want)
		}
	}
}
