package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
)

// This file takes what is to be agreed on, and reads that have to see it.

// Propose asks for a version. The answer comes as a Result of some later Work here, or never: whoever waits
// repeats it under the same number.
func (r *Replica) Propose(p *Put) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if err := p.valid(); err != nil {
		return err
	}
	if r.log.Usage() > r.plan.Sizes.Bound/4*3 {
		return ErrLogNearLimit
	}
	p.Rules = rulesForLevel(r.stateMachine.level)
	raw, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// entry is what the log holds beside puts, whose entries have no kind.
type entry struct {
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

const kindLevel = "level"

// ProposeEntry asks for an entry of a kind that came with a later level; whether it was made shows in what it does.
func (r *Replica) ProposeEntry(kind string, body []byte) error {
	switch {
	case r.peers.self.Barred != "":
		return ErrBarred
	case r.stateMachine.level < LevelFleet && kind != kindLevel:
		return ErrFeatureLevel
	case r.log.Usage() > r.plan.Sizes.Bound/8*7: // past where changes of the configuration are refused
		return ErrLogNearLimit
	}
	raw, err := json.Marshal(entry{kind, body})
	if err != nil {
		return err
	}
	return r.node.Propose(raw)
}

// Levels gives what members know, as they told this instance in this life; one that has not is not in it.
func (r *Replica) Levels() map[string]int {
	out := map[string]int{}
	for _, m := range r.stateMachine.members.list {
		if m.ID == r.ID() {
			out[m.Name] = r.plan.Level
		} else if l := r.peers.peerLevels[m.ID]; l > 0 {
			out[m.Name] = l
		}
	}
	return out
}

// rise has the leader raise the group's level once every member has told that it knows the next one.
func (r *Replica) raiseLevel() {
	if r.stateMachine.level >= r.plan.Level || r.ticks < r.levelRaisedAtTick+r.plan.ElectionTicks || len(r.stateMachine.members.list) == 0 {
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

// Read asks for a point from which the state here is as new as any answer given before; its id comes back in
// an Outcome once that is so, or never. An id is used once.
func (r *Replica) Read(id uint64) error {
	if r.peers.self.Barred != "" {
		return ErrBarred
	}
	if r.plan.DisabledGuards.Has(ReadIndex) {
		r.pendingReads = append(r.pendingReads, pendingRead{id, 0})
		return nil
	}
	if r.node.BasicStatus().Lead == 0 {
		return raft.ErrProposalDropped
	}
	r.node.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	return nil
}
