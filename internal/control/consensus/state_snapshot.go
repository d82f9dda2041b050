package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/document"
)

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
