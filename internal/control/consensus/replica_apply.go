package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/control/coordinator"
)

func (r *Replica) reportStep(step ReadyStep) {
	if r.config.OnStep != nil {
		r.config.OnStep(step)
	}
}

// ProcessReady runs ready cycles until raft has nothing more ready: each persists, then sends, then applies. After an
// error the instance must stop: its memory no longer matches its disk.
func (r *Replica) ProcessReady(send func([]*pb.Message)) (ReadyResult, error) {
	var result ReadyResult
	for r.node.HasReady() {
		rd := r.node.Ready()
		if r.config.DisabledGuards.Has(PersistBeforeSend) {
			send(rd.Messages)
		}
		r.reportStep(StepPersist)
		if err := r.persist(&rd); err != nil {
			return result, err
		}
		r.reportStep(StepSend)
		if !r.config.DisabledGuards.Has(PersistBeforeSend) {
			send(rd.Messages)
		}
		r.reportStep(StepApply)
		if !raft.IsEmptySnap(rd.Snapshot) {
			m, err := restoreStateMachine(rd.Snapshot.GetData(), r.config.DisabledGuards)
			if err != nil {
				return result, err
			}
			r.stateMachine, r.voterConfig, result.Applied = m, rd.Snapshot.GetMetadata().GetConfState(), true
			r.configureState()
		}
		for _, e := range rd.CommittedEntries {
			if err := r.apply(e, &result); err != nil {
				return result, fmt.Errorf("entry %d: %w", e.GetIndex(), err)
			}
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == readIDBytes && len(r.pendingReads) < maxPendingReads {
				r.pendingReads = append(r.pendingReads, pendingRead{binary.LittleEndian.Uint64(s.RequestCtx), s.Index})
			}
		}
		r.node.Advance(rd)
	}
	result.Reads = r.takeFinishedReads()
	if len(result.Puts) > 0 {
		r.reportStep(StepRespond)
	}
	return result, nil
}

// readIDBytes is the size of a read's id in raft's request context.
const readIDBytes = 8

// takeFinishedReads removes and returns the reads whose index is applied.
func (r *Replica) takeFinishedReads() (ids []uint64) {
	waiting := r.pendingReads[:0]
	for _, p := range r.pendingReads {
		if p.index <= r.stateMachine.applied {
			ids = append(ids, p.id)
		} else {
			waiting = append(waiting, p)
		}
	}
	r.pendingReads = waiting
	return ids
}

// persist makes durable what raft requires before messages are sent.
func (r *Replica) persist(rd *raft.Ready) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		return r.store.installSnapshot(rd.Snapshot, rd.HardState)
	}
	if !rd.MustSync { // only the commit index changed, which a restart learns again
		r.store.updateMemory(rd.HardState, rd.Entries)
		return r.persistMembership(rd.CommittedEntries)
	}
	if err := r.store.persist(rd.HardState, rd.Entries); err != nil {
		return err
	}
	return r.persistMembership(rd.CommittedEntries)
}

// persistMembership makes the commit index durable before a committed change of members takes effect. It guards against
// two leaders in one term: an instance that restarted with an older commit index would count votes by its snapshot's
// members, possibly the founder alone, and elect itself.
func (r *Replica) persistMembership(committed []*pb.Entry) error {
	if r.config.DisabledGuards.Has(PersistMembership) {
		return nil
	}
	for _, e := range committed {
		if e.GetType() != pb.EntryType_EntryNormal {
			return r.store.persist(r.store.hardState, nil)
		}
	}
	return nil
}

// apply applies one committed entry.
func (r *Replica) apply(e *pb.Entry, result *ReadyResult) error {
	result.Applied = true
	m := r.stateMachine
	switch e.GetType() {
	case pb.EntryType_EntryNormal:
		if len(e.GetData()) > 0 {
			put, outcome, err := m.applyEntry(e.GetData(), e.GetIndex(), e.GetTerm())
			if err != nil {
				return err
			}
			if put != nil {
				result.Puts = append(result.Puts, *put)
			}
			if outcome != nil {
				result.Outcomes = append(result.Outcomes, outcome)
			}
		}
	case pb.EntryType_EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return &coordinator.EntryError{Expected: "a change of members", Err: err}
		}
		if len(cc.GetContext()) > 0 {
			var c MemberChange
			if err := json.Unmarshal(cc.GetContext(), &c); err != nil {
				return &coordinator.EntryError{Expected: "a change of members", Err: err}
			}
			if m.members.check(&c) != nil { // not allowed any more; all instances decide the same and skip it
				break
			}
			m.members.apply(&c)
		}
		r.voterConfig = r.node.ApplyConfChange(cc)
	default:
		return &EntryTypeError{e.GetType()}
	}
	m.applied, m.term = e.GetIndex(), e.GetTerm()
	return nil
}
