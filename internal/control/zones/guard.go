package zones

import (
	"fmt"
	"strings"
)

// Guard is a set of guards that are taken out, for the laboratory alone: with one out a promise has to break.
type Guard uint

// The guards.
const (
	CommonCause      Guard = 1 << iota // nobody leaves for what ails all
	SpareCapacity                      // no more is left than the others can take
	OneEpoch                           // time only for who promised the newest epoch, and the next step only once all have
	PacedRamp                          // a return is in steps
	StepBack                           // and goes back at harm
	RetryBudget                        // tries from elsewhere have a bound while a zone is left
	LeaseQuotas                        // what a lease had of a ceiling is spent until the lease has run out
	ColdStart                          // a fleet that restarts at once begins with a share
	RetryAfterSpread                   // who is turned away is told another time than the others
)

var guardNames = []string{"common-cause", "room", "one-epoch", "paced", "step-back", "retry-budget", "lease-tokens",
	"small-start", "spread"}

// Has tells whether a guard is out.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

// GuardNamed gives a guard by its name.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, fmt.Errorf("guard %q, expected one of %s", name, strings.Join(guardNames, ", "))
}

// GuardNames lists those of leaving and returning; the others are those of coming back.
func GuardNames() []string { return guardNames[:7] }
