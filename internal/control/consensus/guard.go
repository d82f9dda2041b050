package consensus

// Guard is a set of disabled guards, for fault tests only: with one disabled, a guarantee must break, or the tests
// don't check it. Production disables none.
type Guard uint

// The guards that can be disabled: what each ensures, and the failure without it.
const (
	// PersistBeforeSend: votes and acknowledgements are durable before they are sent. Otherwise an instance that loses
	// power may vote twice in a term or lack entries that it acknowledged, and a committed version is lost.
	PersistBeforeSend Guard = 1 << iota
	// CompareAndSet: a put is committed only directly after its base version. Otherwise one of two concurrent changes
	// is lost.
	CompareAndSet
	// SessionTable: a repeated put gets the first one's result. Otherwise it creates a second version or gets a
	// conflict.
	SessionTable
	// ReadIndex: a read completes once a majority has confirmed the leader. Otherwise a partitioned leader returns
	// stale state.
	ReadIndex
	// PreVote: a candidate asks whether it could win before it raises the term. Otherwise an instance that was
	// partitioned deposes a leader that all others follow.
	PreVote
	// MemberIdentity: an instance on an old copy of its folder is barred. Otherwise it may vote twice in a term or lack
	// entries that it acknowledged.
	MemberIdentity
	// PersistMembership: a committed change of members is durable before it takes effect. Otherwise an instance may
	// restart with the previous members, and two leaders are elected in one term.
	PersistMembership
)

var guardNames = []string{"persist-before-send", "compare-and-set", "session-table", "read-index", "pre-vote",
	"member-identity", "members-kept"}

// Has reports whether a guard is disabled.
func (g Guard) Has(guard Guard) bool { return g&guard != 0 }

// GuardNamed returns the guard of that name, or an *UnknownGuardError.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, &UnknownGuardError{name}
}

// GuardNames lists the names of all guards.
func GuardNames() []string { return guardNames }
