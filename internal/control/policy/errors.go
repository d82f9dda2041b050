package policy

import (
	"errors"
	"fmt"
	"strings"
)

// ErrSnapshot is wrapped by all errors of Restore: the policy part of a snapshot is truncated, corrupt or of another
// format. None of it is used.
var ErrSnapshot = errors.New("a saved policy")

// ErrEmptyProposal is returned for a propose operation without a proposal.
var ErrEmptyProposal = errors.New("a proposal of nothing")

// UnknownGuardError is returned for a name that is not of a guard.
type UnknownGuardError struct{ Name string }

// Error lists the valid names.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("guard %q, expected one of %s", e.Name, strings.Join(GuardNames(), ", "))
}
