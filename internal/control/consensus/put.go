package consensus

import (
	"fmt"
	"strings"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
)

// Bounds of the fields that a put stores beside its text, in bytes.
const (
	maxNameBytes   = 200  // an author or session
	maxReasonBytes = 2000 // the reason of an author or of a rejection
)

// Put requests a new version of the document. Session and Seq identify it: a client numbers its puts from 1 and repeats
// a put under its number until it has a result.
type Put struct {
	Session      string `json:"session"`
	Seq          uint64 `json:"seq"`
	Base         uint64 `json:"base"` // version that the change was made from
	Author       string `json:"author"`
	Reason       string `json:"reason"`
	ProposedAtMS int64  `json:"at_ms"` // Unix time at the instance that received it, in ms
	Rules        int    `json:"rules"` // version of the document rules that it is validated by
	Text         string `json:"text"`
}

// PutOutcome classifies the result of a put, as stored with its session and sent to the client.
type PutOutcome string

// Outcomes of a put.
const (
	PutCommitted PutOutcome = "taken"
	PutUnchanged PutOutcome = "unchanged" // the document equals the newest version
	PutConflict  PutOutcome = "conflict"  // the base is not the newest version
	PutInvalid   PutOutcome = "refused"   // the document is invalid, by itself or as a successor of the active one
	PutExpired   PutOutcome = "expired"   // the session is unknown, or has a later put
)

// PutResult is the result of a put; each repeat of the put gets the same one.
type PutResult struct {
	Outcome PutOutcome `json:"end"`
	Version uint64     `json:"version"` // the new version if the put was committed, otherwise the newest one
	Reason  string     `json:"reason,omitempty"`
}

// validate returns an *api.FieldError for the first invalid field. Checks that depend on the state follow when the put
// is applied.
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

// truncateReason bounds a reason, which is stored with its session: a document may have an error on each of many lines.
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
