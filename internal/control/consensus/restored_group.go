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

// StoredGroup is the state of a group as a folder or a saved snapshot holds it.
type StoredGroup struct {
	machine *StateMachine
	Name    string
}

// ReadFolder reads the state of a stopped instance's folder as far as its entries are known to be committed. No other
// instance is asked, so what was committed last may be missing. Errors are ErrEmptyFolder and those of Open.
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
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	config.Logger = raftLog{quiet}
	r, err := Open(fs, config)
	if err != nil {
		return nil, err
	}
	_, err = r.Work(func([]*pb.Message) {})
	if voters := r.voterConfig.GetVoters(); err == nil && len(voters) == 1 && voters[0] == r.ID() {
		// In a group of one all that is durable is committed: an election of its own says so.
		if err = r.node.Campaign(); err == nil {
			_, err = r.Work(func([]*pb.Message) {})
		}
	}
	_, last := r.LogBounds()
	if err = errors.Join(err, r.Close()); err != nil {
		return nil, err
	}
	r.stateMachine.uncommittedEntries = last - min(last, r.stateMachine.applied)
	if r.stateMachine.cluster == "" {
		return nil, ErrEmptyFolder // it waits to be added to a group
	}
	return &StoredGroup{r.stateMachine, r.peers.self.Name}, nil
}

// ReadSnapshot reads a snapshot: a file of an instance's folder, or what `umberctl control snapshot save` wrote.
func ReadSnapshot(raw []byte) (*StoredGroup, error) {
	if body, _, ok := wal.Unwrap(raw); ok {
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

// Evidence returns what a recovery has to know of the stored state, nil where there is none.
func (o *StoredGroup) Evidence() *recovery.StoredGroup {
	if o == nil {
		return nil
	}
	return o.machine.storedGroup()
}

// storedGroup gives what a recovery has to know of the state.
func (m *StateMachine) storedGroup() *recovery.StoredGroup {
	p := m.fleet
	rules := p.Policy.ActiveRules()
	b := &recovery.StoredGroup{
		GroupIdentity: api.GroupIdentity{
			Group:        m.cluster,
			Generation:   p.Generation,
			Predecessors: p.Predecessors,
		},
		LastVersion:        m.Last(),
		DecidedVersion:     p.Policy.DecidedVersion,
		CommittedVersion:   p.Policy.CommittedVersion,
		Index:              p.Index,
		ZoneEpoch:          p.Zones.Epoch,
		TextOf:             m.Text,
		LeaseMS:            rules.LeaseMS,
		Autonomous:         rules.Autonomous,
		UncommittedEntries: m.uncommittedEntries,
	}
	for _, n := range p.Fleet.Nodes() {
		if !n.IsOut() {
			b.Nodes = append(b.Nodes, n.Name)
		}
	}
	return b
}

// Recover makes an empty folder the first instance of the next generation of a group, by what a recovery found, and
// returns its newest version. Errors are *RejectedError where the evidence conflicts, ErrFolderInUse, and of the
// disk.
func Recover(fs wal.FS, config Config, old *StoredGroup, found *recovery.RestorePlan) (*Version, error) {
	if found.Conflict != "" {
		return nil, &RejectedError{found.Conflict}
	}
	m := newStateMachine("", 0)
	m.applied, m.term = 1, 1
	if old != nil {
		m = old.machine
	}
	return foundRestored(fs, config, m, found)
}

// restore makes the state that of the next generation.
func (m *StateMachine) restore(found *recovery.RestorePlan) error {
	if found.Version > 0 {
		if _, hash, ok := m.Text(found.Version); !ok || hash != found.Hash || found.Hash == "" {
			if err := m.placeRestoredVersion(found); err != nil {
				return err
			}
		}
	}
	if m.level >= LevelFleet || len(found.Records) > 0 || found.Version > 0 {
		m.level = LatestLevel // an older program can't read generations
	}
	return m.fleet.BeginGeneration(found, m)
}

// placeRestoredVersion makes what was found the newest version. Where its number does not follow the newest one,
// versions before it are dropped.
func (m *StateMachine) placeRestoredVersion(found *recovery.RestorePlan) error {
	if found.Version != m.Last()+1 {
		m.versions = versionHistory{first: found.Version}
	}
	if found.Hash == "" { // no node has the text: the next put gets the number after it
		m.versions.newest, m.versions.hash = nil, ""
		return nil
	}
	d, err := document.ParseUnder(document.LatestRules, "what was found", []byte(found.Text))
	if err != nil {
		return err
	}
	v := Version{
		Number: found.Version,
		Parent: found.SourceVersion,
		Hash:   found.Hash,
		Author: "recover",
		Reason: truncateReason(found.Proof),
		Index:  m.applied,
		Term:   m.term,
		Rules:  document.LatestRules,
		Text:   found.Text,
	}
	return m.versions.append(&v, d)
}
