package policy

// Guard is one guard or a set of disabled guards. Only fault tests disable a guard, to check that they detect the
// violation.
type Guard uint

// Each guard is described by its rule and by the failure without it.
const (
	// AwaitLeases: commit and settle wait for the leases of older versions. Without it, a change is reported as settled
	// while an unreachable node still serves under the previous version.
	AwaitLeases Guard = 1 << iota
	// FenceOnExpiry: a node stops serving when its lease expires. Without it, the node serves under an outdated
	// version.
	FenceOnExpiry
	// PrepareAll: all nodes that may serve must prepare, not just a majority. Without it, a version is decided under
	// which some node can't serve.
	PrepareAll
	// DecideOnce: a decided change is never aborted. Without it, only the nodes that received the decision activate it.
	DecideOnce
	// CurrentIncarnation: a replaced incarnation's lease is not extended and its report is ignored. Without it, a
	// change is decided by the report of a process that has ended.
	CurrentIncarnation
	// NoDowngrade: a node never activates an older version. Without it, a response of a stale instance downgrades it.
	NoDowngrade
	// ShadowEvaluation: a node evaluates a version before it reports it prepared. Without it, a version that sheds
	// everything is decided.
	ShadowEvaluation
	// NewestGeneration: a restored group is a new generation, and nodes follow the newest that they know. Without it,
	// paused instances of the old group regain nodes, and two groups decide.
	NewestGeneration
	// LossProof: a group that lacks state known to its nodes grants nothing. Without it, a group that was reset to an
	// older state decides the same change twice.
	LossProof
	// ListenFirst: a new leader waits for heartbeats before it grants. Without it, it grants before a node can prove
	// that the group has lost state.
	ListenFirst
	// ArrivalOrder: joins are processed in order of arrival. Without it, nodes starve when the whole fleet restarts.
	ArrivalOrder
)

// guardNames are the guards' names for operators and tests. The name at index i is of the guard 1<<i; TestGuardNames
// compares the two lists.
var guardNames = []string{"lease", "fence", "prepare-all", "decide-once", "incarnation", "no-way-back", "shadow",
	"generation", "proof", "listen-first", "arrival-order"}

// changeGuardCount is the number of leading guardNames that concern policy changes. The others concern restoration and
// cold starts.
const changeGuardCount = 7

// Has reports whether a guard is in the set of disabled guards.
func (g Guard) Has(guard Guard) bool { return g&guard != 0 }

// GuardNamed returns the guard of a name, or an *UnknownGuardError.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, &UnknownGuardError{name}
}

// GuardNames returns the names of the guards of policy changes.
func GuardNames() []string { return guardNames[:changeGuardCount] }
