package resultstore

import "errors"

// What is wrong with limits, a record or a log. Errors wrap one of them and say what was found and expected; those of
// the log itself are internal/wal's.
var (
	// ErrInvalidLimits is limits that no index can keep to.
	ErrInvalidLimits = errors.New("invalid limits")
	// ErrMalformedRecord is bytes that are no record.
	ErrMalformedRecord = errors.New("malformed record")
	// ErrBodyMismatch is a record of a key with another body digest than its intent's.
	ErrBodyMismatch = errors.New("body mismatch")
	// ErrNotResult is a log position that has no result record.
	ErrNotResult = errors.New("not a result")
	// ErrSalvageUnfinished is a damaged log that a start was rewriting when it was interrupted.
	ErrSalvageUnfinished = errors.New("a damaged log is being written anew: a node's start ends that")
)
