package api

// What nodes and the group say to each other, as JSON over HTTP/1.1. The types stand here because both sides
// know them and this package drags nothing along.

// Ask is what a node says. Without a lease it asks to join; with Renew it wants its lease extended, which goes
// through the log; else it reports and is told what holds now.
type Ask struct {
	Join
	Lease    uint32 `json:"lease,omitempty"`
	Renew    bool   `json:"renew,omitempty"`
	Bye      bool   `json:"bye,omitempty"`
	Echo     uint64 `json:"echo"`   // the group's time in the last answer it heard
	Floor    uint64 `json:"floor"`  // it serves under nothing older, from the sending of this on
	Serves   uint64 `json:"serves"` // the version taken over last
	Fenced   string `json:"fenced,omitempty"`
	Prepared uint64 `json:"prepared,omitempty"` // checked, tried, kept: can be taken over between two rounds
	Refused  uint64 `json:"refused,omitempty"`  // a version it can't serve under
	Why      string `json:"why,omitempty"`
	Zones    uint64 `json:"zones,omitempty"` // it acts on no older epoch of the zones, from the sending of this on
	Load     *Tally `json:"load,omitempty"`
	Seen     []Seen `json:"seen,omitempty"`
	Heard    *Heard `json:"heard,omitempty"` // what the node was told last, by whichever group
}

// Heard is where a group stood when a node was told last, and what the node serves under because of it: what was told was
// committed, so a group that does not know it has lost it.
type Heard struct {
	Group string `json:"group"`
	Gen   uint64 `json:"generation"`
	Term  uint64 `json:"term"`
	Index uint64 `json:"index"`
	Sum   uint64 `json:"sum,omitempty"`  // of that entry
	Hash  string `json:"hash,omitempty"` // of what it serves under
}

// Named is a version and the hash of its text.
type Named struct {
	Version uint64 `json:"version"`
	Hash    string `json:"hash,omitempty"`
}

// Told is the answer. All of it is as of entry Index of the log of Cluster.
type Told struct {
	Cluster string `json:"cluster"`
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`
	Sum     uint64 `json:"sum,omitempty"` // of what the group's log has there
	Clock   uint64 `json:"clock_ms"`      // the group's time
	Lease   uint32 `json:"lease,omitempty"`
	LeaseMS uint64 `json:"lease_ms,omitempty"` // above 0: extended, from the sending of the asking on
	Alone   bool   `json:"alone,omitempty"`    // past the lease it may go on alone
	Gone    string `json:"gone,omitempty"`     // the incarnation counts no more: begin another
	Wait    uint64 `json:"wait_ms,omitempty"`  // it may not join yet
	Need    uint64 `json:"need"`               // decided: nothing older may be served under
	Force   Named  `json:"force"`              // in force: may be served under
	Prepare Named  `json:"prepare"`            // being prepared; 0: none
	Again   uint64 `json:"again_ms"`           // when to ask next

	Zone *ZoneOrder `json:"zone,omitempty"` // nil: nothing is decided about zones
	Look []Look     `json:"look,omitempty"` // nodes to ask for their health, and tell of with the next asking

	// Gen counts how often the group was restored: what an earlier generation told counts no more. Before names the groups
	// of those, for a node that asks with one of them.
	Gen    uint64   `json:"generation,omitempty"`
	Before []string `json:"before,omitempty"`
	// Gather: no group answers, but an operator who restores one. The node tells him what it holds.
	Gather bool `json:"gather,omitempty"`
}
