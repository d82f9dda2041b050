package consensus

import (
	"container/list"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// StateMachine is the replicated state. It is told committed entries in order and nothing else, so it is the same
// at every instance after the same entry. It never looks at a clock; a session's age is how many others were
// used since.
type StateMachine struct {
	disabledGuards     Guard
	cluster            string
	applied            uint64
	term               uint64   // of the entry applied last
	lines              [][]byte // versions, each as one line of JSON; a line is never written again
	first              uint64   // number of lines[0]
	bytes              int
	current            *document.Document
	hash               string
	sessions           map[string]*list.Element
	used               *list.List // of *session, the longest unused first
	members            []Member   // by id
	removed            []uint64   // oldest first
	level              int        // of the program: what entries may be proposed
	supportedLevel     int        // up to which level this instance's program can tell entries
	fleet              *coordinator.State
	uncommittedEntries uint64 // entries of an old folder that are not known to be committed
}

// Levels of the program. A group has the least of its members', raised by an entry once all have said what they know,
// and never lowered.
const (
	LevelVersions    = 1                            // versions and members
	LevelFleet       = 2                            // nodes, changes of policy, documents with [fleet]
	LevelZones       = 3                            // zones that are left and returned to, documents with [zones]
	LevelGenerations = coordinator.LevelGenerations // lost state is told, and restored groups are new generations
	LevelSameProcess = coordinator.LevelSameProcess
	LatestLevel      = LevelSameProcess
)

// rulesForLevel is the numbering of a document's rules at a level.
func rulesForLevel(level int) int { return min(level, document.Rules) }

func newStateMachine(cluster string, without Guard) *StateMachine {
	return &StateMachine{disabledGuards: without, cluster: cluster, first: 1, sessions: map[string]*list.Element{},
		used: list.New(), level: LevelVersions, supportedLevel: LatestLevel, fleet: coordinator.NewState(policy.Guard(0))}
}

// before gives the version that reqs in flight came under: the last one, or where nodes are told of changes, the one
// that is in force there. A version that was called off binds nobody.
func (m *StateMachine) activeDocument() *document.Document {
	p := m.fleet.Policy
	if p.LastNumber == 0 {
		return m.current
	}
	if p.CommittedVersion < m.first {
		return nil // none yet, or one that is kept no more: all instances find so
	}
	v, err := ReadVersion(m.lines[p.CommittedVersion-m.first])
	if err != nil {
		return m.current
	}
	d, err := document.ParseUnder(max(1, v.Rules), "version in force", []byte(v.Text))
	if err != nil {
		return m.current
	}
	return d
}
