package simulation

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestPoolScenarios: each scenario of overload is played on a few emulated servers. The cheapest class is served,
// the one of the highest weight doesn't lose by pools; without the reserve, or without limits, a promise breaks.
func TestPoolScenarios(t *testing.T) {
	for _, c := range []struct {
		without, want string
		size          int
	}{{"", "pools: kept seed=1 ", 6}, {"reserve", "pools: broken: ", 1}, {"limits", "pools: broken: ", 2}} {
		t.Run("without "+c.without, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			r := &Pools{Seed: 1, Size: c.size, Without: c.without, Out: t.TempDir()}
			if _, err := r.Run(context.Background(), &out); err != nil {
				t.Fatal(err)
			}
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			if !strings.HasPrefix(lines[len(lines)-1], c.want) {
				t.Errorf("%s, expected %s", lines[len(lines)-1], c.want)
			}
		})
	}
}

// TestScenarioFaults: a scenario with a fault in its text is rejected, with the line, what was found and what is
// expected.
func TestScenarioFaults(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"class a work=x\n", `s:1: "work=x", expected KEY=NUMBER`},
		{"class a\nat 3 b rate=2\n", `s:2: class "b", expected one named before`},
		{"fly 3\n", `s:1: "fly" is not known`},
		{"cores\n", "s:1: a number is missing"},
		{"class\n", "s:1: a class is missing"},
		{"holds\n", "s:1: a class is missing"},
		{"class a\n", "s: 1 classes, expected some, a cheapest and a dearest"},
		{"swing 0 1 2\n", "s:1: a swing takes a time above 0"},
	} {
		if _, err := ReadScenario("s", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, expected %q", c.text, err, c.want)
		}
	}
}
