package agent

import "umberwinch/internal/control/api"

// Record is what a node with a disk stores, so that a restart goes on from the versions it had and follows no earlier
// generation of its group. Its JSON is read by later versions of this program.
type Record struct {
	Cluster       string `json:"cluster"`
	Generation    uint64 `json:"generation,omitempty"`
	Term          uint64 `json:"term,omitempty"`  // seen last when this was written, as are Index and EntryChecksum
	Index         uint64 `json:"index,omitempty"` // of the group's log
	EntryChecksum uint64 `json:"sum,omitempty"`   // of the log's entry at Index

	ActiveVersion    uint64 `json:"version"`
	ActiveHash       string `json:"hash"`
	ActiveText       string `json:"text"`
	ActiveAutonomous bool   `json:"alone"` // the active version lets nodes serve without a lease
	MinVersion       uint64 `json:"floor"`

	PreparedVersion    uint64 `json:"prepared"`
	PreparedText       string `json:"next"`
	PreparedHash       string `json:"next_hash"`
	PreparedAutonomous bool   `json:"next_alone"` // the prepared version lets nodes serve without a lease

	// ZoneOrder is the last order of the node's zone, nil where nothing is decided about zones.
	ZoneOrder *api.ZoneOrder `json:"zone,omitempty"`
}
