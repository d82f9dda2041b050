package consensus

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// snapshotHeader is the first line of a serialized state; the lines of sessions and then versions follow.
type snapshotHeader struct {
	Cluster  string   `json:"cluster"`
	Applied  uint64   `json:"applied"`
	Term     uint64   `json:"term"`
	First    uint64   `json:"first"` // number of the first version
	Versions int      `json:"versions"`
	Sessions int      `json:"sessions"`
	Members  []Member `json:"members"`
	Removed  []uint64 `json:"removed"`
	Level    int      `json:"level,omitempty"`
	// Fleet is the fleet's state. It and Level are omitted at the first level, whose snapshots older programs read.
	Fleet json.RawMessage `json:"nodes,omitempty"`
}

var newline = []byte{'\n'}

// snapshot serializes the state into immutable parts, which may be written while entries are applied.
func (m *StateMachine) snapshot() ([][]byte, error) {
	sessions := m.sessions.snapshot()
	header := snapshotHeader{
		Cluster:  m.cluster,
		Applied:  m.applied,
		Term:     m.term,
		First:    m.versions.first,
		Versions: len(m.versions.lines),
		Sessions: len(sessions),
		Members:  m.members.list,
		Removed:  m.members.removed,
	}
	if m.featureLevel > LevelVersions {
		fleet, err := m.fleet.Snapshot()
		if err != nil {
			return nil, err
		}
		header.Level, header.Fleet = m.featureLevel, fleet
	}
	var headerAndSessions bytes.Buffer
	encoder := json.NewEncoder(&headerAndSessions)
	if err := encoder.Encode(header); err != nil {
		return nil, err
	}
	for _, s := range sessions {
		if err := encoder.Encode(s); err != nil {
			return nil, err
		}
	}
	parts := make([][]byte, 0, 1+2*len(m.versions.lines))
	parts = append(parts, headerAndSessions.Bytes())
	for _, line := range m.versions.lines {
		parts = append(parts, line, newline)
	}
	return parts, nil
}

// lineReader splits a serialized state into lines. Past the end it returns empty lines, which are not valid JSON.
type lineReader struct{ rest []byte }

func (r *lineReader) next() (line []byte) {
	line, r.rest, _ = bytes.Cut(r.rest, newline)
	return line
}

// restoreStateMachine reads a state serialized by snapshot. Its error is a *SnapshotError.
func restoreStateMachine(raw []byte, disabled Guard) (*StateMachine, error) {
	m, err := parseSnapshot(&lineReader{raw}, disabled)
	if err != nil {
		return nil, &SnapshotError{err}
	}
	return m, nil
}

func parseSnapshot(lines *lineReader, disabled Guard) (*StateMachine, error) {
	var h snapshotHeader
	if err := json.Unmarshal(lines.next(), &h); err != nil {
		return nil, fmt.Errorf("head of a saved state: %w", err)
	}
	m := newStateMachine(h.Cluster, disabled)
	m.applied, m.term = h.Applied, h.Term
	m.versions.first = h.First
	m.members = memberTable{h.Members, h.Removed}
	m.featureLevel = max(LevelVersions, h.Level)
	if m.featureLevel > LatestLevel {
		return nil, fmt.Errorf("saved state of level %d, expected at most %d: it needs the program that made it",
			m.featureLevel, LatestLevel)
	}
	if h.Fleet != nil {
		if err := m.fleet.Restore(h.Fleet); err != nil {
			return nil, err
		}
	}
	if err := h.checkCounts(); err != nil {
		return nil, err
	}
	for i := range h.Sessions {
		var s savedSession
		if err := json.Unmarshal(lines.next(), &s); err != nil {
			return nil, fmt.Errorf("session %d of a saved state: %w", i, err)
		}
		m.sessions.restore(s)
	}
	var versions [][]byte
	for range h.Versions {
		versions = append(versions, bytes.Clone(lines.next()))
	}
	return m, m.versions.restore(versions)
}

func (h *snapshotHeader) checkCounts() error {
	if h.Versions < 0 || h.Versions > maxVersions || h.Sessions < 0 || h.Sessions > maxSessions || h.First == 0 {
		return fmt.Errorf("saved state of %d versions from %d and %d sessions, expected at most %d and %d",
			h.Versions, h.First, h.Sessions, maxVersions, maxSessions)
	}
	return nil
}
