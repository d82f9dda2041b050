package coordinator

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// snapshot is the stored form of State. Builds of different versions read each other's, so keys and order stay. What a
// fleet does not use is left out, so that an older build reads what it knows.
type snapshot struct {
	Index        uint64          `json:"index"`
	Fleet        json.RawMessage `json:"fleet"`
	Policy       json.RawMessage `json:"policy"`
	Zones        json.RawMessage `json:"zones,omitempty"`
	Generation   uint64          `json:"generation,omitempty"` // 0: the first
	Predecessors []string        `json:"before,omitempty"`
	Checksums    []EntryChecksum `json:"sums,omitempty"`
}

// Snapshot gives the state as one line of JSON.
func (s *State) Snapshot() ([]byte, error) {
	fleet, err := s.Fleet.Snapshot()
	if err != nil {
		return nil, err
	}
	policyState, err := s.Policy.Snapshot()
	if err != nil {
		return nil, err
	}
	stored := snapshot{
		Index:        s.Index,
		Fleet:        fleet,
		Policy:       policyState,
		Predecessors: s.Predecessors,
		Checksums:    s.Checksums[max(0, len(s.Checksums)-maxChecksums):],
	}
	if s.Generation > 1 {
		stored.Generation = s.Generation
	}
	if s.Zones.Epoch > 0 || len(s.Zones.Zones) > 0 {
		if stored.Zones, err = s.Zones.Snapshot(); err != nil {
			return nil, err
		}
	}
	return json.Marshal(stored)
}

// Restore reads what Snapshot gave, in place of what the state held. Its errors wrap ErrSnapshot or that of the
// subsystem whose part is spoilt; the state is then as it was.
func (s *State) Restore(raw []byte) error {
	var stored snapshot
	if err := json.Unmarshal(raw, &stored); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	fleet, err := membership.Restore(stored.Fleet)
	if err != nil {
		return err
	}
	policyState, err := policy.Restore(stored.Policy)
	if err != nil {
		return err
	}
	zoneStates, err := zones.Restore(stored.Zones)
	if err != nil {
		return err
	}
	s.Index, s.Fleet, s.Policy, s.Zones = stored.Index, fleet, policyState, zoneStates
	s.Generation, s.Predecessors, s.Checksums = max(1, stored.Generation), stored.Predecessors, stored.Checksums
	return nil
}
