package policy

import "umberwinch/internal/control/api"

// Rules are a version's settings for leases, autonomous mode and zones.
type Rules struct {
	LeaseMS    uint64        `json:"lease_ms"`
	Autonomous bool          `json:"alone"` // when_alone = go-on: nodes keep serving after their lease expires
	Zones      api.ZoneRules `json:"zones,omitzero"`
}

// defaultLeaseMS is the lease before any version is committed, in ms. It outlasts several failovers of the group.
const defaultLeaseMS = 10_000

// DefaultRules apply until a version is committed. Without a policy, nodes are autonomous.
var DefaultRules = Rules{LeaseMS: defaultLeaseMS, Autonomous: true}

// ActiveRules returns the rules under which leases are granted.
func (s *State) ActiveRules() Rules {
	if s.CommittedVersion == 0 {
		return DefaultRules
	}
	return s.Rules
}
