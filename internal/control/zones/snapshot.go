package zones

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Snapshot returns the state in the form that Restore reads.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads what Snapshot returned; empty input gives the empty state. Its errors wrap ErrSnapshot: malformed
// JSON, or more than MaxZones zones.
func Restore(raw []byte) (*State, error) {
	state := &State{}
	if len(raw) == 0 {
		return state, nil
	}
	if err := json.Unmarshal(raw, state); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if len(state.Zones) > MaxZones {
		return nil, fmt.Errorf("%d %w, expected at most %d", len(state.Zones), ErrSnapshot, MaxZones)
	}
	return state, nil
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
