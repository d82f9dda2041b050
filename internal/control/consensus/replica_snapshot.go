package consensus

// This file takes snapshots of the state and cuts the log behind them.

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/wal"
)

// Save is a snapshot under way: Write may run beside the replica, Saved takes note of its end.
type Save struct {
	meta  *pb.SnapshotMetadata
	parts [][]byte
	log   *wal.Log
}

// Due gives a snapshot to be written if there is enough new log, nil if not.
func (r *Replica) Due() (*Save, error) {
	if r.saving || r.store.bytes < r.plan.Snapshot || r.machine.applied <= r.store.snap.GetIndex() {
		return nil, nil
	}
	return r.SaveNow()
}

// state gives the state machine as it is, in parts that don't change any more.
func (r *Replica) state() (*pb.SnapshotMetadata, [][]byte, error) {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(r.machine.applied), Term: proto.Uint64(r.machine.term),
		ConfState: proto.Clone(r.conf).(*pb.ConfState)}
	state, err := r.machine.save()
	return meta, state, err
}

// SaveNow gives a snapshot of the state as it is.
func (r *Replica) SaveNow() (*Save, error) {
	meta, state, err := r.state()
	if err != nil {
		return nil, err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return nil, err
	}
	r.saving = true
	return &Save{meta, parts, r.log}, nil
}

// Write makes it durable.
func (s *Save) Write() error { return s.log.Save(s.meta.GetIndex(), s.parts...) }

// Saved ends a snapshot. One that found no room is tried again when more log has come.
func (r *Replica) Saved(s *Save, err error) error {
	r.saving = false
	if err != nil {
		if errors.Is(err, wal.ErrFull) {
			r.store.bytes = 0
			return nil
		}
		return err
	}
	return r.store.saved(s.meta)
}
