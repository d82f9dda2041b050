package coordinator

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// snapshot is the stored form of State. Builds of different versions exchange snapshots, so keys and their order must
// not change. Unused features are omitted, so that older builds can read the snapshot.
type snapshot struct {
	Index        uint64          `json:"index"`
	Fleet        json.RawMessage `json:"fleet"`
	Policy       json.RawMessage `json:"policy"`
	Zones        json.RawMessage `json:"zones,omitempty"`
	Generation   uint64          `json:"generation,omitempty"` // 0: first generation
	Predecessors []string        `json:"before,omitempty"`
	Checksums    []EntryChecksum `json:"sums,omitempty"`
}

// Snapshot returns the state as one line of JSON.
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

// Restore replaces the state by a decoded snapshot. Its errors wrap ErrSnapshot or the ErrSnapshot of a subsystem; on
// an error the state is unchanged.
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
