package coordinator

import (
	"umberwinch/internal/control/membership"
	"umberwinch/internal/control/policy"
	"umberwinch/internal/control/zones"
)

// State is the replicated state about nodes.
type State struct {
	Fleet        *membership.State
	Policy       *policy.State
	Zones        *zones.State
	Index        uint64          // of the last entry that was applied to it
	Generation   uint64          // how often the group was restored, from 1 on
	Predecessors []string        // groups of earlier generations, the oldest first
	Checksums    []EntryChecksum // of the newest entries that were applied to it

	DisabledGuards     policy.Guard // for fault tests alone
	DisabledZoneGuards zones.Guard  // for fault tests alone
}

// NewState gives the empty state of a group's first generation.
func NewState(disabled policy.Guard) *State {
	return &State{
		Fleet:          membership.New(),
		Policy:         &policy.State{},
		Zones:          &zones.State{},
		Generation:     1,
		DisabledGuards: disabled,
	}
}

// leaseTerms gives the terms that leases are granted under now.
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

// versionHash gives the hash of a version that is or was in force, empty where it is not known any more.
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
