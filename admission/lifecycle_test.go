package admission

import (
	"fmt"
	"slices"
	"testing"
)

// TestLifecycleTransitions checks that the recorded streams and all scenarios make only the state changes in
// transitions, and each of them at least once.
func TestLifecycleTransitions(t *testing.T) {
	seen := map[string]bool{}
	onTransition = func(from, to state) {
		if !slices.Contains(transitions[from], to) {
			t.Fatalf("transition from state %d to %d, want one of %v", from, to, transitions[from])
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
				t.Errorf("no transition from state %d to %d, want at least one", from, to)
			}
		}
	}
}
