package zones

// Guard is one guard or a set of disabled guards. Only fault tests disable a guard: such a test must fail, which shows
// that it detects the failure.
type Guard uint

// The guards, and the failure that each prevents.
const (
	// CommonCause: a zone is evacuated for a failure common to all zones, and its load overloads the others.
	CommonCause Guard = 1 << iota
	// SpareCapacity: more load is moved than the other zones have capacity for.
	SpareCapacity
	// OneEpoch: nodes act on different epochs at the same time and exceed a zone's rate limit.
	OneEpoch
	// PacedRamp: a zone gets its full load at once, and its cold services fail again.
	PacedRamp
	// StepBack: a ramp that overloads the zone continues.
	StepBack
	// RetryBudget: retries of an evacuated zone's callers overload the zones in service.
	RetryBudget
	// LeaseQuotas: the quota of an earlier lease is assigned again while that lease may still use it.
	LeaseQuotas
	// ColdStart: a restarted fleet takes its full load at once.
	ColdStart
	// RetryAfterSpread: callers that were rejected together retry together.
	RetryAfterSpread
)

// guardNames are the names in commands and scripts. The name at index i is that of the guard 1<<i, so a new guard is
// added to both lists at the same position; TestGuardNames compares them.
var guardNames = []string{"common-cause", "room", "one-epoch", "paced", "step-back", "retry-budget", "lease-tokens",
	"small-start", "spread"}

// zoneGuards is the number of leading guardNames that concern zones; the others concern a cold start of the fleet.
const zoneGuards = 7

// Has reports whether a guard is disabled.
func (g Guard) Has(guard Guard) bool { return g&guard != 0 }

// GuardNamed returns a guard by its name. Its error is an *UnknownGuardError.
func GuardNamed(name string) (Guard, error) {
	for i, known := range guardNames {
		if known == name {
			return 1 << i, nil
		}
	}
	return 0, &UnknownGuardError{name}
}

// GuardNames returns the names of the guards of evacuations and ramps.
func GuardNames() []string { return guardNames[:zoneGuards] }
