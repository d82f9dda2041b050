package consensus

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/wal"
)

// PendingSnapshot is a snapshot under way: Write may run while the replica works, SnapshotWritten ends it.
type PendingSnapshot struct {
	meta  *pb.SnapshotMetadata
	parts [][]byte
	log   *wal.Log
}

// SnapshotIfDue returns a snapshot to be written if there is enough new log, nil if not.
func (r *Replica) SnapshotIfDue() (*PendingSnapshot, error) {
	if r.snapshotting || r.store.bytesSinceSnapshot < r.config.SnapshotBytes || r.stateMachine.applied <= r.store.snapshotMeta.GetIndex() {
		return nil, nil
	}
	return r.Snapshot()
}

// snapshotState gives the state as it is now, in parts that don't change any more.
func (r *Replica) snapshotState() (*pb.SnapshotMetadata, [][]byte, error) {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(r.stateMachine.applied), Term: proto.Uint64(r.stateMachine.term),
		ConfState: proto.Clone(r.voterConfig).(*pb.ConfState)}
	state, err := r.stateMachine.snapshot()
	return meta, state, err
}

// Snapshot returns a snapshot of the state as it is now, to be written.
func (r *Replica) Snapshot() (*PendingSnapshot, error) {
	meta, state, err := r.snapshotState()
	if err != nil {
		return nil, err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return nil, err
	}
	r.snapshotting = true
	return &PendingSnapshot{meta, parts, r.log}, nil
}

// Write makes it durable.
func (s *PendingSnapshot) Write() error { return s.log.SaveSnapshot(s.meta.GetIndex(), s.parts...) }

// SnapshotWritten ends a snapshot with the result of its Write and lets the log before the older one go. One that
// found the log at its size limit is tried again when more log has come; any other error means that the instance
// can't go on.
func (r *Replica) SnapshotWritten(s *PendingSnapshot, err error) error {
	r.snapshotting = false
	if err != nil {
		if errors.Is(err, wal.ErrFull) {
			r.store.bytesSinceSnapshot = 0
			return nil
		}
		return err
	}
	return r.store.snapshotWritten(s.meta)
}
