package agent

import "errors"

// Why a heartbeat response is rejected. Errors of HandleResponse wrap one of them and say what was found and expected.
var (
	// ErrUntrusted is a response that no correct instance of this node's group sends: it contradicts itself, or comes
	// from another group.
	ErrUntrusted = errors.New("untrusted response")
	// ErrStale is a response of an instance that is behind what this node has seen, and may catch up.
	ErrStale = errors.New("stale response")
)
