package consensus

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// StateMachine is the replicated state, put together from its subsystems. It is given committed entries in order and
// nothing else, so it is the same at every instance after the same entry. It never looks at a clock: the age of a
// session is how many others were used since.
type StateMachine struct {
	disabledGuards Guard
	supportedLevel int // the newest level of which this instance's program can read entries

	cluster string
	applied uint64 // index of the entry applied last
	term    uint64 // of that entry
	level   int    // the group's: what entries may be proposed

	versions versionHistory
	sessions sessionTable
	members  memberTable
	fleet    *coordinator.State

	// uncommittedEntries counts entries of a stored folder, read for a recovery, that are not known to be committed.
	uncommittedEntries uint64
}

// Feature levels. A group has the least of its members', raised by an entry once all have said what they support, and
// never lowered: an older program would read an entry that it does not know, or apply one otherwise.
const (
	LevelVersions    = 1                            // versions and members
	LevelFleet       = 2                            // nodes, policy changes, documents with [fleet]
	LevelZones       = 3                            // evacuation and return of zones, documents with [zones]
	LevelGenerations = coordinator.LevelGenerations // proofs of lost state, restored groups as new generations
	LevelSameProcess = coordinator.LevelSameProcess // nodes say that their process went on
	LatestLevel      = LevelSameProcess
)

// rulesForLevel gives the numbering of a document's rules at a level.
func rulesForLevel(level int) int { return min(level, document.LatestRules) }

func newStateMachine(cluster string, disabled Guard) *StateMachine {
	return &StateMachine{
		disabledGuards: disabled,
		supportedLevel: LatestLevel,
		cluster:        cluster,
		level:          LevelVersions,
		versions:       versionHistory{first: 1},
		sessions:       newSessionTable(),
		fleet:          coordinator.NewState(policy.Guard(0)),
	}
}

// Last returns the number of the newest version of the document, 0 before the first.
func (m *StateMachine) Last() uint64 { return m.versions.last() }

// Text returns a version of the document with its hash; ok is false where it is not held.
func (m *StateMachine) Text(number uint64) (text, hash string, ok bool) {
	return m.versions.text(number)
}

// applyEntry applies what a committed entry carries, a put or an entry of a kind. It returns the put's result, or the
// outcome of a fleet entry; at least one of them is nil. An error means that the entry can't be read: the instance
// can't go on, as others may have applied it.
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
	m.level = max(m.level, level)
	return nil
}

// applyPut gives a put's result. A repeated put gets the first one's, whatever happened since.
func (m *StateMachine) applyPut(p *Put, index, term uint64) PutResult {
	return m.sessions.applyOnce(p, m.versions.last(), m.disabledGuards.Has(SessionTable), func() PutResult {
		if last := m.versions.last(); p.Base != last && !m.disabledGuards.Has(CompareAndSet) {
			return PutResult{PutConflict, last, fmt.Sprintf("made from version %d, expected %d", p.Base, last)}
		}
		return m.versions.commit(p, m.activeDocument(), index, term)
	})
}

// activeDocument gives the document that requests in flight were accepted under: the newest version, or where nodes are
// told of policy changes, the version that is in force there. A version whose change was aborted binds nobody.
func (m *StateMachine) activeDocument() *document.Document {
	state := m.fleet.Policy
	if state.LastNumber == 0 {
		return m.versions.newest
	}
	if state.CommittedVersion < m.versions.first {
		return nil // none yet, or one that is not held any more: all instances find so
	}
	v, err := ReadVersion(m.versions.lines[state.CommittedVersion-m.versions.first])
	if err != nil {
		return m.versions.newest
	}
	d, err := document.ParseUnder(max(1, v.Rules), "version in force", []byte(v.Text))
	if err != nil {
		return m.versions.newest
	}
	return d
}
