package simulation

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestPoolScenarios runs all scenarios: with pools the cheapest class is served and the class of the highest value
// doesn't lose. With the reserve or the limits disabled an invariant must be violated.
func TestPoolScenarios(t *testing.T) {
	for _, c := range []struct {
		without, want string
		size          int
	}{{"", "pools: kept seed=1 ", 6}, {"reserve", "pools: broken: ", 1}, {"limits", "pools: broken: ", 2}} {
		t.Run("without "+c.without, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			r := &PoolTest{Seed: 1, Size: c.size, Without: c.without, Out: t.TempDir()}
			if _, err := r.Run(context.Background(), &out); err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			if !strings.HasPrefix(lines[len(lines)-1], c.want) {
				t.Errorf("last line = %q, want prefix %q", lines[len(lines)-1], c.want)
			}
		})
	}
}

// TestReadScenarioRejectsInvalidText checks that an error names the line, the text found and what was expected.
func TestReadScenarioRejectsInvalidText(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"class a work=x\n", `s:1: found "work=x", expected KEY=NUMBER`},
		{"class a\nat 3 b rate=2\n", `s:2: class "b" is not defined in an earlier line`},
		{"fly 3\n", `s:1: unknown keyword "fly"`},
		{"cores\n", "s:1: a number is missing"},
		{"class\n", "s:1: a class is missing"},
		{"holds\n", "s:1: a class is missing"},
		{"class a\n", "s: found 1 classes, expected at least one class, a cheapest and a dearest class"},
		{"swing 0 1 2\n", "s:1: the period of a swing must be above 0"},
	} {
		if _, err := ReadScenario("s", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("ReadScenario(%q) error = %v, want %q", c.text, err, c.want)
		}
	}
}
