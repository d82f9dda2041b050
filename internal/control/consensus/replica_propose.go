package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
)

// Puts are refused when the log has less than a quarter of its size limit left, and the fleet's entries when it has
// less than an eighth, so that leases go on where changes don't, and raft's own entries and a snapshot where neither
// does: a log at its limit ends the instance. Smaller reserves risk that, larger ones waste disk.
const (
	putReserveDivisor   = 4
	entryReserveDivisor = 8
)

// Propose proposes a put. Its result comes with some later Work, or never: the caller repeats it under the same
// number. Errors are ErrBarred, ErrLogNearLimit, raft.ErrProposalDropped and what is wrong with the put.
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
	p.Rules = rulesForLevel(r.stateMachine.level)
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// entry is the stored form of every entry of the log but a put. A put, which is a new version of the document, is
// stored as a Put and is known by having no kind.
type entry struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

const kindLevel = "level"

// ProposeEntry proposes an entry that is no put: of a kind that LevelVersions does not have. It checks for LevelFleet
// alone; what came with later levels is the caller's to hold back. That it was applied shows in its result.
// Errors are ErrBarred, ErrFeatureLevel, ErrLogNearLimit and raft.ErrProposalDropped.
func (r *Replica) ProposeEntry(kind string, body []byte) error {
	switch {
	case r.peers.self.Barred != "":
		return ErrBarred
	case r.stateMachine.level < LevelFleet && kind != kindLevel:
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

// Levels returns the feature levels that members support, by name, as far as they reported them in this run.
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

// raiseLevel has the leader raise the group's level by one once every member has reported that it supports the next
// one. A lost proposal is repeated after the time of an election.
func (r *Replica) raiseLevel() {
	if r.stateMachine.level >= r.config.Level || len(r.stateMachine.members.list) == 0 {
		return
	}
	if r.ticks < r.levelRaisedAtTick+r.config.ElectionTicks {
		return
	}
	for _, m := range r.stateMachine.members.list {
		if m.ID != r.ID() && r.peers.peerLevels[m.ID] <= r.stateMachine.level {
			return
		}
	}
	r.levelRaisedAtTick = r.ticks
	r.ProposeEntry(kindLevel, []byte(fmt.Sprint(r.stateMachine.level+1)))
}

// Read asks for an index from which the state here is as new as any result given before. The id, used once, comes
// back in a WorkResult once the index is applied, or never. Errors are ErrBarred, and raft.ErrProposalDropped without
// a leader.
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
