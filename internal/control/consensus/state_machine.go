package consensus

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// StateMachine is the replicated state. It changes only by committed entries, applied in log order, so it is the same
// at every instance after the same entry. It uses no clock: sessions are evicted by order of use.
type StateMachine struct {
	disabledGuards Guard
	supportedLevel int // highest feature level whose entries this program can read

	cluster      string
	applied      uint64 // index of the last applied entry
	term         uint64 // of the last applied entry
	featureLevel int    // feature level of the group: which entries may be proposed

	versions versionHistory
	sessions sessionTable
	members  memberTable
	fleet    *coordinator.State

	// uncommittedEntries counts entries that are not known to be committed, in a stored folder read for a recovery.
	uncommittedEntries uint64
}

// Feature levels. A group's level is the least that its members support. An entry raises it once all have reported
// support, and it is never lowered: an older program could not read newer entries, or would apply them differently.
const (
	LevelVersions    = 1                            // versions and members
	LevelFleet       = 2                            // nodes, policy changes, documents with [fleet]
	LevelZones       = 3                            // evacuation and return of zones, documents with [zones]
	LevelGenerations = coordinator.LevelGenerations // proven losses of state, restored groups as new generations
	LevelSameProcess = coordinator.LevelSameProcess // heartbeat requests that say that the process did not restart
	LatestLevel      = LevelSameProcess
)

// rulesForLevel returns the version of the document rules at a feature level.
func rulesForLevel(level int) int { return min(level, document.LatestRules) }

func newStateMachine(cluster string, disabled Guard) *StateMachine {
	return &StateMachine{
		disabledGuards: disabled,
		supportedLevel: LatestLevel,
		cluster:        cluster,
		featureLevel:   LevelVersions,
		versions:       versionHistory{first: 1},
		sessions:       newSessionTable(),
		fleet:          coordinator.NewState(policy.Guard(0)),
	}
}

// Last returns the number of the newest version of the document, 0 before the first.
func (m *StateMachine) Last() uint64 { return m.versions.last() }

// Text returns a version of the document and its hash; ok is false if it is not held.
func (m *StateMachine) Text(number uint64) (text, hash string, ok bool) {
	return m.versions.text(number)
}

// applyEntry applies the data of a committed entry, a put or an entry with a kind. It returns the result of the put or
// the outcome of the fleet entry; at least one is nil. An error means that the entry can not be read, and the instance
// must stop, as others may have applied it.
func (m *StateMachine) applyEntry(data []byte, index, term uint64) (*AppliedPut, coordinator.Outcome, error) {
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, nil, &coordinator.EntryError{Expected: "an entry", Err: err}
	}
	switch {
	case e.Kind == "":
		put, err := m.applyPutEntry(data, index, term)
		return put, nil, err
	case m.supportedLevel < LevelFleet:
		return nil, nil, &NewerProgramError{fmt.Sprintf("of kind %q", e.Kind), "a put"}
	case e.Kind == kindLevel:
		return nil, nil, m.applyLevel(e.Body)
	}
	outcome, err := m.fleet.Apply(e.Kind, e.Body, index, term, m)
	return nil, outcome, err
}

func (m *StateMachine) applyPutEntry(data []byte, index, term uint64) (*AppliedPut, error) {
	var p Put
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, &coordinator.EntryError{Expected: "a put", Err: err}
	}
	if newest := rulesForLevel(m.supportedLevel); p.Rules < 1 || p.Rules > newest {
		return nil, &NewerProgramError{fmt.Sprintf("made under rules %d", p.Rules), fmt.Sprintf("%d at most", newest)}
	}
	return &AppliedPut{p.Session, p.Seq, m.applyPut(&p, index, term)}, nil
}

func (m *StateMachine) applyLevel(body []byte) error {
	var level int
	if err := json.Unmarshal(body, &level); err != nil || level > m.supportedLevel {
		return &NewerProgramError{fmt.Sprintf("a rise to level %s", body), fmt.Sprintf("%d at most", m.supportedLevel)}
	}
	m.featureLevel = max(m.featureLevel, level)
	return nil
}

// applyPut returns a put's result; a repeated put gets the stored one.
func (m *StateMachine) applyPut(p *Put, index, term uint64) PutResult {
	return m.sessions.applyOnce(p, m.versions.last(), m.disabledGuards.Has(SessionTable), func() PutResult {
		if last := m.versions.last(); p.Base != last && !m.disabledGuards.Has(CompareAndSet) {
			return PutResult{PutConflict, last, fmt.Sprintf("made from version %d, expected %d", p.Base, last)}
		}
		return m.versions.commit(p, m.activeDocument(), index, term)
	})
}

// activeDocument returns the document that a new version must be compatible with: the committed version of policy
// changes or, before the first policy change, the newest version. A version whose change was aborted does not count.
func (m *StateMachine) activeDocument() *document.Document {
	state := m.fleet.Policy
	if state.LastNumber == 0 {
		return m.versions.newest
	}
	if state.CommittedVersion < m.versions.first {
		return nil // none yet, or dropped; all instances decide the same
	}
	v, err := ReadVersion(m.versions.lines[state.CommittedVersion-m.versions.first])
	if err != nil {
		return m.versions.newest
	}
	d, err := document.ParseWithRules(max(1, v.Rules), "committed version", []byte(v.Text))
	if err != nil {
		return m.versions.newest
	}
	return d
}
