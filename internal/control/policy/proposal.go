package policy

import (
	"fmt"
	"strconv"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Limits of a proposal's prepare timeout, in ms. The minimum leaves nodes time for a heartbeat; the maximum limits how
// long a change blocks other proposals.
const (
	MinPrepareMS = 1000
	MaxPrepareMS = 24 * 3600_000
)

// Limits of a proposal's strings, in bytes; they are stored with the change.
const (
	maxAuthorBytes = 200
	maxReasonBytes = 2000
	minKeyBytes    = 8
	maxKeyBytes    = 80
)

// Proposal requests a change to a version that the group stores.
type Proposal struct {
	Version         uint64 `json:"version"`
	Exclusive       bool   `json:"exclusive,omitempty"` // no two versions may be served at the same time
	PrepareWithinMS uint64 `json:"within_ms"`
	MaxLeftBehind   int    `json:"spare,omitempty"` // maximum number of nodes left out of service
	Author          string `json:"author"`
	Reason          string `json:"reason"`
	IdempotencyKey  string `json:"key"` // a proposal repeated under it takes effect once
}

// Validate returns an *api.FieldError for the first invalid field.
func (p *Proposal) Validate() error {
	byteCount := func(s string) string { return fmt.Sprintf("%d bytes", len(s)) }
	switch {
	case p.Version == 0:
		return &api.FieldError{Field: "version", Found: "0", Expected: "one of the group's"}
	case p.PrepareWithinMS < MinPrepareMS || p.PrepareWithinMS > MaxPrepareMS:
		return &api.FieldError{Field: "within_ms", Found: strconv.FormatUint(p.PrepareWithinMS, 10),
			Expected: fmt.Sprintf("%d to %d", MinPrepareMS, MaxPrepareMS)}
	case p.MaxLeftBehind < 0 || p.MaxLeftBehind > membership.MaxNodes:
		return &api.FieldError{Field: "spare", Found: strconv.Itoa(p.MaxLeftBehind),
			Expected: fmt.Sprintf("0 to %d", membership.MaxNodes)}
	case p.Author == "" || len(p.Author) > maxAuthorBytes:
		return &api.FieldError{Field: "author", Found: byteCount(p.Author),
			Expected: fmt.Sprintf("1 to %d", maxAuthorBytes)}
	case len(p.Reason) > maxReasonBytes:
		return &api.FieldError{Field: "reason", Found: byteCount(p.Reason),
			Expected: fmt.Sprintf("at most %d", maxReasonBytes)}
	case len(p.IdempotencyKey) < minKeyBytes || len(p.IdempotencyKey) > maxKeyBytes:
		return &api.FieldError{Field: "key", Found: byteCount(p.IdempotencyKey),
			Expected: fmt.Sprintf("%d to %d", minKeyBytes, maxKeyBytes)}
	}
	return nil
}
