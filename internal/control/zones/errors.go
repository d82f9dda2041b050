package zones

import (
	"errors"
	"fmt"
	"strings"
)

// Why an operation is rejected. A rejected operation changes nothing; Result.Err has its text.
var (
	ErrUnknownZone = errors.New("no node is of the zone")
	ErrUnknownOp   = errors.New("unknown operation")
	ErrStaleEpoch  = errors.New("decided in another epoch")
	ErrUnsettled   = errors.New("some node may act on an older epoch")
	ErrWrongPhase  = errors.New("not possible in the zone's phase")
	ErrLastZone    = errors.New("no other zone is in service")
)

// RejectedError says why an operation was rejected, and what was found and expected.
type RejectedError struct {
	Reason error // one of the errors above
	Text   string
}

// Error returns the text that operators are shown.
func (e *RejectedError) Error() string { return e.Text }

// Unwrap returns the reason.
func (e *RejectedError) Unwrap() error { return e.Reason }

func rejectf(reason error, format string, args ...any) error {
	return &RejectedError{Reason: reason, Text: fmt.Sprintf(format, args...)}
}

// ErrSnapshot is what all errors of Restore wrap: the zones' part of a snapshot can't be read, as it is torn, spoilt or
// of something else. Nothing of it is used.
var ErrSnapshot = errors.New("saved zones")

// UnknownGuardError is given for a guard's name that there is not.
type UnknownGuardError struct{ Name string }

// Error names the guards that there are.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("guard %q, expected one of %s", e.Name, strings.Join(guardNames, ", "))
}
