package resultstore

import "errors"

// Errors of this package wrap one of these and give the found and expected values. Errors of the log itself are those
// of internal/wal.
var (
	// ErrInvalidLimits is returned for limits that are out of range.
	ErrInvalidLimits = errors.New("invalid limits")
	// ErrMalformedRecord is returned for bytes that are not a valid record.
	ErrMalformedRecord = errors.New("malformed record")
	// ErrBodyMismatch is returned for a record whose body digest differs from that of its key's intent.
	ErrBodyMismatch = errors.New("body mismatch")
	// ErrNotResult is returned for a log position without a result record.
	ErrNotResult = errors.New("not a result")
	// ErrSalvageUnfinished is returned by Inspect and Compact if the salvage of a damaged log was interrupted.
	ErrSalvageUnfinished = errors.New("the salvage of a damaged log is unfinished: start the node to complete it")
)
