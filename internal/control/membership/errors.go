package membership

import "errors"

// ErrSnapshot is what all errors of Restore wrap: the part of a snapshot that has the table of nodes can't be read, as
// it is torn, spoilt or of something else. Nothing of it is used.
var ErrSnapshot = errors.New("a saved fleet")
