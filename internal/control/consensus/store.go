package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"umberwinch/internal/wal"
)

// Kinds of marks in the log.
const (
	markHardState = iota
	markIdentity
	markPeers
)

// store implements raft.Storage on the durable log. Entries since the older of two snapshots are also in memory. Only
// the replica's goroutine uses it.
type store struct {
	log                *wal.Log
	hardState          *pb.HardState
	offset             uint64 // index of the entry before entries[0]
	offsetTerm         uint64 // of the entry at offset
	entries            []*pb.Entry
	snapshotMeta       *pb.SnapshotMetadata // of the newest snapshot
	bytesSinceSnapshot int                  // size of the entries after the newest snapshot
	currentState       func() (*pb.SnapshotMetadata, [][]byte, error)
}

// snapshotFileHeader is the first line of a snapshot; the serialized state follows.
type snapshotFileHeader struct {
	Meta []byte `json:"meta"` // pb.SnapshotMetadata as protobuf
}

// snapshotParts prepends the header with raft's metadata to a serialized state.
func snapshotParts(meta *pb.SnapshotMetadata, state [][]byte) ([][]byte, error) {
	raw, err := proto.Marshal(meta)
	if err != nil {
		return nil, err
	}
	header, err := json.Marshal(snapshotFileHeader{raw})
	if err != nil {
		return nil, err
	}
	return append([][]byte{append(header, '\n')}, state...), nil
}

// readSnapshot splits a snapshot into raft's metadata and the serialized state. Its error is a *SnapshotError.
func readSnapshot(raw []byte) (*pb.SnapshotMetadata, []byte, error) {
	for i, c := range raw {
		if c != '\n' {
			continue
		}
		var header snapshotFileHeader
		if err := json.Unmarshal(raw[:i], &header); err != nil {
			return nil, nil, &SnapshotError{fmt.Errorf("head of a snapshot: %w", err)}
		}
		meta := &pb.SnapshotMetadata{}
		if err := proto.Unmarshal(header.Meta, meta); err != nil {
			return nil, nil, &SnapshotError{fmt.Errorf("head of a snapshot: %w", err)}
		}
		return meta, raw[i+1:], nil
	}
	return nil, nil, &SnapshotError{errNoSnapshotHeader}
}

// openStore reads the hard state, the newest undamaged snapshot and the entries after it. It returns the snapshot's
// state, nil if there is none.
func openStore(log *wal.Log) (*store, []byte, error) {
	s := &store{log: log, hardState: &pb.HardState{}, snapshotMeta: &pb.SnapshotMetadata{ConfState: &pb.ConfState{}}}
	if raw := log.Mark(markHardState); raw != nil {
		if err := proto.Unmarshal(raw, s.hardState); err != nil {
			return nil, nil, fmt.Errorf("hard state: %w", err)
		}
	}
	var state []byte
	var firstErr error
	for _, n := range log.Snapshots() {
		raw, err := log.LoadSnapshot(n)
		if err == nil {
			s.snapshotMeta, state, err = readSnapshot(raw)
		}
		if err == nil {
			break
		}
		if firstErr == nil {
			firstErr = err
		}
		s.snapshotMeta, state = &pb.SnapshotMetadata{ConfState: &pb.ConfState{}}, nil
	}
	index := s.snapshotMeta.GetIndex()
	if firstErr != nil && (state == nil || log.First() > index+1) {
		return nil, nil, firstErr // entries before the damaged snapshot were truncated
	}
	if err := s.alignLog(index); err != nil {
		return nil, nil, err
	}
	s.offset, s.offsetTerm = index, s.snapshotMeta.GetTerm()
	for i := index + 1; i < log.Next(); i++ {
		e, err := s.read(i)
		if err != nil {
			return nil, nil, err
		}
		s.entries = append(s.entries, e)
		s.bytesSinceSnapshot += proto.Size(e)
	}
	if s.hardState.GetCommit() < index {
		s.hardState.Commit = proto.Uint64(index)
	}
	return s, state, nil
}

// alignLog makes the log continue at the snapshot. It guards against a crash between storing a leader's snapshot and
// resetting the log: the log's entries then conflict with the snapshot, unless the one at its index has its term.
func (s *store) alignLog(index uint64) error {
	if index == 0 || s.log.First() == index+1 {
		return nil
	}
	if s.log.First() <= index && s.log.Next() > index {
		e, err := s.read(index)
		if err != nil {
			return err
		}
		if e.GetTerm() == s.snapshotMeta.GetTerm() {
			return nil
		}
	}
	_, err := s.log.Commit(wal.Batch{Cut: index + 1})
	return err
}

func (s *store) read(index uint64) (*pb.Entry, error) {
	raw, err := s.log.Read(index)
	if err != nil {
		return nil, err
	}
	e := &pb.Entry{}
	if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() != index {
		return nil, &LogEntryError{Index: index, Found: e.GetIndex(), Err: err}
	}
	return e, nil
}

// persist stores hard state and entries in one write with one sync.
func (s *store) persist(hardState *pb.HardState, entries []*pb.Entry) error {
	var b wal.Batch
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		if first <= s.offset {
			return &CompactedEntryError{first, s.offset}
		}
		if first != s.log.Next() {
			b.Cut = first
		}
		for _, e := range entries {
			raw, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			b.Entries = append(b.Entries, raw)
			s.bytesSinceSnapshot += len(raw)
		}
	}
	if !raft.IsEmptyHardState(hardState) {
		raw, err := proto.Marshal(hardState)
		if err != nil {
			return err
		}
		b.Marks = append(b.Marks, wal.Mark{Kind: markHardState, Data: raw})
	}
	if len(b.Entries) == 0 && len(b.Marks) == 0 {
		return nil
	}
	if _, err := s.log.Commit(b); err != nil {
		return err
	}
	s.updateMemory(hardState, entries)
	return nil
}

// updateMemory updates the copies in memory, after a write or for what need not be durable.
func (s *store) updateMemory(hardState *pb.HardState, entries []*pb.Entry) {
	if !raft.IsEmptyHardState(hardState) {
		s.hardState = hardState
	}
	if len(entries) > 0 {
		keptEntries := entries[0].GetIndex() - s.offset - 1
		s.entries = append(s.entries[:keptEntries:keptEntries], entries...)
	}
}

// installSnapshot replaces log and state by a snapshot of the leader.
func (s *store) installSnapshot(snapshot *pb.Snapshot, hardState *pb.HardState) error {
	meta := snapshot.GetMetadata()
	parts, err := snapshotParts(meta, [][]byte{snapshot.GetData()})
	if err != nil {
		return err
	}
	index := meta.GetIndex()
	if err := s.log.SaveSnapshot(index, parts...); err != nil {
		return err
	}
	b := wal.Batch{Cut: index + 1}
	if raft.IsEmptyHardState(hardState) {
		hardState = &pb.HardState{Term: s.hardState.Term, Vote: s.hardState.Vote, Commit: proto.Uint64(index)}
	}
	raw, err := proto.Marshal(hardState)
	if err != nil {
		return err
	}
	b.Marks = []wal.Mark{{Kind: markHardState, Data: raw}}
	if _, err := s.log.Commit(b); err != nil {
		return err
	}
	s.hardState, s.snapshotMeta = hardState, meta
	s.offset, s.offsetTerm, s.entries, s.bytesSinceSnapshot = index, meta.GetTerm(), nil, 0
	return s.log.TruncateFront(index)
}

// recordSnapshot records a durable snapshot and truncates the log before the previous one.
func (s *store) recordSnapshot(meta *pb.SnapshotMetadata) error {
	if meta.GetIndex() <= s.snapshotMeta.GetIndex() {
		return nil
	}
	older := s.snapshotMeta.GetIndex()
	s.snapshotMeta = meta
	if older > s.offset {
		term, err := s.Term(older)
		if err != nil {
			return err
		}
		s.entries = append([]*pb.Entry(nil), s.entries[older-s.offset:]...)
		s.offset, s.offsetTerm = older, term
	}
	s.bytesSinceSnapshot = 0
	for _, e := range s.entries[meta.GetIndex()-s.offset:] {
		s.bytesSinceSnapshot += proto.Size(e)
	}
	return s.log.TruncateFront(older)
}

// InitialState is part of raft.Storage.
func (s *store) InitialState() (*pb.HardState, *pb.ConfState, error) {
	return s.hardState, s.snapshotMeta.GetConfState(), nil
}

// LastIndex is part of raft.Storage.
func (s *store) LastIndex() (uint64, error) { return s.offset + uint64(len(s.entries)), nil }

// FirstIndex is part of raft.Storage.
func (s *store) FirstIndex() (uint64, error) { return s.offset + 1, nil }

// Term is part of raft.Storage.
func (s *store) Term(i uint64) (uint64, error) {
	switch {
	case i == s.offset:
		return s.offsetTerm, nil
	case i < s.offset:
		return 0, raft.ErrCompacted
	case i > s.offset+uint64(len(s.entries)):
		return 0, raft.ErrUnavailable
	}
	return s.entries[i-s.offset-1].GetTerm(), nil
}

// Entries is part of raft.Storage.
func (s *store) Entries(lo, hi, maxBytes uint64) ([]*pb.Entry, error) {
	if lo <= s.offset {
		return nil, raft.ErrCompacted
	}
	if hi > s.offset+uint64(len(s.entries))+1 {
		return nil, raft.ErrUnavailable
	}
	part := s.entries[lo-s.offset-1 : hi-s.offset-1]
	size := uint64(0)
	for i, e := range part {
		if size += uint64(proto.Size(e)); size > maxBytes && i > 0 {
			part = part[:i]
			break
		}
	}
	return part[:len(part):len(part)], nil
}

// Snapshot is part of raft.Storage. It returns the current state: a stored snapshot may predate the receiver's
// membership, and raft rejects such a snapshot.
func (s *store) Snapshot() (*pb.Snapshot, error) {
	meta, state, err := s.currentState()
	if err != nil {
		return nil, err
	}
	return &pb.Snapshot{Metadata: meta, Data: bytes.Join(state, nil)}, nil
}
