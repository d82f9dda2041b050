package consensus

import (
	"errors"
	"io"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/wal"
)

// StoredGroup is the state of a group read from a folder or a saved snapshot.
type StoredGroup struct {
	stateMachine *StateMachine
	Name         string
}

// ReadFolder reads the state of a stopped instance's folder, up to the last entry known to be committed. Later entries
// may have been committed by other instances. Errors are ErrEmptyFolder and those of Open.
func ReadFolder(fs wal.FS, config Config) (*StoredGroup, error) {
	log, _, err := wal.Open(fs, config.Sizes)
	if err != nil {
		return nil, err
	}
	empty := log.Mark(markIdentity) == nil
	if err = log.Close(); err != nil {
		return nil, err
	}
	if empty {
		return nil, ErrEmptyFolder
	}
	discardLogger := logrus.New()
	discardLogger.SetOutput(io.Discard)
	config.Logger = raftLogger{discardLogger}
	r, err := Open(fs, config)
	if err != nil {
		return nil, err
	}
	_, err = r.ProcessReady(func([]*pb.Message) {})
	if voters := r.voterConfig.GetVoters(); err == nil && len(voters) == 1 && voters[0] == r.ID() {
		// In a group of one every durable entry is committed; an election of this instance commits them.
		if err = r.node.Campaign(); err == nil {
			_, err = r.ProcessReady(func([]*pb.Message) {})
		}
	}
	_, last := r.LogBounds()
	if err = errors.Join(err, r.Close()); err != nil {
		return nil, err
	}
	r.stateMachine.uncommittedEntries = last - min(last, r.stateMachine.applied)
	if r.stateMachine.cluster == "" {
		return nil, ErrEmptyFolder // it was never added to a group
	}
	return &StoredGroup{r.stateMachine, r.peers.self.Name}, nil
}

// ReadSnapshot reads a snapshot: a file of an instance's folder, or one that `umberctl control snapshot save` wrote.
func ReadSnapshot(raw []byte) (*StoredGroup, error) {
	if body, _, ok := wal.DecodeSnapshot(raw); ok {
		raw = body
	}
	_, state, err := readSnapshot(raw)
	if err != nil {
		return nil, err
	}
	m, err := restoreStateMachine(state, 0)
	if err != nil {
		return nil, err
	}
	return &StoredGroup{m, ""}, nil
}

// Evidence returns the stored state as input of a restore plan, nil for a nil group.
func (s *StoredGroup) Evidence() *recovery.StoredGroup {
	if s == nil {
		return nil
	}
	return s.stateMachine.storedGroup()
}

// storedGroup returns the state as input of a restore plan.
func (m *StateMachine) storedGroup() *recovery.StoredGroup {
	fleet := m.fleet
	rules := fleet.Policy.ActiveRules()
	stored := &recovery.StoredGroup{
		GroupIdentity: api.GroupIdentity{
			Group:        m.cluster,
			Generation:   fleet.Generation,
			Predecessors: fleet.Predecessors,
		},
		LastVersion:        m.Last(),
		DecidedVersion:     fleet.Policy.DecidedVersion,
		CommittedVersion:   fleet.Policy.CommittedVersion,
		Index:              fleet.Index,
		ZoneEpoch:          fleet.Zones.Epoch,
		TextOf:             m.Text,
		LeaseMS:            rules.LeaseMS,
		Autonomous:         rules.Autonomous,
		UncommittedEntries: m.uncommittedEntries,
	}
	for _, n := range fleet.Fleet.Nodes() {
		if !n.IsOut() {
			stored.Nodes = append(stored.Nodes, n.Name)
		}
	}
	return stored
}

// Recover turns an empty folder into the first instance of a group's next generation by a restore plan, and returns its
// newest version. Errors are *RejectedError if the evidence conflicts, ErrFolderInUse, and of the disk.
func Recover(fs wal.FS, config Config, stored *StoredGroup, plan *recovery.RestorePlan) (*Version, error) {
	if plan.Conflict != "" {
		return nil, &RejectedError{plan.Conflict}
	}
	machine := newStateMachine("", 0)
	machine.applied, machine.term = 1, 1
	if stored != nil {
		machine = stored.stateMachine
	}
	return bootstrapRestored(fs, config, machine, plan)
}

// beginGeneration turns the state into that of the next generation.
func (m *StateMachine) beginGeneration(plan *recovery.RestorePlan) error {
	if plan.Version > 0 {
		if _, hash, ok := m.Text(plan.Version); !ok || hash != plan.Hash || plan.Hash == "" {
			if err := m.setRestoredVersion(plan); err != nil {
				return err
			}
		}
	}
	if m.featureLevel >= LevelFleet || len(plan.Records) > 0 || plan.Version > 0 {
		m.featureLevel = LatestLevel // older programs can not read generations
	}
	return m.fleet.BeginGeneration(plan, m)
}

// setRestoredVersion makes the plan's version the newest one. If its number does not directly follow the newest one,
// earlier versions are dropped.
func (m *StateMachine) setRestoredVersion(plan *recovery.RestorePlan) error {
	if plan.Version != m.Last()+1 {
		m.versions = versionHistory{first: plan.Version}
	}
	if plan.Hash == "" { // no node has the text: the next put gets the following number
		m.versions.newest, m.versions.hash = nil, ""
		return nil
	}
	d, err := document.ParseWithRules(document.LatestRules, "restored text", []byte(plan.Text))
	if err != nil {
		return err
	}
	v := Version{
		Number: plan.Version,
		Parent: plan.SourceVersion,
		Hash:   plan.Hash,
		Author: "recover",
		Reason: truncateReason(plan.Proof),
		Index:  m.applied,
		Term:   m.term,
		Rules:  document.LatestRules,
		Text:   plan.Text,
	}
	return m.versions.append(&v, d)
}
