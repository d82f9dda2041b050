package membership

import "errors"

// ErrSnapshot is what all errors of Restore wrap: the snapshot is torn, spoilt or not of a fleet. Nothing of it is
// used.
var ErrSnapshot = errors.New("a saved fleet")
