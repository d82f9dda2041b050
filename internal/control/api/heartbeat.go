package api

// HeartbeatRequest is what a node sends. Without a LeaseID it asks to join; with Renew it asks for a longer lease,
// which goes through the group's log; otherwise it reports, and learns what holds now.
type HeartbeatRequest struct {
	JoinRequest
	LeaseID uint32 `json:"lease,omitempty"` // of the node's incarnation; 0: it has none
	Renew   bool   `json:"renew,omitempty"`
	Leave   bool   `json:"bye,omitempty"` // it has drained and serves no more
	// LastClockMS is the group's time in the last response that the node got. It shows the leader that responses
	// arrive.
	LastClockMS uint64 `json:"echo"`
	// MinVersion is the node's promise: from the sending of this on it serves under no older version.
	MinVersion      uint64 `json:"floor"`
	ActiveVersion   uint64 `json:"serves"`             // that it serves under
	Fenced          string `json:"fenced,omitempty"`   // why it takes no requests; empty: it takes them
	PreparedVersion uint64 `json:"prepared,omitempty"` // checked, tried and stored: it can be activated at once
	RefusedVersion  uint64 `json:"refused,omitempty"`  // that it can't serve under
	RefusedReason   string `json:"why,omitempty"`
	// MinZoneEpoch is a promise as well: the node acts on no older order about its zone.
	MinZoneEpoch uint64         `json:"zones,omitempty"`
	Load         *LoadReport    `json:"load,omitempty"`
	Peers        []PeerHealth   `json:"seen,omitempty"`  // at most MaxPeers
	LastSeen     *GroupPosition `json:"heard,omitempty"` // of the last response, by whichever group
}

// GroupPosition is where a group stood at its last response to a node, and what the node serves under because of it.
// What a response has was committed, so a group that does not know it has lost state.
type GroupPosition struct {
	Group         string `json:"group"`
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"`          // of the group's log
	EntryChecksum uint64 `json:"sum,omitempty"`  // of the entry at Index; 0: not told
	ActiveHash    string `json:"hash,omitempty"` // of the text of the node's active version
}

// VersionHash is a version of the policy and the hash of its text. Version 0: none.
type VersionHash struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
}

// HeartbeatResponse is the answer to a HeartbeatRequest. All of it is as of entry Index of the log of Cluster.
type HeartbeatResponse struct {
	Cluster       string `json:"cluster"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"`
	EntryChecksum uint64 `json:"sum,omitempty"` // of the entry at Index; 0: not known
	ClockMS       uint64 `json:"clock_ms"`      // the group's time
	LeaseID       uint32 `json:"lease,omitempty"`
	// LeaseMS above 0 extends the lease: it lasts so long from the sending of the request on.
	LeaseMS    uint64 `json:"lease_ms,omitempty"`
	Autonomous bool   `json:"alone,omitempty"` // the node may go on serving when its lease has run out
	// EndedReason says why the incarnation has ended or may not begin: the node has to begin another one.
	EndedReason      string      `json:"gone,omitempty"`
	RetryAfterMS     uint64      `json:"wait_ms,omitempty"` // it may not join sooner
	DecidedVersion   uint64      `json:"need"`              // nothing older may be served under
	CommittedVersion VersionHash `json:"force"`             // in force: it may be served under
	PrepareVersion   VersionHash `json:"prepare"`           // to check, try and store; version 0: none
	NextHeartbeatMS  uint64      `json:"again_ms"`          // after which to send the next request

	Zone         *ZoneOrder    `json:"zone,omitempty"` // nil: the policy decides nothing about zones
	ProbeTargets []ProbeTarget `json:"look,omitempty"` // whose health the next request should have in Peers

	// Generation counts how often the group was restored; leases of an earlier generation have no meaning in this one.
	// Predecessors are the groups of those, for a node that names one of them as seen last.
	Generation   uint64   `json:"generation,omitempty"`
	Predecessors []string `json:"before,omitempty"`
	// CollectRecord is sent by an operator's recovery tool in place of a group: it asks the node for its stored record.
	CollectRecord bool `json:"gather,omitempty"`
}
