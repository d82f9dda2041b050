package consensus

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/document"
)

// Bounds of the versions held, for memory, snapshot size and startup time; older versions can not be read or watched.
// Dropping versions is replicated state, so it must be the same at every instance.
const (
	maxVersions     = 100000
	maxVersionBytes = 64 << 20 // size of all lines
)

// Version is a committed version of the policy document.
type Version struct {
	Number       uint64 `json:"version"`
	Parent       uint64 `json:"parent"`
	Hash         string `json:"hash"`
	Author       string `json:"author"`
	Reason       string `json:"reason"`
	ProposedAtMS int64  `json:"at_ms"` // Unix time at the instance that received the put, in ms; informational
	Index        uint64 `json:"index"`
	Term         uint64 `json:"term"`
	Rules        int    `json:"rules,omitempty"` // version of the document rules that it was validated by; 0 means 1
	Text         string `json:"text,omitempty"`
}

// ReadVersion decodes a version from its line of JSON.
func ReadVersion(line []byte) (*Version, error) {
	var v Version
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("a version: %w", err)
	}
	return &v, nil
}

// versionHistory holds the versions, and the newest one parsed.
type versionHistory struct {
	lines  [][]byte // each version as one line of JSON; immutable, as views share them
	first  uint64   // number of lines[0], or of the next version if there is none
	bytes  int      // size of all lines
	newest *document.Document
	hash   string // of the newest version
}

// last returns the number of the newest version, 0 before the first.
func (h *versionHistory) last() uint64 { return h.first + uint64(len(h.lines)) - 1 }

func (h *versionHistory) text(number uint64) (text, hash string, ok bool) {
	if number < h.first || number > h.last() {
		return "", "", false
	}
	v, err := ReadVersion(h.lines[number-h.first])
	if err != nil {
		return "", "", false
	}
	return v.Text, v.Hash, true
}

// commit appends a put's document as the next version if it is valid and may follow the active one.
func (h *versionHistory) commit(p *Put, active *document.Document, index, term uint64) PutResult {
	next, err := document.ParseWithRules(p.Rules, "document", []byte(p.Text))
	if err == nil {
		err = next.ValidateUpdate(active)
	}
	if err != nil {
		return PutResult{PutInvalid, h.last(), truncateReason(err.Error())}
	}
	text := next.Canonical()
	if len(text) > document.MaxBytes {
		reason := fmt.Sprintf("document: found %d bytes in canonical form, expected at most %d", len(text),
			document.MaxBytes)
		return PutResult{PutInvalid, h.last(), reason}
	}
	hash := document.Hash(text)
	if hash == h.hash {
		return PutResult{PutUnchanged, h.last(), ""}
	}
	v := Version{Number: h.last() + 1, Parent: h.last(), Hash: hash, Author: p.Author, Reason: p.Reason,
		ProposedAtMS: p.ProposedAtMS, Index: index, Term: term, Text: string(text)}
	if p.Rules > 1 {
		v.Rules = p.Rules
	}
	if err = h.append(&v, next); err != nil {
		return PutResult{PutInvalid, h.last(), err.Error()}
	}
	h.dropOldest()
	return PutResult{PutCommitted, v.Number, ""}
}

func (h *versionHistory) append(v *Version, d *document.Document) error {
	line, err := json.Marshal(v)
	if err != nil {
		return err
	}
	h.lines = append(h.lines, line)
	h.bytes += len(line)
	h.newest, h.hash = d, v.Hash
	return nil
}

func (h *versionHistory) dropOldest() {
	for len(h.lines) > maxVersions || h.bytes > maxVersionBytes && len(h.lines) > 1 {
		h.bytes -= len(h.lines[0])
		h.lines = h.lines[1:]
		h.first++
	}
}

// restore sets the versions from the lines of a snapshot and parses the newest.
func (h *versionHistory) restore(lines [][]byte) error {
	h.lines = lines
	for _, line := range lines {
		h.bytes += len(line)
	}
	if len(lines) == 0 {
		return nil
	}
	v, err := ReadVersion(lines[len(lines)-1])
	if err != nil {
		return err
	}
	if v.Number != h.last() {
		return fmt.Errorf("last version of a saved state is %d, expected %d", v.Number, h.last())
	}
	h.newest, err = document.ParseWithRules(max(1, v.Rules), "document", []byte(v.Text))
	if err != nil {
		return fmt.Errorf("version %d of a saved state: %w", v.Number, err)
	}
	h.hash = v.Hash
	return nil
}
