package consensus

// This file takes what is to be agreed on, and reads that have to see it.

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
)

// Propose asks for a version. The answer comes as a Result of some later Work here, or never: whoever waits
// repeats it under the same number.
func (r *Replica) Propose(p *Put) error {
	if r.who.own.Barred != "" {
		return ErrBarred
	}
	if err := p.valid(); err != nil {
		return err
	}
	if r.log.Usage() > r.plan.Sizes.Bound/4*3 {
		return ErrRoom
	}
	p.Rules = rulesAt(r.machine.level)
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
	case r.who.own.Barred != "":
		return ErrBarred
	case r.machine.level < LevelFleet && kind != kindLevel:
		return ErrLevel
	case r.log.Usage() > r.plan.Sizes.Bound/8*7: // past where changes of the configuration are refused
		return ErrRoom
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
	for _, m := range r.machine.members {
		if m.ID == r.ID() {
			out[m.Name] = r.plan.Level
		} else if l := r.who.levels[m.ID]; l > 0 {
			out[m.Name] = l
		}
	}
	return out
}

// rise has the leader raise the group's level once every member has told that it knows the next one.
func (r *Replica) rise() {
	if r.machine.level >= r.plan.Level || r.age < r.raised+r.plan.Elect || len(r.machine.members) == 0 {
		return
	}
	for _, m := range r.machine.members {
		if m.ID != r.ID() && r.who.levels[m.ID] <= r.machine.level {
			return
		}
	}
	r.raised = r.age
	r.ProposeEntry(kindLevel, []byte(fmt.Sprint(r.machine.level+1)))
}

// Read asks for a point from which the state here is as new as any answer given before; its id comes back in
// an Outcome once that is so, or never. An id is used once.
func (r *Replica) Read(id uint64) error {
	if r.who.own.Barred != "" {
		return ErrBarred
	}
	if r.plan.Without.Has(ReadIndex) {
		r.reads = append(r.reads, pendingRead{id, 0})
		return nil
	}
	if r.node.BasicStatus().Lead == 0 {
		return raft.ErrProposalDropped
	}
	r.node.ReadIndex(binary.LittleEndian.AppendUint64(nil, id))
	return nil
}
