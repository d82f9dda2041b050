package coordinator

import (
	"errors"
	"fmt"
)

// Errors that a caller of Leader is told.
var (
	// ErrBusy is for callers that may ask again shortly: the heartbeats, or the operations of operators, that wait here
	// have reached their bound. Operators are told the same text as nodes.
	ErrBusy = errors.New("too many nodes ask at once")
	// ErrStateLost is for nodes and operators of a group that nodes have proved to be behind what it once agreed on.
	ErrStateLost = errors.New("the group has lost state and grants nothing: umberctl control recover")
	// ErrNotLeader is for callers of an instance that does not lead.
	ErrNotLeader = errors.New("this instance does not lead")
)

// ErrSnapshot is what errors of State.Restore wrap that are not of one of its subsystems: the fleet's part of a
// snapshot can't be read.
var ErrSnapshot = errors.New("the saved state about nodes")

// errNoJoinResult is for a request to join that its batch has no result of ("beat" is the batch's stored kind): an
// internal fault, which the node retries.
var errNoJoinResult = errors.New("the beat had no joining")

// VersionMissingError is for a version of the configuration that the group does not keep any more.
type VersionMissingError struct{ Version uint64 }

// Error names the version.
func (e *VersionMissingError) Error() string {
	return fmt.Sprintf("version %d is not kept any more", e.Version)
}

// EntryError is for an entry that can't be read. The instance can't go on: others may have read it.
type EntryError struct {
	Expected string // what its kind stands for, in words that recorded decisions hold
	Err      error
}

// Error says what the entry is not, and why.
func (e *EntryError) Error() string { return fmt.Sprintf("not %s: %v", e.Expected, e.Err) }

// Unwrap gives the error of its decoding.
func (e *EntryError) Unwrap() error { return e.Err }

// UnknownKindError is for an entry of a kind that this program does not know. Most likely a newer build appended it:
// the instance has to be started with that build.
type UnknownKindError struct{ Kind string }

// Error names the kinds that there are.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("an entry of kind %q, expected %s, %s or %s", e.Kind, KindHeartbeats, KindPolicy, KindZones)
}
