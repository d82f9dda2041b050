package consensus

import (
	"errors"
	"fmt"
)

// Errors that clients see. Those of the first group are temporary: the client may ask again, at this instance or
// another.
var (
	// ErrBusy is for a request that finds a queue of the instance full.
	ErrBusy = errors.New("too much waits already; come again")
	// ErrTimeout is for a request without a result in time. It may still take effect; a put is repeated under its
	// number.
	ErrTimeout = errors.New("no answer in time; ask again under the same number")
	// ErrStopped is for a request to an instance that is stopping.
	ErrStopped = errors.New("this instance is ending")
	// ErrNoLeader is for a request that only a leader can serve while this instance knows none.
	ErrNoLeader = errors.New("no leader is known")
	// ErrFeatureLevel is for a request that the group's feature level does not cover yet.
	ErrFeatureLevel = errors.New("not all instances of the group know fleets yet; " +
		"see control status for who is on an older build")
	// ErrLogNearLimit is for a proposal while the log is too near its size limit.
	ErrLogNearLimit = errors.New("the log is near its bound; raise disk.limit_mb")
	// ErrBarred is for any request to an instance that must take no part in the group any more.
	ErrBarred = errors.New("this instance takes no part in the group any more")

	errNoToken    = errors.New("no token, or another one, expected the one of [clients]")
	errNoVersion  = errors.New("there is no version yet")
	errNoTransfer = errors.New("no voter to hand the lead to")
	errRestoring  = errors.New("the group is being restored")
)

// Errors about folders and snapshots.
var (
	// ErrEmptyFolder is for a folder that belongs to no instance.
	ErrEmptyFolder = errors.New("the folder is empty")
	// ErrFolderInUse is for a folder that belongs to an instance where an empty one is needed.
	ErrFolderInUse = errors.New("the folder belongs to an instance already, expected an empty one")

	errNoSnapshotHeader = errors.New("a snapshot without a head")
	errSnapshotRefused  = errors.New("it was not taken")
)

// NewerProgramError is for an entry or snapshot that this program is too old to read. The instance can't go on: it
// would come to another state than instances that can.
type NewerProgramError struct {
	Found    string
	Expected string
}

// Error says what was found and expected.
func (e *NewerProgramError) Error() string {
	return fmt.Sprintf("%s, expected %s: this instance needs the program that made it", e.Found, e.Expected)
}

// RejectedError is an operation that the state machine did not carry out, with its reason.
type RejectedError struct{ Reason string }

// Error gives the reason.
func (e *RejectedError) Error() string { return e.Reason }
