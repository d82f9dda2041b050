package zones

// Guard is a set of guards that are taken out, for fault tests alone: without one of them a promise has to break,
// which shows that the test finds what the guard is for.
type Guard uint

// The guards, and what goes wrong without each.
const (
	// CommonCause: a zone is evacuated for what ails all zones, and the others get its load on top.
	CommonCause Guard = 1 << iota
	// SpareCapacity: more load is moved than the other zones can take.
	SpareCapacity
	// OneEpoch: nodes act on different epochs at the same time, so a zone's rate limit is exceeded.
	OneEpoch
	// PacedRamp: a zone gets all of its load at once, and its cold services fail again.
	PacedRamp
	// StepBack: a ramp that does harm goes on.
	StepBack
	// RetryBudget: retries of an evacuated zone's callers overload the zones in service.
	RetryBudget
	// LeaseQuotas: what an earlier lease may still spend of a rate limit is given out a second time.
	LeaseQuotas
	// ColdStart: a fleet that restarts as a whole takes all of its load at once.
	ColdStart
	// RetryAfterSpread: callers that were rejected together come back together.
	RetryAfterSpread
)

// guardNames are what commands take; scripts have these spellings. The name at position i is that of the guard 1<<i, so
// a new guard is added to both lists at the same place; TestGuardNames compares them.
var guardNames = []string{"common-cause", "room", "one-epoch", "paced", "step-back", "retry-budget", "lease-tokens",
	"small-start", "spread"}

// zoneGuards is how many of guardNames, the first ones, concern zones; the others concern the start of a fleet. A new
// guard of zones goes before those, and this number grows with it.
const zoneGuards = 7

// Has reports whether a guard is disabled: true means that a fault test took it out.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

// GuardNamed returns a guard by its name, or an *UnknownGuardError.
func GuardNamed(name string) (Guard, error) {
	for i, known := range guardNames {
		if known == name {
			return 1 << i, nil
		}
	}
	return 0, &UnknownGuardError{name}
}

// GuardNames lists the guards of evacuations and ramps.
func GuardNames() []string { return guardNames[:zoneGuards] }
