package policy

import (
	"errors"
	"fmt"
	"strings"
)

// ErrSnapshot is what all errors of Restore wrap: the policy's part of a snapshot can't be read, as it is torn, spoilt
// or of something else. Nothing of it is used.
var ErrSnapshot = errors.New("a saved policy")

// ErrEmptyProposal is for an operation that proposes a change without saying which.
var ErrEmptyProposal = errors.New("a proposal of nothing")

// UnknownGuardError is given for a guard's name that there is not.
type UnknownGuardError struct{ Name string }

// Error names the guards that there are.
func (e *UnknownGuardError) Error() string {
	return fmt.Sprintf("guard %q, expected one of %s", e.Name, strings.Join(GuardNames(), ", "))
}
