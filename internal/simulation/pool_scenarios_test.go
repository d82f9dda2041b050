package simulation

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// TestPoolScenarios plays each scenario on a few emulated servers: the promises hold, and break without each
// guard.
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

func TestScenarioFaults(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"class a work=x\n", `s:1: "work=x", expected KEY=NUMBER`},
		{"class a\nat 3 b rate=2\n", `s:2: class "b", expected one named before`},
		{"fly 3\n", `s:1: "fly" is not known`},
		{"cores\n", "s:1: a number is missing"},
		{"class a\n", "s: 1 classes, expected some, a cheapest and a dearest"},
		{"swing 0 1 2\n", "s:1: a swing takes a time above 0"},
	} {
		if _, err := ReadScenario("s", c.text); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, expected %q", c.text, err, c.want)
		}
	}
}
