package consensus

// This file opens a replica from its folder, founds a group, and begins one from what was restored.

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/control/recovery"
	"umberwinch/internal/wal"
)

// Open starts a replica on a folder: its own from an earlier life, or an empty one.
func Open(fs wal.FS, plan Plan) (*Replica, error) {
	log, found, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	r := &Replica{plan: plan, log: log, Found: found, met: map[uint64]bool{}}
	if err := r.open(); err != nil {
		log.Close()
		return nil, err
	}
	return r, nil
}

func (r *Replica) open() error {
	if r.log.Mark(markOwn) == nil {
		if err := r.begin(); err != nil {
			return err
		}
	}
	var err error
	if r.who, err = readAcquaintance(r.log.Mark(markOwn), r.log.Mark(markSeen)); err != nil {
		return err
	}
	r.who.without = r.plan.Without
	r.who.removed = func(id uint64) bool { return r.machine.wasRemoved(id) }
	r.who.level = func() int { return r.machine.level }
	if r.plan.Level == 0 {
		r.plan.Level = LevelKnown
	}
	// Counted before a word is said, so that a copy of the folder can't pass for it.
	r.who.own.Starts++
	r.who.own.Nonce = r.plan.Draw()
	if err = r.remember(); err != nil {
		return err
	}
	var state []byte
	if r.store, state, err = openStore(r.log); err != nil {
		return err
	}
	if state == nil {
		r.machine = newMachine(r.who.own.Cluster, r.plan.Without)
	} else if r.machine, err = loadMachine(state, r.plan.Without); err != nil {
		return err
	}
	r.fit()
	r.conf = r.store.snap.GetConfState()
	r.store.state = r.state
	r.node, err = raft.NewRawNode(&raft.Config{ID: r.ID(), ElectionTick: r.plan.Elect, HeartbeatTick: 1,
		Storage: r.store, Applied: r.store.snap.GetIndex(), MaxSizePerMsg: maxMessage,
		MaxCommittedSizePerReady: maxPerReady, MaxUncommittedEntriesSize: maxUncommitted,
		MaxInflightMsgs: maxOnTheWay, MaxInflightBytes: maxOnTheWayB, CheckQuorum: true,
		PreVote: !r.plan.Without.Has(PreVote), StepDownOnRemoval: true, Logger: r.plan.Logger})
	if err != nil {
		return err
	}
	r.rearm()
	return nil
}

// fit tells a state that was made or loaded what this instance is.
func (r *Replica) fit() {
	r.machine.knows, r.machine.nodes.DisabledGuards, r.machine.nodes.DisabledZoneGuards = r.plan.Level, r.plan.Guards, r.plan.Zones
}

// begin makes an empty folder an instance's: its id, and where it founds a group, the group's first state.
// The identity is written last, so that a crash on the way leaves a folder that counts as empty.
func (r *Replica) begin() error {
	own := Identity{ID: r.plan.Draw() | 1, Name: r.plan.Name}
	b := wal.Batch{}
	if r.plan.Found {
		own.Cluster = fmt.Sprintf("%016x%016x", r.plan.Draw(), r.plan.Draw())
		m := newMachine(own.Cluster, r.plan.Without)
		m.applied, m.term = 1, 1
		m.members = []Member{{ID: own.ID, Name: own.Name, Peer: r.plan.Peer, Listen: r.plan.Listen, Voter: true}}
		if err := r.seed(m, own.ID, &b); err != nil {
			return err
		}
	}
	return r.own(own, b)
}

// seed writes a state as the first of a group of one.
func (r *Replica) seed(m *Machine, id uint64, b *wal.Batch) error {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(m.applied), Term: proto.Uint64(m.term),
		ConfState: &pb.ConfState{Voters: []uint64{id}}}
	state, err := m.save()
	if err != nil {
		return err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return err
	}
	if err = r.log.Save(m.applied, parts...); err != nil {
		return err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: meta.Term, Commit: meta.Index})
	if err != nil {
		return err
	}
	b.Cut = m.applied + 1
	b.Marks = append(b.Marks, wal.Mark{Kind: markHard, Data: hard})
	return nil
}

// Restore makes an empty folder the first instance of a new group that has the state of a saved snapshot. The
// group is another one: instances of the old one are refused, and what was agreed on after the snapshot is
// lost. It is the next generation of the old one, which nodes of that one follow.
func Restore(fs wal.FS, plan Plan, raw []byte) (*Version, error) {
	old, err := ReadSaved(raw)
	if err != nil {
		return nil, err
	}
	return begun(fs, plan, old.machine, nil)
}

// begun writes a state as the first of a new group's first instance, restored by what was found, or as it is.
func begun(fs wal.FS, plan Plan, m *Machine, found *recovery.RestorePlan) (*Version, error) {
	log, _, err := wal.Open(fs, plan.Sizes)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if log.Mark(markOwn) != nil {
		return nil, errors.New("the folder belongs to an instance already, expected an empty one")
	}
	r := &Replica{plan: plan, log: log}
	own := Identity{ID: plan.Draw() | 1, Name: plan.Name,
		Cluster: fmt.Sprintf("%016x%016x", plan.Draw(), plan.Draw())}
	if found == nil {
		found = recovery.PlanRestore(nil, m.base(), "")
	}
	if err = m.restore(found); err != nil {
		return nil, err
	}
	m.cluster, m.removed = own.Cluster, nil
	m.members = []Member{{ID: own.ID, Name: own.Name, Peer: plan.Peer, Listen: plan.Listen, Voter: true}}
	b := wal.Batch{}
	if err = r.seed(m, own.ID, &b); err != nil {
		return nil, err
	}
	if err = r.own(own, b); err != nil {
		return nil, err
	}
	if len(m.lines) == 0 {
		return &Version{}, nil
	}
	return ReadVersion(m.lines[len(m.lines)-1])
}

func (r *Replica) own(own Identity, b wal.Batch) error {
	raw, err := json.Marshal(own)
	if err != nil {
		return err
	}
	b.Marks = append(b.Marks, wal.Mark{Kind: markOwn, Data: raw})
	_, err = r.log.Commit(b)
	return err
}

func (r *Replica) remember() error {
	own, seen, err := r.who.marks()
	if err != nil {
		return err
	}
	_, err = r.log.Commit(wal.Batch{Marks: []wal.Mark{{Kind: markOwn, Data: own}, {Kind: markSeen, Data: seen}}})
	return err
}

// Close lets the folder go; nothing is lost by not calling it.
func (r *Replica) Close() error { return r.log.Close() }
