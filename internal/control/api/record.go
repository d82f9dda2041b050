package api

import (
	"fmt"

	"umberwinch/internal/control/document"
)

// maxGroupOrHashBytes of a group's name or of a hash.
const maxGroupOrHashBytes = 80

// placeholderNonce stands for the nonce of a join that is checked for its names alone.
const placeholderNonce = "unused--"

// NodeRecord is what a node remembers of its fleet, as it tells whoever restores the group.
type NodeRecord struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Addr          string `json:"addr,omitempty"`
	Group         string `json:"group"` // that it heard last
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"` // of the group's log, in the last answer
	EntryChecksum uint64 `json:"-"`     // of that entry; 0: not told
	// ActiveVersion is one that the node served under, so it was committed. ActiveText counts only if it has
	// ActiveHash.
	ActiveVersion uint64 `json:"version"`
	ActiveHash    string `json:"hash,omitempty"`
	ActiveText    string `json:"text,omitempty"`
	MinVersion    uint64 `json:"floor"` // decided, as the node was told: it serves under nothing older
	// PreparedVersion is one that the node prepared and has not served under yet.
	PreparedVersion uint64 `json:"next,omitempty"`
	PreparedHash    string `json:"next_hash,omitempty"`
	PreparedText    string `json:"next_text,omitempty"`
	Autonomous      bool   `json:"alone,omitempty"` // it may serve without a lease
	ZoneEpoch       uint64 `json:"epoch,omitempty"` // of its zone's order; 0: it has none
	ZoneShare       int    `json:"share,omitempty"` // that the order has it take, of FullShare
	LeaseMS         uint64 `json:"lease_ms,omitempty"`
}

// Validate says what is wrong with a record: a *FieldError or a *FieldsError.
func (r *NodeRecord) Validate() error {
	names := JoinRequest{Name: r.Name, Zone: r.Zone, Addr: r.Addr, Nonce: placeholderNonce}
	if err := names.Validate(); err != nil {
		return err
	}
	switch {
	case max(len(r.Group), len(r.ActiveHash), len(r.PreparedHash)) > maxGroupOrHashBytes:
		return &FieldsError{"group, hash, next_hash", fmt.Sprintf("at most %d bytes each", maxGroupOrHashBytes)}
	case max(len(r.ActiveText), len(r.PreparedText)) > document.MaxBytes:
		return &FieldError{Field: "text", Found: fmt.Sprintf("%d and %d bytes", len(r.ActiveText), len(r.PreparedText)),
			Expected: fmt.Sprintf("at most %d", document.MaxBytes)}
	case r.ZoneShare < 0 || r.ZoneShare > FullShare:
		return &FieldError{Field: "share", Found: fmt.Sprint(r.ZoneShare), Expected: fmt.Sprintf("0 to %d",
			FullShare)}
	case r.MinVersion < r.ActiveVersion:
		return &FieldError{Field: "floor", Found: fmt.Sprint(r.MinVersion),
			Expected: fmt.Sprintf("%d at least, which is served under", r.ActiveVersion)}
	}
	return nil
}
