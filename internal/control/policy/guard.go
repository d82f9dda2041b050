package policy

// Guard is a set of guards that are disabled, by fault tests alone: with one of them out a promise has to break.
type Guard uint

// The guards: what each holds to, and what goes wrong without it.
const (
	// LeaseGuard: commit and settle wait for the leases of older versions. A change is reported settled, and a node
	// that was cut off still serves under the version before.
	LeaseGuard Guard = 1 << iota
	// Fence: a node whose lease ran out serves nothing. It serves on under a version that the fleet has left.
	Fence
	// PrepareAll: all who may serve have prepared, not a majority. A version is decided that some node can't serve
	// under.
	PrepareAll
	// DecideOnce: what is decided is not taken back. Nodes that were told activate it, and the others never do.
	DecideOnce
	// Incarnation: a replaced incarnation gets no longer lease, and its report counts for nothing. A change goes by
	// what a process prepared that is gone.
	Incarnation
	// NoDowngrade: a node never activates an older version. It goes back as it hears an instance that is behind.
	NoDowngrade
	// Shadow: a version is tried before a node reports it prepared. One that sheds everything is decided.
	Shadow
	// Generation: a restored group is a new generation, and nodes follow the newest that they know. Paused instances of
	// the old group take nodes back, and two groups decide.
	Generation
	// Proof: a group that lacks what its nodes know grants nothing. One that was put back to an older state decides a
	// second time what was decided.
	Proof
	// ListenFirst: a new leader hears the nodes before it grants. It grants before a node that knows more is heard.
	ListenFirst
	// ArrivalOrder: joins are taken in the order in which they arrived. Some nodes of a fleet that restarts as a whole
	// wait without end.
	ArrivalOrder
)

// guardNames are what operators and tests type. The name at position i is that of the guard 1<<i, so a new guard is
// added to both lists at the same place; TestGuardNames compares them.
var guardNames = []string{"lease", "fence", "prepare-all", "decide-once", "incarnation", "no-way-back", "shadow",
	"generation", "proof", "listen-first", "arrival-order"}

// changeGuardCount is how many of guardNames, the first ones, are about a change of policy. The others are about
// restoring a group and about a cold start. A new guard of a change goes before those, and this number grows with it.
const changeGuardCount = 7

// Has tells whether a guard is disabled: true means that a fault test took it out.
func (g Guard) Has(guard Guard) bool { return g&guard != 0 }

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
func GuardNames() []string { return guardNames[:changeGuardCount] }
