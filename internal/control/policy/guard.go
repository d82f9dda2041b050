package policy

// Guard is a set of guards that are disabled, by fault tests alone: with one of them out a promise has to break.
type Guard uint

// The guards.
const (
	LeaseGuard   Guard = 1 << iota // commit and settle wait for the leases of older versions
	Fence                          // a node whose lease ran out serves nothing
	PrepareAll                     // all who may serve have prepared, not a majority
	DecideOnce                     // what is decided is not taken back
	Incarnation                    // a replaced incarnation gets no longer lease
	NoDowngrade                    // a node never activates an older version
	Shadow                         // a version is tried before a node reports it prepared
	Generation                     // a restored group is a new generation, and nodes follow the newest that they know
	Proof                          // a group that lacks what its nodes know grants nothing
	ListenFirst                    // a new leader hears the nodes before it grants
	ArrivalOrder                   // joins are taken in the order in which they arrived
)

// guardNames are what operators and tests type, in the order of the guards.
var guardNames = []string{"lease", "fence", "prepare-all", "decide-once", "incarnation", "no-way-back", "shadow",
	"generation", "proof", "listen-first", "arrival-order"}

// changeGuards is how many of guardNames, the first ones, are about a change of policy. The others are about
// restoring a group and about a cold start.
const changeGuards = 7

// Has tells whether a guard is disabled.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

// GuardNamed gives a guard by its name, or an *UnknownGuardError.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, &UnknownGuardError{name}
}

// GuardNames lists the guards of a change of policy.
func GuardNames() []string { return guardNames[:changeGuards] }
