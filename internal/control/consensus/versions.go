package consensus

import (
	"encoding/json"
	"fmt"
	"strings"

	"umberwinch/internal/control/document"
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

// last gives the number of the version in force, 0 before the first.
func (m *StateMachine) lastVersion() uint64 { return m.first + uint64(len(m.lines)) - 1 }

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

// ReadVersion reads a version's line.
func ReadVersion(line []byte) (*Version, error) {
	var v Version
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("a version: %w", err)
	}
	return &v, nil
}

type session struct {
	name   string
	seq    uint64
	answer PutResult
}
