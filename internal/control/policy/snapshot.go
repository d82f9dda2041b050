package policy

import (
	"encoding/json"
	"fmt"
)

// Snapshot gives the state as JSON. Builds of different versions read each other's, so keys and order stay.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Restore reads what Snapshot gave. Its errors wrap ErrSnapshot.
func Restore(raw []byte) (*State, error) {
	s := &State{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return s, nil
}
