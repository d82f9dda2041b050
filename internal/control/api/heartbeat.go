package api

// What nodes and the group say to each other, as JSON over HTTP/1.1. The types stand here because both sides
// know them and this package drags nothing along.

// HeartbeatRequest is what a node says. Without a lease it asks to join; with Renew it wants its lease extended, which goes
// through the log; else it reports and is told what holds now.
type HeartbeatRequest struct {
	JoinRequest
	LeaseID         uint32         `json:"lease,omitempty"`
	Renew           bool           `json:"renew,omitempty"`
	Leave           bool           `json:"bye,omitempty"`
	LastClockMS     uint64         `json:"echo"`   // the group's time in the last answer it heard
	MinVersion      uint64         `json:"floor"`  // it serves under nothing older, from the sending of this on
	ActiveVersion   uint64         `json:"serves"` // the version taken over last
	Fenced          string         `json:"fenced,omitempty"`
	PreparedVersion uint64         `json:"prepared,omitempty"` // checked, tried, kept: can be taken over between two rounds
	RefusedVersion  uint64         `json:"refused,omitempty"`  // a version it can't serve under
	RefusedReason   string         `json:"why,omitempty"`
	MinZoneEpoch    uint64         `json:"zones,omitempty"` // it acts on no older epoch of the zones, from the sending of this on
	Load            *LoadReport    `json:"load,omitempty"`
	Peers           []PeerHealth   `json:"seen,omitempty"`
	LastSeen        *GroupPosition `json:"heard,omitempty"` // what the node was told last, by whichever group
}

// GroupPosition is where a group stood when a node was told last, and what the node serves under because of it: what was told was
// committed, so a group that does not know it has lost it.
type GroupPosition struct {
	Group         string `json:"group"`
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"`
	EntryChecksum uint64 `json:"sum,omitempty"`  // of that entry
	ActiveHash    string `json:"hash,omitempty"` // of what it serves under
}

// VersionHash is a version and the hash of its text.
type VersionHash struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
}

// HeartbeatResponse is the answer. All of it is as of entry Index of the log of Cluster.
type HeartbeatResponse struct {
	Cluster          string      `json:"cluster"`
	Term             uint64      `json:"term"`
	Index            uint64      `json:"index"`
	EntryChecksum    uint64      `json:"sum,omitempty"` // of what the group's log has there
	ClockMS          uint64      `json:"clock_ms"`      // the group's time
	LeaseID          uint32      `json:"lease,omitempty"`
	LeaseMS          uint64      `json:"lease_ms,omitempty"` // above 0: extended, from the sending of the asking on
	Autonomous       bool        `json:"alone,omitempty"`    // past the lease it may go on alone
	EndedReason      string      `json:"gone,omitempty"`     // the incarnation counts no more: begin another
	RetryAfterMS     uint64      `json:"wait_ms,omitempty"`  // it may not join yet
	DecidedVersion   uint64      `json:"need"`               // decided: nothing older may be served under
	CommittedVersion VersionHash `json:"force"`              // in force: may be served under
	PrepareVersion   VersionHash `json:"prepare"`            // being prepared; 0: none
	NextHeartbeatMS  uint64      `json:"again_ms"`           // when to ask next

	Zone         *ZoneOrder    `json:"zone,omitempty"` // nil: nothing is decided about zones
	ProbeTargets []ProbeTarget `json:"look,omitempty"` // nodes to ask for their health, and tell of with the next asking

	// Generation counts how often the group was restored: what an earlier generation told counts no more. Before names the groups
	// of those, for a node that asks with one of them.
	Generation   uint64   `json:"generation,omitempty"`
	Predecessors []string `json:"before,omitempty"`
	// CollectRecord: no group answers, but an operator who restores one. The node tells him what it holds.
	CollectRecord bool `json:"gather,omitempty"`
}
