package membership

import "errors"

// ErrSnapshot is wrapped by all errors of Restore: the node table of a snapshot is truncated, corrupt or of another
// format. None of it is used.
var ErrSnapshot = errors.New("a saved fleet")
