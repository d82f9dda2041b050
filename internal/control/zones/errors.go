package zones

import (
	"errors"
	"fmt"
	"strings"
)

// Reasons for rejecting an operation. A rejected operation changes no zone; Result.Err has its text.
var (
	ErrUnknownZone = errors.New("unknown zone")
	ErrUnknownOp   = errors.New("unknown operation")
	ErrStaleEpoch  = errors.New("operation is of another epoch")
	ErrUnsettled   = errors.New("epoch is not settled")
	ErrWrongPhase  = errors.New("not allowed in the zone's phase")
	ErrLastZone    = errors.New("no other zone is in service")
)

// RejectedError is a rejected operation's reason and its text for operators, with what was found and expected.
type RejectedError struct {
	Reason error // one of the errors above
	Text   string
}

// Error returns the text shown to operators.
func (e *RejectedError) Error() string { return e.Text }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }

func rejectf(reason error, format string, args ...any) error {
	return &RejectedError{Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// ErrSnapshot is wrapped by all errors of Restore: the zones' part of a snapshot is malformed or too large, and none
// of it is used.
var ErrSnapshot = errors.New("saved zones")

// UnknownGuardError is returned for a name that is not a guard's.
type UnknownGuardError struct{ Name string }

// Error lists the valid names.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("unknown guard %q, expected one of %s", e.Name, strings.Join(guardNames, ", "))
}
