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
	changes, err := s.Policy.Snapshot()
	if err != nil {
		return nil, err
	}
	p := snapshot{
		Index:        s.Index,
		Fleet:        fleet,
		Policy:       changes,
		Predecessors: s.Predecessors,
		Checksums:    s.Checksums[max(0, len(s.Checksums)-maxChecksums):],
	}
	if s.Generation > 1 {
		p.Generation = s.Generation
	}
	if s.Zones.Epoch > 0 || len(s.Zones.Zones) > 0 {
		if p.Zones, err = s.Zones.Snapshot(); err != nil {
			return nil, err
		}
	}
	return json.Marshal(p)
}

// Restore reads what Snapshot gave, in place of what the state held. Its errors wrap ErrSnapshot or that of the
// subsystem whose part is spoilt; the state is then as it was.
func (s *State) Restore(raw []byte) error {
	var p snapshot
	if err := json.Unmarshal(raw, &p); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	fleet, err := membership.Restore(p.Fleet)
	if err != nil {
		return err
	}
	changes, err := policy.Restore(p.Policy)
	if err != nil {
		return err
	}
	zoneStates, err := zones.Restore(p.Zones)
	if err != nil {
		return err
	}
	s.Index, s.Fleet, s.Policy, s.Zones = p.Index, fleet, changes, zoneStates
	s.Generation, s.Predecessors, s.Checksums = max(1, p.Generation), p.Predecessors, p.Checksums
	return nil
}
