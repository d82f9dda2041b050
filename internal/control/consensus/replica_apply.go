package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// This file works through what the core has ready: it persists, sends, applies and answers, in that order.

func (r *Replica) reportStep(name string) {
	if r.plan.OnStep != nil {
		r.plan.OnStep(name)
	}
}

// Work does what raft has ready: makes it durable, then sends, then applies. An error means that the instance
// can't go on: what it holds in memory is no longer what is on its disk.
func (r *Replica) Work(send func([]*pb.Message)) (WorkResult, error) {
	var out WorkResult
	for r.node.HasReady() {
		rd := r.node.Ready()
		if r.plan.DisabledGuards.Has(PersistBeforeSend) {
			send(rd.Messages)
		}
		r.reportStep(StepPersist)
		if err := r.persist(&rd); err != nil {
			return out, err
		}
		r.reportStep(StepSend)
		if !r.plan.DisabledGuards.Has(PersistBeforeSend) {
			send(rd.Messages)
		}
		r.reportStep(StepApply)
		if !raft.IsEmptySnap(rd.Snapshot) {
			m, err := restoreStateMachine(rd.Snapshot.GetData(), r.plan.DisabledGuards)
			if err != nil {
				return out, err
			}
			r.stateMachine, r.voterConfig, out.Applied = m, rd.Snapshot.GetMetadata().GetConfState(), true
			r.configureState()
		}
		for _, e := range rd.CommittedEntries {
			if err := r.apply(e, &out); err != nil {
				return out, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
			}
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 && len(r.pendingReads) < maxPendingReads {
				r.pendingReads = append(r.pendingReads, pendingRead{binary.LittleEndian.Uint64(s.RequestCtx), s.Index})
			}
		}
		r.node.Advance(rd)
	}
	kept := r.pendingReads[:0]
	for _, p := range r.pendingReads {
		if p.index <= r.stateMachine.applied {
			out.Reads = append(out.Reads, p.id)
		} else {
			kept = append(kept, p)
		}
	}
	r.pendingReads = kept
	if len(out.Puts) > 0 {
		r.reportStep(StepAnswer)
	}
	return out, nil
}

func (r *Replica) persist(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		return r.store.install(rd.Snapshot, rd.HardState)
	}
	if !rd.MustSync { // a commit index alone is learnt again from the leader
		r.store.remember(rd.HardState, rd.Entries)
		return r.persistMembership(rd.CommittedEntries)
	}
	if err := r.store.persist(rd.HardState, rd.Entries); err != nil {
		return err
	}
	return r.persistMembership(rd.CommittedEntries)
}

// persistMembership makes it durable that a change of members is committed before the change counts here. A life
// that began with an older commit index would count votes by the members of its snapshot: the founder alone,
// as seen on a few schedules in a hundred.
func (r *Replica) persistMembership(committed []*pb.Entry) error {
	if r.plan.DisabledGuards.Has(PersistMembership) {
		return nil
	}
	for _, e := range committed {
		if e.GetType() != pb.EntryType_EntryNormal {
			return r.store.persist(r.store.hard, nil)
		}
	}
	return nil
}

// apply hands one committed entry to the state machine.
func (r *Replica) apply(e *pb.Entry, out *WorkResult) error {
	out.Applied = true
	m := r.stateMachine
	switch e.GetType() {
	case pb.EntryType_EntryNormal:
		if len(e.GetData()) > 0 {
			if err := r.applyData(e, out); err != nil {
				return err
			}
		}
	case pb.EntryType_EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("not a change of members: %w", err)
		}
		if len(cc.GetContext()) > 0 {
			var c Change
			if err := json.Unmarshal(cc.GetContext(), &c); err != nil {
				return fmt.Errorf("not a change of members: %w", err)
			}
			if m.checkChange(&c) != nil { // it no longer holds; all instances find so, and the core is not told
				break
			}
			m.applyChange(&c)
		}
		r.voterConfig = r.node.ApplyConfChange(cc)
	default:
		return fmt.Errorf("of kind %v, expected a put or a change of members", e.GetType())
	}
	m.applied, m.term = e.GetIndex(), e.GetTerm()
	return nil
}

// applyData plays an entry with something in it: a put, or one of a kind.
func (r *Replica) applyData(e *pb.Entry, out *WorkResult) error {
	m := r.stateMachine
	var k entry
	if err := json.Unmarshal(e.GetData(), &k); err != nil {
		return fmt.Errorf("not an entry: %w", err)
	}
	switch {
	case k.Kind == "":
		var p Put
		if err := json.Unmarshal(e.GetData(), &p); err != nil {
			return fmt.Errorf("not a put: %w", err)
		}
		if p.Rules < 1 || p.Rules > rulesForLevel(m.supportedLevel) {
			return fmt.Errorf("made under rules %d, expected %d at most: this instance needs the program that made it",
				p.Rules, rulesForLevel(m.supportedLevel))
		}
		out.Puts = append(out.Puts, AppliedPut{p.Session, p.Seq, m.applyPut(&p, e.GetIndex(), e.GetTerm())})
	case m.supportedLevel < LevelFleet:
		return fmt.Errorf("of kind %q, expected a put: this instance needs the program that made it", k.Kind)
	case k.Kind == kindLevel:
		var level int
		if err := json.Unmarshal(k.Body, &level); err != nil || level > m.supportedLevel {
			return fmt.Errorf("a rise to level %s, expected %d at most: this instance needs the program that made it", k.Body,
				m.supportedLevel)
		}
		m.level = max(m.level, level)
	default:
		end, err := m.fleet.Apply(k.Kind, k.Body, e.GetIndex(), e.GetTerm(), m)
		if err != nil {
			return err
		}
		out.Operations = append(out.Operations, end)
	}
	return nil
}
