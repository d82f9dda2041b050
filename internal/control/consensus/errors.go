package consensus

import (
	"errors"
)

// Errors that clients see.
var (
	ErrBusy    = errors.New("too much waits already; come again")
	ErrTimeout = errors.New("no answer in time; ask again under the same number")
	ErrStopped = errors.New("this instance is ending")
)

// ErrLogNearLimit says that the log is too near its bound to take changes.
var ErrLogNearLimit = errors.New("the log is near its bound; raise disk.limit_mb")

// ErrBarred says that the instance takes no part any more.
var ErrBarred = errors.New("this instance takes no part in the group any more")

// ErrEmptyFolder says that a folder is nobody's.
var ErrEmptyFolder = errors.New("the folder is empty")

// ErrNoLeader says that nobody leads as far as this instance knows.
var ErrNoLeader = errors.New("no leader is known")

// ErrFeatureLevel says that the group does not yet do what was asked.
var ErrFeatureLevel = errors.New("not all instances of the group know fleets yet; see control status for who is on an older build")
