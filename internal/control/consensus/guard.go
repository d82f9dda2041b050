package consensus

// Guard is a set of guards that are disabled, for fault tests alone: with one disabled a promise of the design must
// break, or the tests don't check it. Every program that serves runs with none disabled.
type Guard uint

// The guards that can be disabled: what each holds to, and what goes wrong without it.
const (
	// PersistBeforeSend: votes and acknowledgements are durable before they are sent. An instance that loses power
	// votes twice in a term or lacks what it acknowledged, and a committed version is gone.
	PersistBeforeSend Guard = 1 << iota
	// CompareAndSet: a put is committed only after the version it was made from. Of two operators' changes one is lost.
	CompareAndSet
	// SessionTable: a repeated put gets the first one's result. It makes a second version, or is told of a conflict.
	SessionTable
	// ReadIndex: a read is answered once a majority has confirmed the leader. A cut-off leader answers with an old
	// state.
	ReadIndex
	// PreVote: an instance asks whether it could win before it raises the term. One that was cut off ends the term of a
	// leader that all others hear.
	PreVote
	// MemberIdentity: an instance on an old copy of its folder takes no part. It votes or acknowledges a second time.
	MemberIdentity
	// PersistMembership: that a change of members is committed is durable before it counts. An instance starts with the
	// members before it, and two leaders are elected in one term.
	PersistMembership
)

var guardNames = []string{"persist-before-send", "compare-and-set", "session-table", "read-index", "pre-vote",
	"member-identity", "members-kept"}

// Has tells whether a guard is disabled.
func (g Guard) Has(guard Guard) bool { return g&guard != 0 }

// GuardNamed returns a guard by its name, or an *UnknownGuardError.
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
