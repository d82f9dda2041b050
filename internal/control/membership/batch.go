package membership

import "umberwinch/internal/control/api"

// HeartbeatBatch is one entry of the log: the time that went by and all heartbeats that came meanwhile.
type HeartbeatBatch struct {
	Term          uint64            `json:"term"`            // of the leader that made it
	Sequence      uint64            `json:"no"`              // of the batch among that leader's in that term
	BatchesBefore uint64            `json:"after"`           // applied before it, as its leader knew them
	ElapsedMS     uint64            `json:"ms"`              // since its leader applied the batch before
	MinVersion    uint64            `json:"floor"`           // that all of Renewals promise
	MinZoneEpoch  uint64            `json:"zones,omitempty"` // the same
	Renewals      []uint32          `json:"renew,omitempty"`
	Outdated      []uint32          `json:"behind,omitempty"` // leases that were heard and promise less
	Joins         []api.JoinRequest `json:"join,omitempty"`
	Leaves        []uint32          `json:"bye,omitempty"`
	Forget        []string          `json:"forget,omitempty"` // names that an operator vouches to be dead
	LostState     string            `json:"lost,omitempty"`   // proof by nodes that the group has lost state
}

// JoinResult is the outcome of one request to join.
type JoinResult struct {
	Nonce         string
	LeaseID       uint32
	RefusedReason string // empty: it is in
	RetryAfterMS  uint64 // for a refused one; 0: this incarnation may not join any more
	extended      bool   // its lease runs from this request on
}

// BatchResult is the outcome of a batch.
type BatchResult struct {
	Applied    bool            // false: another batch came between, and this one changed nothing
	LeaseMS    uint64          // of the leases that were granted
	Granted    map[uint32]bool // by lease that was heard: whether it was extended
	Joins      []JoinResult
	CountedOut []string // names that were counted out for silence
}
