package consensus

import (
	"bytes"
	"container/list"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"umberwinch/internal/control/coordinator"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/policy"
)

// Bounds of the replicated state, the same at every instance since what is let go of has to be the same.
const (
	maxVersions     = 100000   // numbers kept
	maxVersionBytes = 64 << 20 // of their texts
	maxSessions     = 4096     // clients whose last put is known
	maxMembers      = 15
	maxRemoved      = 256
	maxNameBytes    = 200 // bytes of an author or session
	maxReasonBytes  = 2000
)

// Version is one configuration that a majority committed.
type Version struct {
	Number uint64 `json:"version"`
	Parent uint64 `json:"parent"`
	Hash   string `json:"hash"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	At     int64  `json:"at_ms"` // the proposer's wall clock: for people, nothing hangs on it
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Rules  int    `json:"rules,omitempty"` // it was judged by, 0 for the first
	Text   string `json:"text,omitempty"`
}

// Put asks for a new version. Session and Seq name the asking: a client counts its puts from 1 and repeats
// one under the same number until it has an answer.
type Put struct {
	Session string `json:"session"`
	Seq     uint64 `json:"seq"`
	Base    uint64 `json:"base"` // the version it was made from
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	At      int64  `json:"at_ms"`
	Rules   int    `json:"rules"`
	Text    string `json:"text"`
}

// BarsInstance of a put.
const (
	PutCommitted = "taken"
	PutUnchanged = "unchanged" // it says what the version in force says
	PutConflict  = "conflict"  // it was made from another version than the one in force
	PutInvalid   = "refused"   // the document is wrong, alone or after the one before
	PutExpired   = "expired"   // its session is not known any more, or has gone on
)

// PutResult is how a put ended; each repeat of the put gets the same one.
type PutResult struct {
	Outcome string `json:"end"`
	Version uint64 `json:"version"` // taken: the new one; else the one in force
	Reason  string `json:"reason,omitempty"`
}

// Member is an instance as the group knows it.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Peer    string `json:"peer"`
	Listen  string `json:"listen"`
	Voter   bool   `json:"voter"`
	Promote bool   `json:"promote"` // becomes a voter once it has caught up
}

// Change is what a change of members carries beside what raft needs of it.
type Change struct {
	Op         string `json:"op"` // add, promote, remove, replace
	Member     Member `json:"member"`
	ReplacedID uint64 `json:"gone,omitempty"` // replace: who leaves as the member becomes a voter
}

type session struct {
	name   string
	seq    uint64
	answer PutResult
}

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

// Last returns the number of the newest version of the document, 0 before the first.
func (m *StateMachine) Last() uint64 { return m.lastVersion() }

// Text gives a version of the configuration with its hash; ok is false where it isn't held.
func (m *StateMachine) Text(number uint64) (text, hash string, ok bool) {
	if number < m.first || number > m.lastVersion() {
		return "", "", false
	}
	v, err := ReadVersion(m.lines[number-m.first])
	if err != nil {
		return "", "", false
	}
	return v.Text, v.Hash, true
}

func newStateMachine(cluster string, without Guard) *StateMachine {
	return &StateMachine{disabledGuards: without, cluster: cluster, first: 1, sessions: map[string]*list.Element{},
		used: list.New(), level: LevelVersions, supportedLevel: LatestLevel, fleet: coordinator.NewState(policy.Guard(0))}
}

// last gives the number of the version in force, 0 before the first.
func (m *StateMachine) lastVersion() uint64 { return m.first + uint64(len(m.lines)) - 1 }

// valid says what is wrong with a put before it is proposed; what hangs on the state is judged when it is
// applied.
func (p *Put) valid() error {
	switch {
	case p.Session == "" || len(p.Session) > maxNameBytes:
		return fmt.Errorf("session: found %d bytes, expected 1 to %d", len(p.Session), maxNameBytes)
	case p.Seq == 0:
		return fmt.Errorf("seq: found 0, expected 1 or more")
	case p.Author == "" || len(p.Author) > maxNameBytes:
		return fmt.Errorf("author: found %d bytes, expected 1 to %d", len(p.Author), maxNameBytes)
	case len(p.Reason) > maxReasonBytes:
		return fmt.Errorf("reason: found %d bytes, expected at most %d", len(p.Reason), maxReasonBytes)
	case len(p.Text) > document.MaxBytes:
		return fmt.Errorf("text: found %d bytes, expected at most %d", len(p.Text), document.MaxBytes)
	}
	return nil
}

// put applies a put at an index of the log.
func (m *StateMachine) applyPut(p *Put, index, term uint64) PutResult {
	if e := m.sessions[p.Session]; e != nil {
		s := e.Value.(*session)
		m.used.MoveToBack(e)
		switch {
		case p.Seq == s.seq && !m.disabledGuards.Has(SessionTable):
			return s.answer
		case p.Seq < s.seq:
			return PutResult{PutExpired, m.lastVersion(), fmt.Sprintf("put %d, expected %d or later", p.Seq, s.seq)}
		}
		s.seq, s.answer = p.Seq, m.judge(p, index, term)
		return s.answer
	}
	if p.Seq != 1 {
		return PutResult{PutExpired, m.lastVersion(), "the session is not known any more, expected a new one from 1 on"}
	}
	s := &session{p.Session, p.Seq, m.judge(p, index, term)}
	m.sessions[p.Session] = m.used.PushBack(s)
	if m.used.Len() > maxSessions {
		old := m.used.Remove(m.used.Front()).(*session)
		delete(m.sessions, old.name)
	}
	return s.answer
}

func (m *StateMachine) judge(p *Put, index, term uint64) PutResult {
	if p.Base != m.lastVersion() && !m.disabledGuards.Has(CompareAndSet) {
		return PutResult{PutConflict, m.lastVersion(), fmt.Sprintf("made from version %d, expected %d", p.Base, m.lastVersion())}
	}
	next, err := document.ParseUnder(p.Rules, "document", []byte(p.Text))
	if err == nil {
		err = next.Follows(m.activeDocument())
	}
	if err != nil {
		return PutResult{PutInvalid, m.lastVersion(), truncateReason(err.Error())}
	}
	text := next.Canonical()
	if len(text) > document.MaxBytes {
		return PutResult{PutInvalid, m.lastVersion(), fmt.Sprintf("document: found %d bytes in canonical form, expected at most %d",
			len(text), document.MaxBytes)}
	}
	hash := document.Hash(text)
	if hash == m.hash {
		return PutResult{PutUnchanged, m.lastVersion(), ""}
	}
	v := Version{m.lastVersion() + 1, m.lastVersion(), hash, p.Author, p.Reason, p.At, index, term, 0, string(text)}
	if p.Rules > 1 {
		v.Rules = p.Rules
	}
	line, err := json.Marshal(&v)
	if err != nil {
		return PutResult{PutInvalid, m.lastVersion(), err.Error()}
	}
	m.lines = append(m.lines, line)
	m.bytes += len(line)
	m.current, m.hash = next, hash
	for len(m.lines) > maxVersions || m.bytes > maxVersionBytes && len(m.lines) > 1 {
		m.bytes -= len(m.lines[0])
		m.lines = m.lines[1:]
		m.first++
	}
	return PutResult{PutCommitted, v.Number, ""}
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

// short bounds a reason: it is kept with its session, and a document may have a fault on each of many lines.
func truncateReason(reason string) string {
	if len(reason) <= maxReasonBytes {
		return reason
	}
	cut := strings.LastIndexByte(reason[:maxReasonBytes], '\n')
	if cut <= 0 {
		cut = maxReasonBytes
	}
	return fmt.Sprintf("%s\n%d more lines", reason[:cut], 1+strings.Count(reason[cut+1:], "\n"))
}

func (m *StateMachine) member(id uint64) *Member {
	i := sort.Search(len(m.members), func(i int) bool { return m.members[i].ID >= id })
	if i < len(m.members) && m.members[i].ID == id {
		return &m.members[i]
	}
	return nil
}

func (m *StateMachine) memberByName(name string) *Member {
	for i := range m.members {
		if m.members[i].Name == name {
			return &m.members[i]
		}
	}
	return nil
}

func (m *StateMachine) voters() int {
	n := 0
	for _, o := range m.members {
		if o.Voter {
			n++
		}
	}
	return n
}

// may says why a change of members can't be made, by the state alone, so that all instances find the same.
func (m *StateMachine) checkChange(c *Change) error {
	at := m.member(c.Member.ID)
	switch c.Op {
	case "add":
		switch {
		case c.Member.ID == 0 || c.Member.Name == "":
			return fmt.Errorf("found id %x and name %q, expected both", c.Member.ID, c.Member.Name)
		case at != nil:
			return fmt.Errorf("instance %x is a member already", c.Member.ID)
		case m.memberByName(c.Member.Name) != nil:
			return fmt.Errorf("%q is instance %x already; remove that one first, or replace it", c.Member.Name,
				m.memberByName(c.Member.Name).ID)
		case m.wasRemoved(c.Member.ID):
			return fmt.Errorf("instance %x was removed; start it anew on an empty folder", c.Member.ID)
		case len(m.members) >= maxMembers:
			return fmt.Errorf("%d members, expected at most %d", len(m.members)+1, maxMembers)
		}
	case "promote":
		if at == nil || at.Voter {
			return fmt.Errorf("instance %x is no learner", c.Member.ID)
		}
	case "remove":
		if at == nil {
			return fmt.Errorf("instance %x is no member", c.Member.ID)
		}
		if at.Voter && m.voters() == 1 {
			return fmt.Errorf("%q is the only voter", at.Name)
		}
	case "replace":
		gone := m.member(c.ReplacedID)
		if at == nil || at.Voter || gone == nil || !gone.Voter {
			return fmt.Errorf("replacing %x by %x: expected a voter and a learner", c.ReplacedID, c.Member.ID)
		}
	default:
		return fmt.Errorf("found %q, expected add, promote, remove or replace", c.Op)
	}
	return nil
}

// change carries out what may said yes to.
func (m *StateMachine) applyChange(c *Change) {
	switch c.Op {
	case "add":
		n := c.Member
		n.Voter = false
		m.members = append(append([]Member{}, m.members...), n)
		sort.Slice(m.members, func(i, k int) bool { return m.members[i].ID < m.members[k].ID })
	case "promote", "replace":
		m.members = append([]Member{}, m.members...)
		at := m.member(c.Member.ID)
		at.Voter, at.Promote = true, false
		if c.Op == "replace" {
			m.drop(c.ReplacedID)
		}
	case "remove":
		m.drop(c.Member.ID)
	}
}

func (m *StateMachine) drop(id uint64) {
	var kept []Member
	for _, o := range m.members {
		if o.ID != id {
			kept = append(kept, o)
		}
	}
	m.members = kept
	m.removed = append(append([]uint64{}, m.removed...), id)
	if len(m.removed) > maxRemoved {
		m.removed = m.removed[1:]
	}
}

func (m *StateMachine) wasRemoved(id uint64) bool {
	for _, o := range m.removed {
		if o == id {
			return true
		}
	}
	return false
}

// picture is the head of a saved state; sessions and versions follow it, a line each.
type snapshotHeader struct {
	Cluster  string   `json:"cluster"`
	Applied  uint64   `json:"applied"`
	Term     uint64   `json:"term"`
	First    uint64   `json:"first"`
	Versions int      `json:"versions"`
	Sessions int      `json:"sessions"`
	Members  []Member `json:"members"`
	Removed  []uint64 `json:"removed"`
	Level    int      `json:"level,omitempty"`
	// Operations is the part about nodes, once there is one.
	Nodes json.RawMessage `json:"nodes,omitempty"`
}

type savedSession struct {
	Name   string    `json:"name"`
	Seq    uint64    `json:"seq"`
	Answer PutResult `json:"answer"`
}

// save gives the state in parts that don't change any more, so that they can be written beside what goes on.
func (m *StateMachine) save() ([][]byte, error) {
	var head bytes.Buffer
	enc := json.NewEncoder(&head)
	p := snapshotHeader{Cluster: m.cluster, Applied: m.applied, Term: m.term, First: m.first, Versions: len(m.lines),
		Sessions: m.used.Len(), Members: m.members, Removed: m.removed}
	if m.level > LevelVersions {
		raw, err := m.fleet.Snapshot()
		if err != nil {
			return nil, err
		}
		p.Level, p.Nodes = m.level, raw
	}
	if err := enc.Encode(p); err != nil {
		return nil, err
	}
	for e := m.used.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		if err := enc.Encode(savedSession{s.name, s.seq, s.answer}); err != nil {
			return nil, err
		}
	}
	parts := make([][]byte, 0, 2+2*len(m.lines))
	parts = append(parts, head.Bytes())
	for _, l := range m.lines {
		parts = append(parts, l, newline)
	}
	return parts, nil
}

var newline = []byte{'\n'}

// restoreStateMachine reads what save gave.
func restoreStateMachine(raw []byte, without Guard) (*StateMachine, error) {
	line := func() []byte {
		l, rest, _ := bytes.Cut(raw, newline)
		raw = rest
		return l
	}
	var p snapshotHeader
	if err := json.Unmarshal(line(), &p); err != nil {
		return nil, fmt.Errorf("head of a saved state: %w", err)
	}
	m := newStateMachine(p.Cluster, without)
	m.applied, m.term, m.first, m.members, m.removed = p.Applied, p.Term, p.First, p.Members, p.Removed
	m.level = max(LevelVersions, p.Level)
	if m.level > LatestLevel {
		return nil, fmt.Errorf("saved state of level %d, expected at most %d: it needs the program that made it", m.level,
			LatestLevel)
	}
	if p.Nodes != nil {
		if err := m.fleet.Restore(p.Nodes); err != nil {
			return nil, err
		}
	}
	if p.Versions < 0 || p.Versions > maxVersions || p.Sessions < 0 || p.Sessions > maxSessions || p.First == 0 {
		return nil, fmt.Errorf("saved state of %d versions from %d and %d sessions, expected at most %d and %d",
			p.Versions, p.First, p.Sessions, maxVersions, maxSessions)
	}
	for i := 0; i < p.Sessions; i++ {
		var s savedSession
		if err := json.Unmarshal(line(), &s); err != nil {
			return nil, fmt.Errorf("session %d of a saved state: %w", i, err)
		}
		m.sessions[s.Name] = m.used.PushBack(&session{s.Name, s.Seq, s.Answer})
	}
	for i := 0; i < p.Versions; i++ {
		l := append([]byte{}, line()...)
		m.lines = append(m.lines, l)
		m.bytes += len(l)
	}
	if p.Versions > 0 {
		v, err := ReadVersion(m.lines[len(m.lines)-1])
		if err != nil {
			return nil, err
		}
		if v.Number != m.lastVersion() {
			return nil, fmt.Errorf("last version of a saved state is %d, expected %d", v.Number, m.lastVersion())
		}
		if m.current, err = document.ParseUnder(max(1, v.Rules), "document", []byte(v.Text)); err != nil {
			return nil, fmt.Errorf("version %d of a saved state: %w", v.Number, err)
		}
		m.hash = v.Hash
	}
	return m, nil
}

// ReadVersion reads a version's line.
func ReadVersion(line []byte) (*Version, error) {
	var v Version
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("a version: %w", err)
	}
	return &v, nil
}
