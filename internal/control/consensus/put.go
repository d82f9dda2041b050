package consensus

import (
	"fmt"
	"strings"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// Bounds of what a put stores beside its text, in bytes.
const (
	maxNameBytes   = 200  // an author or session: names, not texts
	maxReasonBytes = 2000 // a reason, an author's or of a rejection: some lines for people
)

// Put asks for a new version of the document. Session and Seq name it: a client counts its puts from 1 and repeats one
// under its number until it has a result.
type Put struct {
	Session string `json:"session"`
	Seq     uint64 `json:"seq"`
	Base    uint64 `json:"base"` // the version that it was made from
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	At      int64  `json:"at_ms"` // Unix time at the instance asked, in ms
	Rules   int    `json:"rules"` // numbering of the document's rules that it is judged by
	Text    string `json:"text"`
}

// PutOutcome is how a put ended, as stored with its session and sent to the client.
type PutOutcome string

// Outcomes of a put.
const (
	PutCommitted PutOutcome = "taken"
	PutUnchanged PutOutcome = "unchanged" // it says what the newest version says
	PutConflict  PutOutcome = "conflict"  // it was made from another version than the newest
	PutInvalid   PutOutcome = "refused"   // the document is wrong, alone or after the one before
	PutExpired   PutOutcome = "expired"   // its session is not known any more, or has gone on
)

// PutResult is how a put ended; each repeat of the put gets the same one.
type PutResult struct {
	Outcome PutOutcome `json:"end"`
	Version uint64     `json:"version"` // the new version if the put was committed, the newest one otherwise
	Reason  string     `json:"reason,omitempty"`
}

// validate gives an *api.FieldError for the first field that the log would not store. What depends on the state is
// judged when the put is applied.
func (p *Put) validate() error {
	lengthError := func(field, text, expected string) error {
		return &api.FieldError{Field: field, Found: fmt.Sprintf("%d bytes", len(text)), Expected: expected}
	}
	switch {
	case p.Session == "" || len(p.Session) > maxNameBytes:
		return lengthError("session", p.Session, fmt.Sprintf("1 to %d", maxNameBytes))
	case p.Seq == 0:
		return &api.FieldError{Field: "seq", Found: "0", Expected: "1 or more"}
	case p.Author == "" || len(p.Author) > maxNameBytes:
		return lengthError("author", p.Author, fmt.Sprintf("1 to %d", maxNameBytes))
	case len(p.Reason) > maxReasonBytes:
		return lengthError("reason", p.Reason, fmt.Sprintf("at most %d", maxReasonBytes))
	case len(p.Text) > document.MaxBytes:
		return lengthError("text", p.Text, fmt.Sprintf("at most %d", document.MaxBytes))
	}
	return nil
}

// truncateReason bounds a reason, which is stored with its session: a document may have a fault on each of many lines.
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
