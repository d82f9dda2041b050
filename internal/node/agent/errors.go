package agent

import "errors"

// Errors of rejected heartbeat responses. HandleResponse wraps one of them.
var (
	// ErrUntrusted is the error for a response that no correct instance of this node's group sends: it is inconsistent
	// or from another group.
	ErrUntrusted = errors.New("untrusted response")
	// ErrStale is the error for a response of an instance that is behind this node's last seen state and may catch up.
	ErrStale = errors.New("stale response")
)
