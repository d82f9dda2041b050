package consensus

import (
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/wal"
)

// PendingSnapshot is a snapshot to be written: Write may run concurrently with the replica; SnapshotWritten finishes
// it.
type PendingSnapshot struct {
	meta  *pb.SnapshotMetadata
	parts [][]byte
	log   *wal.Log
}

// SnapshotIfDue returns a snapshot to be written if Config.SnapshotBytes of entries were added since the last one,
// otherwise nil.
func (r *Replica) SnapshotIfDue() (*PendingSnapshot, error) {
	if r.snapshotting || r.store.bytesSinceSnapshot < r.config.SnapshotBytes ||
		r.stateMachine.applied <= r.store.snapshotMeta.GetIndex() {
		return nil, nil
	}
	return r.Snapshot()
}

// snapshotState returns the current state as immutable parts.
func (r *Replica) snapshotState() (*pb.SnapshotMetadata, [][]byte, error) {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(r.stateMachine.applied), Term: proto.Uint64(r.stateMachine.term),
		ConfState: proto.Clone(r.voterConfig).(*pb.ConfState)}
	state, err := r.stateMachine.snapshot()
	return meta, state, err
}

// Snapshot returns a snapshot of the current state, to be written.
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

// Write stores the snapshot durably.
func (s *PendingSnapshot) Write() error { return s.log.SaveSnapshot(s.meta.GetIndex(), s.parts...) }

// SnapshotWritten finishes a snapshot with the error of its Write and truncates the log before the previous snapshot.
// If the log was at its size limit, the snapshot is due again after more entries; after any other error the instance
// must stop.
func (r *Replica) SnapshotWritten(s *PendingSnapshot, err error) error {
	r.snapshotting = false
	if err != nil {
		if errors.Is(err, wal.ErrFull) {
			r.store.bytesSinceSnapshot = 0
			return nil
		}
		return err
	}
	return r.store.recordSnapshot(s.meta)
}
