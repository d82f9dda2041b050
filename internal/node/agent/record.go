package agent

import "umberwinch/internal/control/api"

// Record is the state that a node with a disk stores, so that after a restart it has its versions and doesn't follow an
// earlier generation of its group. Later versions of this program read its JSON.
type Record struct {
	Cluster    string `json:"cluster"`
	Generation uint64 `json:"generation,omitempty"`
	// last seen when the record was written, as are Index and EntryChecksum
	Term          uint64 `json:"term,omitempty"`
	Index         uint64 `json:"index,omitempty"` // in the group's log
	EntryChecksum uint64 `json:"sum,omitempty"`   // of the log's entry at Index

	ActiveVersion    uint64 `json:"version"`
	ActiveHash       string `json:"hash"`
	ActiveText       string `json:"text"`
	ActiveAutonomous bool   `json:"alone"` // the active version allows nodes to serve without a lease
	MinVersion       uint64 `json:"floor"`

	PreparedVersion    uint64 `json:"prepared"`
	PreparedText       string `json:"next"`
	PreparedHash       string `json:"next_hash"`
	PreparedAutonomous bool   `json:"next_alone"` // the prepared version allows nodes to serve without a lease

	// ZoneOrder is the last order of the node's zone, nil if the policy has no rules for zones.
	ZoneOrder *api.ZoneOrder `json:"zone,omitempty"`
}
