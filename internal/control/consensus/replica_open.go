package consensus

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

// Open starts a replica on the folder of an earlier run or an empty one. Errors are wal.ErrLocked, *wal.Damage, of a
// state that this program can not read, and of the disk.
func Open(fs wal.FS, config Config) (*Replica, error) {
	log, repair, err := wal.Open(fs, config.Sizes)
	if err != nil {
		return nil, err
	}
	r := &Replica{config: config, log: log, LogRepair: repair, handshakePeers: map[uint64]bool{}}
	if err := r.open(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return r, nil
}

// open reads identity, log and state. It stores the incremented number of starts before anything is sent, so that an
// old copy of the folder that is started elsewhere can be distinguished from this one.
func (r *Replica) open() error {
	if r.log.Mark(markIdentity) == nil {
		if err := r.initialize(); err != nil {
			return err
		}
	}
	var err error
	if r.peers, err = loadPeerRegistry(r.log.Mark(markIdentity), r.log.Mark(markPeers)); err != nil {
		return err
	}
	r.peers.disabledGuards = r.config.DisabledGuards
	r.peers.removed = func(id uint64) bool { return r.stateMachine.members.wasRemoved(id) }
	r.peers.groupLevel = func() int { return r.stateMachine.featureLevel }
	if r.config.Level == 0 {
		r.config.Level = LatestLevel
	}
	r.peers.self.Starts++
	r.peers.self.Nonce = r.config.Random()
	if err = r.persistIdentities(); err != nil {
		return err
	}
	var state []byte
	if r.store, state, err = openStore(r.log); err != nil {
		return err
	}
	if state == nil {
		r.stateMachine = newStateMachine(r.peers.self.Cluster, r.config.DisabledGuards)
	} else if r.stateMachine, err = restoreStateMachine(state, r.config.DisabledGuards); err != nil {
		return err
	}
	r.configureState()
	r.voterConfig = r.store.snapshotMeta.GetConfState()
	r.store.currentState = r.snapshotState
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        r.ID(),
		ElectionTick:              r.config.ElectionTicks,
		HeartbeatTick:             1,
		Storage:                   r.store,
		Applied:                   r.store.snapshotMeta.GetIndex(),
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxCommittedBytesPerReady,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxInflightBytes,
		CheckQuorum:               true,
		PreVote:                   !r.config.DisabledGuards.Has(PreVote),
		StepDownOnRemoval:         true,
		Logger:                    r.config.Logger,
	})
	if err != nil {
		return err
	}
	r.resetElectionTimer()
	return nil
}

// configureState sets this instance's own settings on a new or restored state machine.
func (r *Replica) configureState() {
	r.stateMachine.supportedLevel = r.config.Level
	r.stateMachine.fleet.DisabledGuards = r.config.DisabledPolicyGuards
	r.stateMachine.fleet.DisabledZoneGuards = r.config.DisabledZoneGuards
}

// initialize assigns an id to an empty folder and, when it bootstraps a group, writes the group's initial state. The
// identity is written last, so that after a crash the folder still counts as empty.
func (r *Replica) initialize() error {
	identity := Identity{ID: r.config.Random() | 1, Name: r.config.Name}
	b := wal.Batch{}
	if r.config.Bootstrap {
		identity.Cluster = fmt.Sprintf("%016x%016x", r.config.Random(), r.config.Random())
		machine := newStateMachine(identity.Cluster, r.config.DisabledGuards)
		machine.applied, machine.term = 1, 1
		machine.members = singleMember(identity, &r.config)
		if err := r.writeInitialState(machine, identity.ID, &b); err != nil {
			return err
		}
	}
	return r.writeIdentity(identity, b)
}

// writeInitialState writes a state as the snapshot of a group with one voter and adds the matching log position and
// hard state to the batch.
func (r *Replica) writeInitialState(machine *StateMachine, id uint64, b *wal.Batch) error {
	meta := &pb.SnapshotMetadata{Index: proto.Uint64(machine.applied), Term: proto.Uint64(machine.term),
		ConfState: &pb.ConfState{Voters: []uint64{id}}}
	state, err := machine.snapshot()
	if err != nil {
		return err
	}
	parts, err := snapshotParts(meta, state)
	if err != nil {
		return err
	}
	if err = r.log.SaveSnapshot(machine.applied, parts...); err != nil {
		return err
	}
	hard, err := proto.Marshal(&pb.HardState{Term: meta.Term, Commit: meta.Index})
	if err != nil {
		return err
	}
	b.Cut = machine.applied + 1
	b.Marks = append(b.Marks, wal.Mark{Kind: markHardState, Data: hard})
	return nil
}

// Restore turns an empty folder into the first instance of a new group with the state of a saved snapshot, and returns
// its newest version. Instances of the old group are refused, and what it committed after the snapshot is lost. The new
// group is the next generation of the old one, which nodes follow. Errors are ErrFolderInUse, of the snapshot and of
// the disk.
func Restore(fs wal.FS, config Config, raw []byte) (*Version, error) {
	stored, err := ReadSnapshot(raw)
	if err != nil {
		return nil, err
	}
	return bootstrapRestored(fs, config, stored.stateMachine, nil)
}

// bootstrapRestored writes a state as that of a new group's first instance, updated by a restore plan; a nil plan uses
// the snapshot's state alone.
func bootstrapRestored(fs wal.FS, config Config, machine *StateMachine, plan *recovery.RestorePlan) (
	newest *Version, err error,
) {
	log, _, err := wal.Open(fs, config.Sizes)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err = errors.Join(err, log.Close()); err != nil {
			newest = nil
		}
	}()
	if log.Mark(markIdentity) != nil {
		return nil, ErrFolderInUse
	}
	r := &Replica{config: config, log: log}
	identity := Identity{ID: config.Random() | 1, Name: config.Name,
		Cluster: fmt.Sprintf("%016x%016x", config.Random(), config.Random())}
	if plan == nil {
		plan = recovery.PlanRestore(nil, machine.storedGroup(), "")
	}
	if err = machine.beginGeneration(plan); err != nil {
		return nil, err
	}
	machine.cluster = identity.Cluster
	machine.members = singleMember(identity, &config)
	b := wal.Batch{}
	if err = r.writeInitialState(machine, identity.ID, &b); err != nil {
		return nil, err
	}
	if err = r.writeIdentity(identity, b); err != nil {
		return nil, err
	}
	if len(machine.versions.lines) == 0 {
		return &Version{}, nil
	}
	return ReadVersion(machine.versions.lines[len(machine.versions.lines)-1])
}

// writeIdentity commits a batch together with the identity.
func (r *Replica) writeIdentity(identity Identity, b wal.Batch) error {
	raw, err := json.Marshal(identity)
	if err != nil {
		return err
	}
	b.Marks = append(b.Marks, wal.Mark{Kind: markIdentity, Data: raw})
	_, err = r.log.Commit(b)
	return err
}

// persistIdentities stores this instance's identity and the starts of its peers.
func (r *Replica) persistIdentities() error {
	identity, starts, err := r.peers.marshal()
	if err != nil {
		return err
	}
	marks := []wal.Mark{{Kind: markIdentity, Data: identity}, {Kind: markPeers, Data: starts}}
	_, err = r.log.Commit(wal.Batch{Marks: marks})
	return err
}

// Close closes the folder. Stored data is durable without it.
func (r *Replica) Close() error { return r.log.Close() }

// singleMember returns the member table of a group of one.
func singleMember(identity Identity, config *Config) memberTable {
	founder := Member{ID: identity.ID, Name: identity.Name, Peer: config.Peer, Listen: config.Listen, Voter: true}
	return memberTable{list: []Member{founder}}
}
