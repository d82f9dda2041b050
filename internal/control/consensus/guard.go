package consensus

// Guard is a set of guards that are disabled, for fault tests alone: with one disabled a promise of the design must
// break, or the tests don't check it. Every program that serves runs with none disabled.
type Guard uint

// The guards that can be disabled.
const (
	PersistBeforeSend Guard = 1 << iota // votes and acknowledgements are durable before they are sent
	CompareAndSet                       // a put is committed only after the version it was made from
	SessionTable                        // a repeated put gets the first one's result
	ReadIndex                           // a read is answered once a majority has confirmed the leader
	PreVote                             // an instance asks whether it could win before it raises the term
	MemberIdentity                      // an instance on an old copy of its folder takes no part
	PersistMembership                   // that a change of members is committed is durable before it counts
)

var guardNames = []string{"persist-before-send", "compare-and-set", "session-table", "read-index", "pre-vote",
	"member-identity", "members-kept"}

// Has tells whether a guard is disabled.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

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
