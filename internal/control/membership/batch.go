package membership

import "umberwinch/internal/control/api"

// HeartbeatBatch is a log entry with the time elapsed since the previous batch and the heartbeats received since then.
type HeartbeatBatch struct {
	Term          uint64            `json:"term"`            // of the leader that built it
	Sequence      uint64            `json:"no"`              // numbers the leader's batches within the term
	BatchesBefore uint64            `json:"after"`           // number of batches that its leader had applied
	ElapsedMS     uint64            `json:"ms"`              // since its leader applied the previous batch
	MinVersion    uint64            `json:"floor"`           // promised by every lease in Renewals
	MinZoneEpoch  uint64            `json:"zones,omitempty"` // promised by every lease in Renewals
	Renewals      []uint32          `json:"renew,omitempty"`
	Outdated      []uint32          `json:"behind,omitempty"` // leases whose heartbeat promises less than these
	Joins         []api.JoinRequest `json:"join,omitempty"`
	Leaves        []uint32          `json:"bye,omitempty"`
	Forget        []string          `json:"forget,omitempty"` // names that an operator declares dead
	LostState     string            `json:"lost,omitempty"`   // proof from nodes that the group has lost state
}

// JoinResult is the outcome of one join request.
type JoinResult struct {
	Nonce         string
	LeaseID       uint32
	RefusedReason string // empty: accepted
	RetryAfterMS  uint64 // if refused; 0: this incarnation may not join again
	extended      bool   // the request extended the lease
}

// BatchResult is the outcome of a batch.
type BatchResult struct {
	Applied   bool            // false: ignored, as another batch was applied first
	LeaseMS   uint64          // length of the granted leases
	Granted   map[uint32]bool // by lease ID with a heartbeat in the batch: whether it was extended
	Joins     []JoinResult
	MarkedOut []string // names of nodes marked out for silence
}
