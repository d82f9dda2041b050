package policy

import (
	"encoding/json"
	"fmt"
)

// Snapshot returns the state as JSON. Builds of different versions exchange snapshots, so keys and their order must not
// change.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore decodes the output of Snapshot. Its errors wrap ErrSnapshot.
func Restore(raw []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return s, nil
}
