package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
)

// Log space is reserved by priority: puts are rejected when less than 1/putReserveDivisor of the log's size limit is
// left, and fleet entries at less than 1/entryReserveDivisor, so that leases are renewed longer than documents change.
// The rest is for raft's own entries and a snapshot: a log at its limit stops the instance.
const (
	putReserveDivisor   = 4
	entryReserveDivisor = 8
)

// Propose proposes a put. A later ready cycle returns its result, or the proposal is lost and the caller proposes it
// again under the same number. Errors are ErrBarred, ErrLogNearLimit, raft.ErrProposalDropped and those of an invalid
// put.
func (r *Replica) Propose(p *Put) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if err := p.validate(); err != nil {
		return err
	}
	if r.log.DiskBytes() > r.config.Sizes.MaxBytes/putReserveDivisor*(putReserveDivisor-1) {
		return ErrLogNearLimit
	}
	p.Rules = rulesForLevel(r.stateMachine.featureLevel)
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// entry is the stored form of log entries except puts. A Put is stored as itself, without a kind.
type entry struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// kindLevel is the kind of entries that raise the group's feature level.
const kindLevel = "level"

// ProposeEntry proposes an entry other than a put. It checks for LevelFleet only; callers must not propose what the
// group's level does not support. The outcome is returned when the entry is applied. Errors are ErrBarred,
// ErrFeatureLevel, ErrLogNearLimit and raft.ErrProposalDropped.
func (r *Replica) ProposeEntry(kind string, body []byte) error {
	switch {
	case r.peers.self.Barred != "":
		return ErrBarred
	case r.stateMachine.featureLevel < LevelFleet && kind != kindLevel:
		return ErrFeatureLevel
	case r.log.DiskBytes() > r.config.Sizes.MaxBytes/entryReserveDivisor*(entryReserveDivisor-1):
		return ErrLogNearLimit
	}
	raw, err := json.Marshal(entry{kind, body})
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// Levels returns the feature levels that members have reported in this run, by name.
func (r *Replica) Levels() map[string]int {
	levels := map[string]int{}
	for _, m := range r.stateMachine.members.list {
		if m.ID == r.ID() {
			levels[m.Name] = r.config.Level
		} else if l := r.peers.peerLevels[m.ID]; l > 0 {
			levels[m.Name] = l
		}
	}
	return levels
}

// raiseLevel lets the leader raise the group's level by one once every member supports the next one. A lost proposal is
// repeated after an election timeout.
func (r *Replica) raiseLevel() {
	if r.stateMachine.featureLevel >= r.config.Level || len(r.stateMachine.members.list) == 0 {
		return
	}
	if r.ticks < r.levelRaisedAtTick+r.config.ElectionTicks {
		return
	}
	for _, m := range r.stateMachine.members.list {
		if m.ID != r.ID() && r.peers.peerLevels[m.ID] <= r.stateMachine.featureLevel {
			return
		}
	}
	r.levelRaisedAtTick = r.ticks
	r.ProposeEntry(kindLevel, []byte(fmt.Sprint(r.stateMachine.featureLevel+1)))
}

// Read requests a linearizable read. A later ready cycle returns the id, which must be unique, once the state reflects
// every result returned before the request; a lost request is not reported. Errors are ErrBarred, and
// raft.ErrProposalDropped without a leader.
func (r *Replica) Read(id uint64) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if r.config.DisabledGuards.Has(ReadIndex) {
		r.pendingReads = append(r.pendingReads, pendingRead{id, 0})
		return nil
	}
	if r.node.BasicStatus().Lead == 0 {
		return raft.ErrProposalDropped
	}
	r.node.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	return nil
}
