package api

import (
	"fmt"

	"umberwinch/internal/config"
)

// Limits of the strings of a JoinRequest in bytes. The group stores them for each node.
const (
	maxAddrBytes  = 80
	minNonceBytes = 8
	maxNonceBytes = 80
)

// JoinRequest asks for a new incarnation of a node. It is also stored in the group's log.
type JoinRequest struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Nonce string `json:"nonce"` // identifies the incarnation; the same in a repeated request
	// UptimeMS is the uptime of the node's process; 0: not stated.
	UptimeMS uint64 `json:"up_ms,omitempty"`
	// SameProcess is set by the leader, which ignores a node's value: the process also had the node's last lease, so
	// it has not restarted.
	SameProcess bool `json:"same,omitempty"`
}

// Validate returns a *FieldError for the first invalid field.
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
