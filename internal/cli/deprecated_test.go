package cli

import (
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// Earlier names of commands do what the present ones do, with the same flags, status and output, and say on standard
// error what they are called now. Help shows the present ones alone.
func TestDeprecatedCommandsWorkAndWarn(t *testing.T) {
	for _, c := range []struct{ name, earlier, now string }{
		{"harness", "lab raft --without x", "faulttest raft --without x"},
		{"renamed below the harness", "lab kept --without x", "faulttest results --without x"},
		{"recovery", "lab comeback --mode x", "faulttest recovery --mode x"},
		{"stored results", "kept list " + t.TempDir(), "results list " + t.TempDir()},
	} {
		t.Run(c.name, func(t *testing.T) {
			stdout, stderr, status := runCommand(t, strings.Fields(c.earlier)...)
			wantStdout, wantStderr, wantStatus := runCommand(t, strings.Fields(c.now)...)
			warning, rest, _ := strings.Cut(stderr, "\n")
			words := strings.Fields(c.now)
			if !strings.Contains(warning, "is deprecated, use umberctl "+words[0]+" "+words[1]) {
				t.Errorf("warns %q", warning)
			}
			if stdout != wantStdout || status != wantStatus || len(rest) == 0 || len(rest) != len(wantStderr) {
				t.Errorf("status %d, output %q, errors %q; expected %d, %q, %q", status, stdout, rest, wantStatus, wantStdout,
					wantStderr)
			}
			if strings.Contains(wantStderr, "deprecated") {
				t.Errorf("the present name warns: %q", wantStderr)
			}
		})
	}
	for _, hidden := range []string{"lab", "kept"} {
		if c, _, err := newRoot().Find([]string{hidden}); err != nil || !c.Hidden {
			t.Errorf("%s: %v, shown in help", hidden, err)
		}
	}
}

// Each flag of an earlier name is a flag of the present one.
func TestDeprecatedCommandsHaveTheSameFlags(t *testing.T) {
	root := newRoot()
	find := func(path string) *cobra.Command {
		c, rest, err := root.Find(strings.Fields(path))
		if err != nil || len(rest) > 0 {
			t.Fatalf("%s: %v", path, err)
		}
		return c
	}
	for earlier, now := range map[string]string{"lab raft": "faulttest raft", "lab pools": "faulttest pools",
		"lab policy": "faulttest policy", "lab zones": "faulttest zones", "lab comeback": "faulttest recovery",
		"lab kept": "faulttest results", "kept stat": "results stat", "kept verify": "results verify",
		"kept compact": "results compact"} {
		if was, is := find(earlier).Flags().FlagUsages(), find(now).Flags().FlagUsages(); was != is {
			t.Errorf("%s has the flags\n%s%s\n%s", earlier, was, now, is)
		}
	}
}
