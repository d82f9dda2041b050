package membership

import (
	"encoding/json"
	"fmt"
)

// snapshot is the stored form of State. Builds of different versions exchange snapshots, so keys and their order must
// not change.
type snapshot struct {
	ClockMS               uint64  `json:"clock"`
	Batches               uint64  `json:"beats"`
	Epoch                 uint64  `json:"epoch"`
	Term                  uint64  `json:"term"`
	ListeningSinceMS      uint64  `json:"heard"`
	LastLeaseID           uint32  `json:"next"`
	UnknownLeasesExpireMS uint64  `json:"hush,omitempty"`
	LostState             string  `json:"lost,omitempty"`
	Nodes                 []*Node `json:"nodes"`
}

// Snapshot returns the state as JSON.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{
		ClockMS:               s.ClockMS,
		Batches:               s.Batches,
		Epoch:                 s.FleetEpoch,
		Term:                  s.Term,
		ListeningSinceMS:      s.ListeningSinceMS,
		LastLeaseID:           s.lastLeaseID,
		UnknownLeasesExpireMS: s.UnknownLeasesExpireMS,
		LostState:             s.LostState,
		Nodes:                 s.nodes,
	})
}

// Restore decodes the output of Snapshot. Its errors wrap ErrSnapshot.
func Restore(raw []byte) (*State, error) {
	var stored snapshot
	if err := json.Unmarshal(raw, &stored); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if len(stored.Nodes) > MaxNodes {
		return nil, fmt.Errorf("%w of %d nodes, expected at most %d", ErrSnapshot, len(stored.Nodes), MaxNodes)
	}
	s := New()
	s.ClockMS, s.Batches, s.FleetEpoch, s.Term = stored.ClockMS, stored.Batches, stored.Epoch, stored.Term
	s.ListeningSinceMS, s.UnknownLeasesExpireMS = stored.ListeningSinceMS, stored.UnknownLeasesExpireMS
	s.LostState, s.lastLeaseID = stored.LostState, stored.LastLeaseID
	for i, n := range stored.Nodes {
		if i > 0 && stored.Nodes[i-1].Name >= n.Name {
			return nil, fmt.Errorf("%w has %q after %q, expected them in order", ErrSnapshot, n.Name,
				stored.Nodes[i-1].Name)
		}
		s.nodes = append(s.nodes, n)
		s.byName[n.Name] = n
		if !n.IsOut() && n.Lease.ID != 0 {
			s.byLease[n.Lease.ID] = n
		}
	}
	return s, nil
}
