package consensus

import (
	"encoding/json"
	"fmt"

	"umberwinch/internal/control/document"
)

// Bounds of the versions held. They protect memory, snapshots and the time of a start; older versions than they allow
// can't be read or watched any more. The same at every instance, as what is dropped must be.
const (
	maxVersions     = 100000   // numbers
	maxVersionBytes = 64 << 20 // of their lines together
)

// Version is one configuration that a majority committed.
type Version struct {
	Number uint64 `json:"version"`
	Parent uint64 `json:"parent"`
	Hash   string `json:"hash"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	At     int64  `json:"at_ms"` // Unix time in ms at the proposer, for people: nothing depends on it
	Index  uint64 `json:"index"`
	Term   uint64 `json:"term"`
	Rules  int    `json:"rules,omitempty"` // numbering of the rules that it was judged by, 0 for the first
	Text   string `json:"text,omitempty"`
}

// ReadVersion reads a version's line of JSON.
func ReadVersion(line []byte) (*Version, error) {
	var v Version
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("a version: %w", err)
	}
	return &v, nil
}

// versionHistory holds the versions, the newest of them parsed.
type versionHistory struct {
	lines  [][]byte // each version as one line of JSON; a line is never written again, so views share it
	first  uint64   // number of lines[0], or of the next version where there is none
	bytes  int      // of all lines
	newest *document.Document
	hash   string // of the newest
}

// last gives the number of the newest version, 0 before the first.
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

// commit makes a put's text the next version if it is a document that may follow the active one.
func (h *versionHistory) commit(p *Put, active *document.Document, index, term uint64) PutResult {
	next, err := document.ParseUnder(p.Rules, "document", []byte(p.Text))
	if err == nil {
		err = next.Follows(active)
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
	v := Version{Number: h.last() + 1, Parent: h.last(), Hash: hash, Author: p.Author, Reason: p.Reason, At: p.At,
		Index: index, Term: term, Text: string(text)}
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

// restore reads the newest of some lines of a snapshot.
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
	h.newest, err = document.ParseUnder(max(1, v.Rules), "document", []byte(v.Text))
	if err != nil {
		return fmt.Errorf("version %d of a saved state: %w", v.Number, err)
	}
	h.hash = v.Hash
	return nil
}
