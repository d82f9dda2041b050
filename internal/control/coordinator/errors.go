package coordinator

import (
	"errors"
	"fmt"
)

// Errors returned by Leader.
var (
	// ErrBusy is returned when too many heartbeats or operators' operations are pending. The caller may retry shortly.
	// Operators receive the same text as nodes.
	ErrBusy = errors.New("too many nodes ask at once")
	// ErrStateLost is returned after nodes have proved that the group has lost committed state.
	ErrStateLost = errors.New("the group has lost state and grants nothing: umberctl control recover")
	// ErrNotLeader is returned by an instance that is not the leader.
	ErrNotLeader = errors.New("this instance does not lead")
)

// ErrSnapshot is wrapped by the errors of State.Restore that are not of a subsystem: the snapshot is truncated, corrupt
// or of another format.
var ErrSnapshot = errors.New("the saved state about nodes")

// errNoJoinResult is an internal error: an applied batch has no result for a join request. The node retries.
var errNoJoinResult = errors.New("the beat had no joining")

// VersionMissingError is returned for a policy version whose text the group no longer stores.
type VersionMissingError struct{ Version uint64 }

// Error names the missing version.
func (e *VersionMissingError) Error() string {
	return fmt.Sprintf("version %d is not kept any more", e.Version)
}

// EntryError is returned for an entry that can't be decoded. The instance must stop, as others may have applied the
// entry.
type EntryError struct {
	Expected string // description of the entry's kind
	Err      error
}

// Error describes the entry's expected kind and the decoding error.
func (e *EntryError) Error() string { return fmt.Sprintf("not %s: %v", e.Expected, e.Err) }

// Unwrap returns the decoding error.
func (e *EntryError) Unwrap() error { return e.Err }

// UnknownKindError is returned for an entry of an unknown kind, most likely appended by a newer build. The instance has
// to be started with that build.
type UnknownKindError struct{ Kind string }

// Error names the unknown kind and the known ones.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("an entry of kind %q, expected %s, %s or %s", e.Kind, KindHeartbeats, KindPolicy, KindZones)
}
