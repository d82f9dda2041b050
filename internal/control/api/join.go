package api

import (
	"fmt"

	"umberwinch/internal/config"
)

// Bounds of the strings of a JoinRequest, in bytes: the group keeps them for each of its nodes.
const (
	maxAddrBytes  = 80
	minNonceBytes = 8
	maxNonceBytes = 80
)

// JoinRequest asks for a new incarnation of a node. It stands in the group's log as well.
type JoinRequest struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Nonce string `json:"nonce"` // names the incarnation: a request that is sent again has the same
	// UptimeMS is for how long the node's process has run; 0 where it does not say.
	UptimeMS uint64 `json:"up_ms,omitempty"`
	// SameProcess is set by the leader, whatever a node sends: the process had the name's last lease as well, so this
	// is no restart.
	SameProcess bool `json:"same,omitempty"`
}

// Validate gives a *FieldError for the first field that the group would not store.
func (j *JoinRequest) Validate() error {
	const nameForm = "up to 40 letters, digits, '-', '_' and '.'"
	switch {
	case !config.IsName(j.Name):
		return &FieldError{"name", fmt.Sprintf("%.50q", j.Name), nameForm}
	case !config.IsName(j.Zone):
		return &FieldError{"zone", fmt.Sprintf("%.50q", j.Zone), nameForm}
	case len(j.Addr) > maxAddrBytes:
		return &FieldError{"addr", fmt.Sprintf("%d bytes", len(j.Addr)), fmt.Sprintf("at most %d", maxAddrBytes)}
	case len(j.Nonce) < minNonceBytes || len(j.Nonce) > maxNonceBytes:
		return &FieldError{"nonce", fmt.Sprintf("%d bytes", len(j.Nonce)),
			fmt.Sprintf("%d to %d", minNonceBytes, maxNonceBytes)}
	}
	return nil
}
