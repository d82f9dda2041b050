package policy

import "umberwinch/internal/control/api"

// Rules are what a version's document says about leases and about the absence of the group.
type Rules struct {
	LeaseMS    uint64        `json:"lease_ms"`
	Autonomous bool          `json:"alone"` // when_alone = go-on: nodes serve on when their lease has run out
	Zones      api.ZoneRules `json:"zones,omitzero"`
}

// defaultLeaseMS is the lease before any version is in force, in ms: several failovers of the group long, so that
// none of them fences a node. A longer one would make the first change wait longer for nodes that are gone.
const defaultLeaseMS = 10_000

// DefaultRules hold until a version is in force. A fleet that nobody has given a policy serves on without the group.
var DefaultRules = Rules{LeaseMS: defaultLeaseMS, Autonomous: true}

// ActiveRules gives the rules that leases are granted under now.
func (s *State) ActiveRules() Rules {
	if s.CommittedVersion == 0 {
		return DefaultRules
	}
	return s.Rules
}
