package api

// HeartbeatRequest is a node's periodic request. Without a LeaseID it asks to join; with Renew it asks to extend the
// lease, which goes through the group's log; otherwise it only reports and reads the current state.
type HeartbeatRequest struct {
	JoinRequest
	LeaseID uint32 `json:"lease,omitempty"` // of the node's incarnation; 0: none
	Renew   bool   `json:"renew,omitempty"`
	Leave   bool   `json:"bye,omitempty"` // the node has drained and stopped serving
	// LastClockMS is the ClockMS of the last response received. It shows the leader that responses arrive.
	LastClockMS uint64 `json:"echo"`
	// MinVersion is a promise: once this request is sent, the node serves under no older version.
	MinVersion      uint64 `json:"floor"`
	ActiveVersion   uint64 `json:"serves"`             // the version that it serves under
	Fenced          string `json:"fenced,omitempty"`   // why it rejects all requests; empty: it does not
	PreparedVersion uint64 `json:"prepared,omitempty"` // checked, evaluated and stored: ready to be activated
	RefusedVersion  uint64 `json:"refused,omitempty"`  // the version that it votes against
	RefusedReason   string `json:"why,omitempty"`
	// MinZoneEpoch is a promise too: the node applies no older zone order.
	MinZoneEpoch uint64         `json:"zones,omitempty"`
	Load         *LoadReport    `json:"load,omitempty"`
	Peers        []PeerHealth   `json:"seen,omitempty"`  // at most MaxPeers
	LastSeen     *GroupPosition `json:"heard,omitempty"` // of the last response, of any group
}

// GroupPosition is the position of a group in its last response to a node, and the hash of the node's active version.
// Responses carry only committed state, so a group that is behind it has lost state.
type GroupPosition struct {
	Group         string `json:"group"`
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"`          // last applied log entry
	EntryChecksum uint64 `json:"sum,omitempty"`  // of the entry at Index; 0: unknown
	ActiveHash    string `json:"hash,omitempty"` // of the text of the node's active version
}

// VersionHash is a policy version and the hash of its text. Version 0 means none.
type VersionHash struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
}

// HeartbeatResponse answers a HeartbeatRequest with the state as of entry Index of the log of group Cluster.
type HeartbeatResponse struct {
	Cluster       string `json:"cluster"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"`
	EntryChecksum uint64 `json:"sum,omitempty"` // of the entry at Index; 0: unknown
	ClockMS       uint64 `json:"clock_ms"`      // the group's clock
	LeaseID       uint32 `json:"lease,omitempty"`
	// LeaseMS above 0 extends the lease until this time after the request was sent.
	LeaseMS    uint64 `json:"lease_ms,omitempty"`
	Autonomous bool   `json:"alone,omitempty"` // the node may serve after its lease has expired
	// EndedReason is why the incarnation has ended or was rejected; the node has to join with a new one.
	EndedReason      string      `json:"gone,omitempty"`
	RetryAfterMS     uint64      `json:"wait_ms,omitempty"` // minimum delay of the next join
	DecidedVersion   uint64      `json:"need"`              // no older version may be served under
	CommittedVersion VersionHash `json:"force"`             // may be served under
	PrepareVersion   VersionHash `json:"prepare"`           // to check, evaluate and store; version 0: none
	NextHeartbeatMS  uint64      `json:"again_ms"`          // delay of the next request

	Zone         *ZoneOrder    `json:"zone,omitempty"` // nil: the policy does not manage zones
	ProbeTargets []ProbeTarget `json:"look,omitempty"` // peers whose health the next request reports

	// Generation counts the restorations of the group; leases of an earlier generation are invalid. Predecessors are
	// the groups of earlier generations, for a node that saw one of them last.
	Generation   uint64   `json:"generation,omitempty"`
	Predecessors []string `json:"before,omitempty"`
	// CollectRecord asks the node for its NodeRecord. It is set only by the recovery tool, which responds in place of a
	// group.
	CollectRecord bool `json:"gather,omitempty"`
}
