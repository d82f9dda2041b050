package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// State is the replicated state of the fleet: its nodes, policy changes and zones.
type State struct {
	Fleet        *membership.State
	Policy       *policy.State
	Zones        *zones.State
	Index        uint64          // of the last applied entry
	Generation   uint64          // 1 for a new group; each restoration increments it
	Predecessors []string        // groups of earlier generations, oldest first
	Checksums    []EntryChecksum // of the newest applied entries

	DisabledGuards     policy.Guard // for fault tests only
	DisabledZoneGuards zones.Guard  // for fault tests only
}

// NewState returns the empty state of a group's first generation.
func NewState(disabled policy.Guard) *State {
	return &State{
		Fleet:          membership.New(),
		Policy:         &policy.State{},
		Zones:          &zones.State{},
		Generation:     1,
		DisabledGuards: disabled,
	}
}

// leaseTerms returns the terms under which leases are granted.
func (s *State) leaseTerms() membership.LeaseTerms {
	rules := s.Policy.ActiveRules()
	terms := membership.LeaseTerms{
		LeaseMS:        rules.LeaseMS,
		Autonomous:     rules.Autonomous,
		DecidedVersion: s.Policy.DecidedVersion,
	}
	if rules.Zones.Enabled() && !s.DisabledZoneGuards.Has(zones.OneEpoch) {
		terms.ZoneEpoch = s.Zones.Epoch
	}
	return terms
}

// versionHash returns the hash of the committed or an earlier settled version, empty if unknown.
func (s *State) versionHash(version uint64) string {
	if version == s.Policy.CommittedVersion {
		return s.Policy.CommittedHash
	}
	for _, c := range s.Policy.History {
		if c.Version == version && c.Step == policy.Settled {
			return c.Hash
		}
	}
	return ""
}
