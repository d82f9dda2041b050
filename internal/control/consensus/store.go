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

// store keeps raft's entries and hard state in the durable log and is raft's storage. Entries since the older of two
// snapshots are in memory too. The replica's goroutine alone uses it.
type store struct {
	log     *wal.Log
	hard    *pb.HardState
	offset  uint64 // entries[0] has index offset+1
	term    uint64 // of the entry at offset
	entries []*pb.Entry
	snap    *pb.SnapshotMetadata // the newest
	bytes   int                  // of entries since the newest snapshot
	state   func() (*pb.SnapshotMetadata, [][]byte, error)
}

// snapshotFileHeader is the first line of a snapshot, before the state.
type snapshotFileHeader struct {
	Meta []byte `json:"meta"` // raft's metadata as protobuf
}

// snapshotParts puts raft's metadata before the parts of a state.
func snapshotParts(meta *pb.SnapshotMetadata, state [][]byte) ([][]byte, error) {
	raw, err := proto.Marshal(meta)
	if err != nil {
		return nil, err
	}
	head, err := json.Marshal(snapshotFileHeader{raw})
	if err != nil {
		return nil, err
	}
	return append([][]byte{append(head, '\n')}, state...), nil
}

// readSnapshot splits a snapshot into raft's metadata and the state. Its error is a *SnapshotError.
func readSnapshot(raw []byte) (*pb.SnapshotMetadata, []byte, error) {
	for i, c := range raw {
		if c != '\n' {
			continue
		}
		var head snapshotFileHeader
		if err := json.Unmarshal(raw[:i], &head); err != nil {
			return nil, nil, &SnapshotError{fmt.Errorf("head of a snapshot: %w", err)}
		}
		meta := &pb.SnapshotMetadata{}
		if err := proto.Unmarshal(head.Meta, meta); err != nil {
			return nil, nil, &SnapshotError{fmt.Errorf("head of a snapshot: %w", err)}
		}
		return meta, raw[i+1:], nil
	}
	return nil, nil, &SnapshotError{errNoSnapshotHeader}
}

// openStore reads hard state, newest sound snapshot and the entries after it. It returns the snapshot's state, nil if
// there is none.
func openStore(log *wal.Log) (*store, []byte, error) {
	s := &store{log: log, hard: &pb.HardState{}, snap: &pb.SnapshotMetadata{ConfState: &pb.ConfState{}}}
	if raw := log.Mark(markHardState); raw != nil {
		if err := proto.Unmarshal(raw, s.hard); err != nil {
			return nil, nil, fmt.Errorf("the hard state: %w", err)
		}
	}
	var state []byte
	var damaged error
	for _, n := range log.Snapshots() {
		raw, err := log.LoadSnapshot(n)
		if err == nil {
			s.snap, state, err = readSnapshot(raw)
		}
		if err == nil {
			break
		}
		if damaged == nil {
			damaged = err
		}
		s.snap, state = &pb.SnapshotMetadata{ConfState: &pb.ConfState{}}, nil
	}
	at := s.snap.GetIndex()
	if damaged != nil && (state == nil || log.First() > at+1) {
		return nil, nil, damaged // entries before the damaged one are gone
	}
	if err := s.alignLog(at); err != nil {
		return nil, nil, err
	}
	s.offset, s.term = at, s.snap.GetTerm()
	for i := at + 1; i < log.Next(); i++ {
		e, err := s.read(i)
		if err != nil {
			return nil, nil, err
		}
		s.entries = append(s.entries, e)
		s.bytes += proto.Size(e)
	}
	if s.hard.GetCommit() < at {
		s.hard.Commit = proto.Uint64(at)
	}
	return s, state, nil
}

// alignLog makes the log go on from the snapshot. It guards against a crash between writing a snapshot of the leader
// and cutting the log: what the log holds is then of another history, unless its entry at the snapshot's index has
// the snapshot's term.
func (s *store) alignLog(at uint64) error {
	if at == 0 || s.log.First() == at+1 {
		return nil
	}
	if s.log.First() <= at && s.log.Next() > at {
		e, err := s.read(at)
		if err != nil {
			return err
		}
		if e.GetTerm() == s.snap.GetTerm() {
			return nil
		}
	}
	_, err := s.log.Commit(wal.Batch{Cut: at + 1})
	return err
}

func (s *store) read(i uint64) (*pb.Entry, error) {
	raw, err := s.log.Read(i)
	if err != nil {
		return nil, err
	}
	e := &pb.Entry{}
	if err := proto.Unmarshal(raw, e); err != nil || e.GetIndex() != i {
		return nil, &LogEntryError{Index: i, Found: e.GetIndex(), Err: err}
	}
	return e, nil
}

// persist stores what raft needs stored before messages are sent: one write, one sync.
func (s *store) persist(hard *pb.HardState, entries []*pb.Entry) error {
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
			s.bytes += len(raw)
		}
	}
	if !raft.IsEmptyHardState(hard) {
		raw, err := proto.Marshal(hard)
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
	s.remember(hard, entries)
	return nil
}

// remember takes over in memory what is on disk, or what raft does not need stored.
func (s *store) remember(hard *pb.HardState, entries []*pb.Entry) {
	if !raft.IsEmptyHardState(hard) {
		s.hard = hard
	}
	if len(entries) > 0 {
		keep := entries[0].GetIndex() - s.offset - 1
		s.entries = append(s.entries[:keep:keep], entries...)
	}
}

// install puts a snapshot of the leader in place of all there is.
func (s *store) install(snap *pb.Snapshot, hard *pb.HardState) error {
	meta := snap.GetMetadata()
	parts, err := snapshotParts(meta, [][]byte{snap.GetData()})
	if err != nil {
		return err
	}
	at := meta.GetIndex()
	if err := s.log.SaveSnapshot(at, parts...); err != nil {
		return err
	}
	b := wal.Batch{Cut: at + 1}
	if raft.IsEmptyHardState(hard) {
		hard = &pb.HardState{Term: s.hard.Term, Vote: s.hard.Vote, Commit: proto.Uint64(at)}
	}
	raw, err := proto.Marshal(hard)
	if err != nil {
		return err
	}
	b.Marks = []wal.Mark{{Kind: markHardState, Data: raw}}
	if _, err := s.log.Commit(b); err != nil {
		return err
	}
	s.hard, s.snap = hard, meta
	s.offset, s.term, s.entries, s.bytes = at, meta.GetTerm(), nil, 0
	return s.log.TruncateFront(at)
}

// snapshotWritten takes note of a durable snapshot: the log that the older one stands for may go.
func (s *store) snapshotWritten(meta *pb.SnapshotMetadata) error {
	if meta.GetIndex() <= s.snap.GetIndex() {
		return nil
	}
	older := s.snap.GetIndex()
	s.snap = meta
	if older > s.offset {
		term, err := s.Term(older)
		if err != nil {
			return err
		}
		s.entries = append([]*pb.Entry(nil), s.entries[older-s.offset:]...)
		s.offset, s.term = older, term
	}
	s.bytes = 0
	for _, e := range s.entries[meta.GetIndex()-s.offset:] {
		s.bytes += proto.Size(e)
	}
	return s.log.TruncateFront(older)
}

// InitialState is part of raft.Storage.
func (s *store) InitialState() (*pb.HardState, *pb.ConfState, error) {
	return s.hard, s.snap.GetConfState(), nil
}

// LastIndex is part of raft.Storage.
func (s *store) LastIndex() (uint64, error) { return s.offset + uint64(len(s.entries)), nil }

// FirstIndex is part of raft.Storage.
func (s *store) FirstIndex() (uint64, error) { return s.offset + 1, nil }

// Term is part of raft.Storage.
func (s *store) Term(i uint64) (uint64, error) {
	switch {
	case i == s.offset:
		return s.term, nil
	case i < s.offset:
		return 0, raft.ErrCompacted
	case i > s.offset+uint64(len(s.entries)):
		return 0, raft.ErrUnavailable
	}
	return s.entries[i-s.offset-1].GetTerm(), nil
}

// Entries is part of raft.Storage.
func (s *store) Entries(lo, hi, most uint64) ([]*pb.Entry, error) {
	if lo <= s.offset {
		return nil, raft.ErrCompacted
	}
	if hi > s.offset+uint64(len(s.entries))+1 {
		return nil, raft.ErrUnavailable
	}
	part := s.entries[lo-s.offset-1 : hi-s.offset-1]
	size := uint64(0)
	for i, e := range part {
		if size += uint64(proto.Size(e)); size > most && i > 0 {
			part = part[:i]
			break
		}
	}
	return part[:len(part):len(part)], nil
}

// Snapshot is part of raft.Storage. It gives the state as it is now: a snapshot on disk may be from before the
// receiver became a member, and raft does not accept such a one.
func (s *store) Snapshot() (*pb.Snapshot, error) {
	meta, state, err := s.state()
	if err != nil {
		return nil, err
	}
	return &pb.Snapshot{Metadata: meta, Data: bytes.Join(state, nil)}, nil
}
