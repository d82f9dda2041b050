package api

import (
	"fmt"

	"umberwinch/internal/control/document"
)

// maxGroupOrHashBytes is the maximum length of a group's name or of a hash.
const maxGroupOrHashBytes = 80

// placeholderNonce is a valid nonce for a JoinRequest that is used only to validate names.
const placeholderNonce = "unused--"

// NodeRecord is the fleet state stored by a node, sent to the recovery tool that restores the group.
type NodeRecord struct {
	Name          string `json:"name"`
	Zone          string `json:"zone"`
	Addr          string `json:"addr,omitempty"`
	Group         string `json:"group"` // of the last response
	Generation    uint64 `json:"generation"`
	Term          uint64 `json:"term"`
	Index         uint64 `json:"index"` // log entry of the last response
	EntryChecksum uint64 `json:"-"`     // of the entry at Index; 0: unknown
	// ActiveVersion is the version that the node serves under, so it was committed. ActiveText is valid only if its
	// hash is ActiveHash.
	ActiveVersion uint64 `json:"version"`
	ActiveHash    string `json:"hash,omitempty"`
	ActiveText    string `json:"text,omitempty"`
	MinVersion    uint64 `json:"floor"` // decided version: the node serves under no older one
	// PreparedVersion is prepared by the node but not active yet.
	PreparedVersion uint64 `json:"next,omitempty"`
	PreparedHash    string `json:"next_hash,omitempty"`
	PreparedText    string `json:"next_text,omitempty"`
	Autonomous      bool   `json:"alone,omitempty"` // it may serve without a lease
	ZoneEpoch       uint64 `json:"epoch,omitempty"` // of its zone order; 0: none
	ZoneShare       int    `json:"share,omitempty"` // of its zone order, in parts of FullShare
	LeaseMS         uint64 `json:"lease_ms,omitempty"`
}

// Validate returns a *FieldError or a *FieldsError for the first invalid field.
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
