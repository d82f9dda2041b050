package admission

import (
	"fmt"
	"slices"
	"testing"
)

// TestLifecycle plays the recorded streams and all scenarios and holds each change of a request's state to the table of
// transitions; and no transition stands there that never happens.
func TestLifecycle(t *testing.T) {
	seen := map[string]bool{}
	onTransition = func(from, to state) {
		if !slices.Contains(transitions[from], to) {
			t.Fatalf("a request went from state %d to %d", from, to)
		}
		seen[fmt.Sprint(from, to)] = true
	}
	defer func() { onTransition = nil }()
	t.Run("decisions", TestRecordedDecisions)
	t.Run("faults", TestRecordedFaults)
	t.Run("scenarios", TestScenarios)
	for from, next := range transitions {
		for _, to := range next {
			if !seen[fmt.Sprint(state(from), to)] {
				t.Errorf("no request went from state %d to %d", from, to)
			}
		}
	}
}
