package consensus

import (
	"errors"
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/recovery"
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

	errUnauthorized      = errors.New("no token, or another one, expected the one of [clients]")
	errNoVersion         = errors.New("there is no version yet")
	errNoTransfer        = errors.New("no voter to hand the lead to")
	errRestoreInProgress = errors.New("the group is being restored")
	errTooManyWatchers   = fmt.Errorf("%d watchers, expected at most %d", maxWatchers+1, maxWatchers)
	errTooManyRecords    = fmt.Errorf("%d nodes, expected at most %d", recovery.MaxRecords+1, recovery.MaxRecords)
	errBodyTooLarge      = fmt.Errorf("more than %d bytes", maxBodyBytes)
)

// Why a change of members can't be made; a ChangeError wraps one of them.
var (
	ErrIncompleteMember   = errors.New("a member without id or name")
	ErrAlreadyMember      = errors.New("a member already")
	ErrNameTaken          = errors.New("another member has the name")
	ErrMemberRemoved      = errors.New("the instance was removed")
	ErrTooManyMembers     = errors.New("too many members")
	ErrNotLearner         = errors.New("no learner")
	ErrNotMember          = errors.New("no member")
	ErrOnlyVoter          = errors.New("the only voter")
	ErrNotVoterAndLearner = errors.New("not a voter and a learner")
	ErrUnknownChange      = errors.New("unknown change of members")
)

// ChangeError says why a change of members can't be made, with what was found and expected.
type ChangeError struct {
	Reason error // one of the errors above
	Text   string
}

// Error returns the text that operators are shown.
func (e *ChangeError) Error() string { return e.Text }

// Unwrap returns the reason.
func (e *ChangeError) Unwrap() error { return e.Reason }

func invalidChange(reason error, format string, args ...any) error {
	return &ChangeError{Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// BodyError is for a request's body that can't be read. The client has to mend it.
type BodyError struct {
	Err      error
	Expected string // may be empty
}

// Error says what is wrong with the body, and what was expected.
func (e *BodyError) Error() string {
	if e.Expected == "" {
		return fmt.Sprintf("body: %v", e.Err)
	}
	return fmt.Sprintf("body: %v, expected %s", e.Err, e.Expected)
}

// Unwrap gives the error of reading it.
func (e *BodyError) Unwrap() error { return e.Err }

// LeaderUnreachableError is for a request that could not be forwarded to the leader. The client may ask again.
type LeaderUnreachableError struct {
	Leader string // where it listens
	Err    error
}

// Error names the leader's address.
func (e *LeaderUnreachableError) Error() string {
	return fmt.Sprintf("the leader at %s: %v", e.Leader, e.Err)
}

// Unwrap gives the error of the forwarding.
func (e *LeaderUnreachableError) Unwrap() error { return e.Err }

// VersionNotFoundError is for a version of the document that the instance does not hold.
type VersionNotFoundError struct{ Version, First, Last uint64 }

// Error says which versions are held.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d, expected one from %d to %d", e.Version, e.First, e.Last)
}

// VersionDroppedError is for a watch that would miss versions, as they are held no more.
type VersionDroppedError struct{ From, First uint64 }

// Error says from where on a watch can begin.
func (e *VersionDroppedError) Error() string {
	return fmt.Sprintf("from version %d, expected %d or later: older ones are not kept", e.From, e.First)
}

// UnknownNodeError is for an operation on a node that the fleet's table does not have.
type UnknownNodeError struct{ Name string }

// Error names the node, as far as a name may be long.
func (e *UnknownNodeError) Error() string { return fmt.Sprintf("found no node %.50q", e.Name) }

// UnknownGuardError is for a guard's name that there is not.
type UnknownGuardError struct{ Name string }

// Error lists the names that there are.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("guard %q, expected one of %v", e.Name, guardNames)
}

// Errors about folders and snapshots.
var (
	// ErrEmptyFolder is for a folder that belongs to no instance.
	ErrEmptyFolder = errors.New("the folder is empty")
	// ErrFolderInUse is for a folder that belongs to an instance where an empty one is needed.
	ErrFolderInUse = errors.New("the folder belongs to an instance already, expected an empty one")

	errNoSnapshotHeader        = errors.New("a snapshot without a head")
	errSnapshotNotAcknowledged = errors.New("it was not taken")
)

// errNoCertificate is for an authority's file that has none.
var errNoCertificate = errors.New("found no certificate, expected PEM")

// CertificateExpiredError is for a certificate that no other instance would accept any more.
type CertificateExpiredError struct {
	File  string
	EndAt time.Time
}

// Error names the file and when the certificate ended.
func (e *CertificateExpiredError) Error() string {
	return fmt.Sprintf("certificate %s: ended on %s", e.File, e.EndAt.Format(time.DateTime))
}

// FrameError is for a frame of a connection between instances that can't be what is sent there. The connection ends.
type FrameError struct{ Found, Expected string }

// Error says what was found and expected.
func (e *FrameError) Error() string {
	return fmt.Sprintf("a frame %s, expected %s", e.Found, e.Expected)
}

// EntryTypeError is for an entry of the log of a type that this program never proposes. The instance can't go on.
type EntryTypeError struct{ Type pb.EntryType }

// Error names the type.
func (e *EntryTypeError) Error() string {
	return fmt.Sprintf("of kind %v, expected a put or a change of members", e.Type)
}

// LogEntryError is for an entry of the log that is sound and not raft's, or not the one that belongs there. The folder
// can't be used.
type LogEntryError struct {
	Index, Found uint64 // Found counts only where Err is nil
	Err          error  // of its decoding; nil: the index is wrong
}

// Error says which entry it is and what was found there.
func (e *LogEntryError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("entry %d of the log: found index %d there", e.Index, e.Found)
	}
	return fmt.Sprintf("entry %d of the log can't be decoded: %v", e.Index, e.Err)
}

// Unwrap gives the error of its decoding.
func (e *LogEntryError) Unwrap() error { return e.Err }

// CompactedEntryError is for an entry to be stored that a snapshot stands for already. The instance can't go on.
type CompactedEntryError struct{ Index, Compacted uint64 }

// Error names the entry, and the last one that the snapshot stands for.
func (e *CompactedEntryError) Error() string {
	return fmt.Sprintf("entry %d, expected one after %d", e.Index, e.Compacted)
}

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

// PeerRefusedError is for a connection that this instance, or the other one, does not go on with.
type PeerRefusedError struct {
	ByPeer bool
	Reason string
}

// Error says who refused and why.
func (e *PeerRefusedError) Error() string {
	if e.ByPeer {
		return "refused: " + e.Reason
	}
	return "it was refused: " + e.Reason
}

// UnexpectedPeerError is for an address at which another instance answers than the one that is meant.
type UnexpectedPeerError struct{ Found, Expected uint64 }

// Error names both instances.
func (e *UnexpectedPeerError) Error() string {
	return fmt.Sprintf("instance %x answers, expected %x", e.Found, e.Expected)
}

// SnapshotError is for a saved state that can't be read: torn, spoilt, or not of a group. Nothing of it is used.
type SnapshotError struct{ Err error }

// Error says what is wrong with the saved state.
func (e *SnapshotError) Error() string { return e.Err.Error() }

// Unwrap gives what is wrong with it.
func (e *SnapshotError) Unwrap() error { return e.Err }

// RejectedError is an operation that the state machine did not carry out, with its reason.
type RejectedError struct{ Reason string }

// Error gives the reason.
func (e *RejectedError) Error() string { return e.Reason }
