package consensus

import (
	"errors"
	"fmt"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"umberwinch/internal/control/recovery"
)

// Errors that clients see. Those of the first group end with a change outside the request: the client may retry, at
// this instance or another one. ErrBarred lasts at this instance, ErrLogNearLimit until an operator acts.
var (
	// ErrBusy reports a full queue of the instance.
	ErrBusy = errors.New("too much waits already; come again")
	// ErrTimeout reports a request without a result in time. It may still take effect; a put must be repeated under its
	// number.
	ErrTimeout = errors.New("no answer in time; ask again under the same number")
	// ErrStopped reports that the instance is stopping.
	ErrStopped = errors.New("this instance is ending")
	// ErrNoLeader reports a request that only a leader can serve while no leader is known.
	ErrNoLeader = errors.New("no leader is known")
	// ErrFeatureLevel reports a request that the group's feature level does not support yet.
	ErrFeatureLevel = errors.New("not all instances of the group know fleets yet; " +
		"see control status for who is on an older build")
	// ErrLogNearLimit rejects a proposal while the log is too close to its size limit.
	ErrLogNearLimit = errors.New("the log is near its bound; raise disk.limit_mb")
	// ErrBarred rejects a proposal at an instance that is barred from the group.
	ErrBarred = errors.New("this instance takes no part in the group any more")

	errUnauthorized      = errors.New("no token, or another one, expected the one of [clients]")
	errNoVersion         = errors.New("there is no version yet")
	errNoTransfer        = errors.New("no voter to hand the lead to")
	errRestoreInProgress = errors.New("the group is being restored")
	errTooManyWatchers   = fmt.Errorf("%d watchers, expected at most %d", maxWatchers+1, maxWatchers)
	errTooManyRecords    = fmt.Errorf("%d nodes, expected at most %d", recovery.MaxRecords+1, recovery.MaxRecords)
	errBodyTooLarge      = fmt.Errorf("more than %d bytes", maxBodyBytes)
)

// Reasons why a change of members is not allowed; a MemberChangeError wraps one of them.
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

// MemberChangeError reports that a change of members is not allowed.
type MemberChangeError struct {
	Reason error // one of the errors above
	Text   string
}

// Error returns the text for operators.
func (e *MemberChangeError) Error() string { return e.Text }

// Unwrap returns the reason.
func (e *MemberChangeError) Unwrap() error { return e.Reason }

func newMemberChangeError(reason error, format string, args ...any) error {
	return &MemberChangeError{Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// BodyError reports a request body that can not be read. The client must correct it.
type BodyError struct {
	Err      error
	Expected string // may be empty
}

// Error names the fault and what was expected.
func (e *BodyError) Error() string {
	if e.Expected == "" {
		return fmt.Sprintf("body: %v", e.Err)
	}
	return fmt.Sprintf("body: %v, expected %s", e.Err, e.Expected)
}

// Unwrap returns the error of reading the body.
func (e *BodyError) Unwrap() error { return e.Err }

// LeaderUnreachableError reports a request that could not be forwarded to the leader. The client may retry.
type LeaderUnreachableError struct {
	Leader string // address for clients
	Err    error
}

// Error names the leader's address.
func (e *LeaderUnreachableError) Error() string {
	return fmt.Sprintf("the leader at %s: %v", e.Leader, e.Err)
}

// Unwrap returns the error of the forwarding.
func (e *LeaderUnreachableError) Unwrap() error { return e.Err }

// VersionNotFoundError reports a version of the document that the instance does not hold.
type VersionNotFoundError struct{ Version, First, Last uint64 }

// Error names the versions held.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d, expected one from %d to %d", e.Version, e.First, e.Last)
}

// VersionDroppedError rejects a watch that would miss versions, as they are no longer held.
type VersionDroppedError struct{ From, First uint64 }

// Error names the first version that a watch can start from.
func (e *VersionDroppedError) Error() string {
	return fmt.Sprintf("from version %d, expected %d or later: older ones are not kept", e.From, e.First)
}

// UnknownNodeError reports an operation on a node that is not in the fleet's state.
type UnknownNodeError struct{ Name string }

// Error names the node, truncated to 50 characters.
func (e *UnknownNodeError) Error() string { return fmt.Sprintf("found no node %.50q", e.Name) }

// UnknownGuardError reports an unknown guard name.
type UnknownGuardError struct{ Name string }

// Error lists the known names.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("guard %q, expected one of %v", e.Name, guardNames)
}

// Errors about folders and snapshots.
var (
	// ErrEmptyFolder reports a folder that belongs to no instance.
	ErrEmptyFolder = errors.New("the folder is empty")
	// ErrFolderInUse reports a folder that belongs to an instance where an empty one is required.
	ErrFolderInUse = errors.New("the folder belongs to an instance already, expected an empty one")

	errNoSnapshotHeader        = errors.New("a snapshot without a head")
	errSnapshotNotAcknowledged = errors.New("the peer did not acknowledge the snapshot")
)

// errNoCertificate reports an authority file without a certificate.
var errNoCertificate = errors.New("found no certificate, expected PEM")

// CertificateExpiredError reports a certificate that other instances would reject as expired.
type CertificateExpiredError struct {
	File  string
	EndAt time.Time
}

// Error names the file and the certificate's end.
func (e *CertificateExpiredError) Error() string {
	return fmt.Sprintf("certificate %s: ended on %s", e.File, e.EndAt.Format(time.DateTime))
}

// FrameError reports an invalid frame on a connection between instances. The connection is closed.
type FrameError struct{ Found, Expected string }

// Error names what was found and expected.
func (e *FrameError) Error() string {
	return fmt.Sprintf("a frame %s, expected %s", e.Found, e.Expected)
}

// EntryTypeError reports a log entry of a type that this program never proposes. The instance must stop.
type EntryTypeError struct{ Type pb.EntryType }

// Error names the type.
func (e *EntryTypeError) Error() string {
	return fmt.Sprintf("of kind %v, expected a put or a change of members", e.Type)
}

// LogEntryError reports an intact log record that is not a raft entry, or has the wrong index. The folder can not be
// used.
type LogEntryError struct {
	Index, Found uint64 // Found is only set if Err is nil
	Err          error  // of decoding; nil: the index is wrong
}

// Error names the entry and what was found.
func (e *LogEntryError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("entry %d of the log: found index %d there", e.Index, e.Found)
	}
	return fmt.Sprintf("entry %d of the log can't be decoded: %v", e.Index, e.Err)
}

// Unwrap returns the error of decoding.
func (e *LogEntryError) Unwrap() error { return e.Err }

// CompactedEntryError reports an entry to be stored whose index is already compacted into a snapshot. The instance must
// stop.
type CompactedEntryError struct{ Index, Compacted uint64 }

// Error names the entry and the last compacted index.
func (e *CompactedEntryError) Error() string {
	return fmt.Sprintf("entry %d, expected one after %d", e.Index, e.Compacted)
}

// NewerProgramError reports an entry that this program is too old to apply. The instance must stop: its state would
// diverge from that of newer instances.
type NewerProgramError struct {
	Found    string
	Expected string
}

// Error names what was found and expected.
func (e *NewerProgramError) Error() string {
	return fmt.Sprintf("%s, expected %s: this instance needs the program that made it", e.Found, e.Expected)
}

// PeerRefusedError reports a handshake that this instance or the peer refused.
type PeerRefusedError struct {
	ByPeer bool
	Reason string
}

// Error names the refusing side and the reason.
func (e *PeerRefusedError) Error() string {
	if e.ByPeer {
		return "refused: " + e.Reason
	}
	return "it was refused: " + e.Reason
}

// UnexpectedPeerError reports that another instance than the intended one listens at a peer's address.
type UnexpectedPeerError struct{ Found, Expected uint64 }

// Error names both instances.
func (e *UnexpectedPeerError) Error() string {
	return fmt.Sprintf("instance %x answers, expected %x", e.Found, e.Expected)
}

// SnapshotError reports a saved state that is truncated, damaged, or not of a group. Nothing of it is used.
type SnapshotError struct{ Err error }

// Error describes the fault.
func (e *SnapshotError) Error() string { return e.Err.Error() }

// Unwrap returns the fault.
func (e *SnapshotError) Unwrap() error { return e.Err }

// RejectedError reports an operation that the state machine rejected, with its reason.
type RejectedError struct{ Reason string }

// Error returns the reason.
func (e *RejectedError) Error() string { return e.Reason }
