package policy

import (
	"fmt"
	"strconv"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Bounds of how long nodes may take to prepare a version, in ms. Below a second not all of them would have sent a
// heartbeat; a change that is open for more than a day keeps all others from being proposed.
const (
	MinPrepareMS = 1000
	MaxPrepareMS = 24 * 3600_000
)

// Bounds of a proposal's strings, in bytes: they are kept with the change.
const (
	maxAuthorBytes = 200
	maxReasonBytes = 2000
	minKeyBytes    = 8
	maxKeyBytes    = 80
)

// Proposal asks for a change to a version that the group keeps.
type Proposal struct {
	Version         uint64 `json:"version"`
	Exclusive       bool   `json:"exclusive,omitempty"` // two versions are never served under at one moment
	PrepareWithinMS uint64 `json:"within_ms"`
	MaxLeftBehind   int    `json:"spare,omitempty"` // nodes that may stay behind, out of service
	Author          string `json:"author"`
	Reason          string `json:"reason"`
	IdempotencyKey  string `json:"key"` // a proposal that is repeated under it counts once
}

// Validate gives an *api.FieldError for the first field that can't be as it is.
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
