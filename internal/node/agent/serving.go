package agent

import (
	"fmt"

	"umberwinch/internal/control/policy"
)

// autonomousStartDelay is the time for which a starting node tries to reach the group before it activates its stored
// version: every instance has been tried more than once by then.
const autonomousStartDelay Milliseconds = 3000

// Reasons why a node is fenced. They appear in heartbeats (`fenced`), logs and `umberctl nodes show`.
const (
	fencedBehind       = "version %d is decided and not taken over yet"
	fencedNotContacted = "the group was not heard yet"
	fencedNoLease      = "it has no lease"
	fencedExpired      = "its lease has run out"
)

// MayServe decides whether the node may serve at now, and if not, why it is fenced. It may while its lease runs and no
// version newer than the active one is decided, and without a lease only if its active or its stored version allows
// autonomous serving. After a change of generation it may also serve for the rest of the previous lease.
// Guards against a node that serves under a replaced version, or in an evacuated zone, after the group has taken its
// lease for expired. The driver calls it before each round; a fenced node rejects all requests with 503.
func (a *Agent) MayServe(now Milliseconds) (ok bool, reason string) {
	disabled := a.config.DisabledGuards
	switch {
	case disabled.Has(policy.FenceOnExpiry) && a.group.contacted:
		return true, ""
	case a.versions.active.Version < a.versions.min && !disabled.Has(policy.NoDowngrade):
		return false, fmt.Sprintf(fencedBehind, a.versions.min)
	case a.lease.holds(now), a.servesBetweenGenerations(now):
		return true, ""
	case a.versions.activeAutonomous && a.group.contacted:
		return true, ""
	case a.versions.startAutonomous && !a.group.contacted && a.versions.active.Version > 0:
		return true, ""
	case a.lease.id == 0 && !a.group.contacted:
		return false, fencedNotContacted
	case a.lease.id == 0:
		return false, fencedNoLease
	}
	return false, fencedExpired
}

// Autonomous reports whether the node serves without a lease, as its version allows.
func (a *Agent) Autonomous(now Milliseconds) bool {
	ok, _ := a.MayServe(now)
	return ok && !a.lease.holds(now) && !a.servesBetweenGenerations(now)
}

// servesBetweenGenerations decides whether the node serves under the rest of its lease from the previous generation of
// the group until it has joined the restored one. Otherwise each restoration would fence the whole fleet. It is safe as
// a restored group first waits for the longest lease of the previous generation.
func (a *Agent) servesBetweenGenerations(now Milliseconds) bool {
	return a.lease.id == 0 && a.group.generation > firstGeneration && a.group.contacted && now < a.lease.expiry &&
		!a.left
}

// startsAutonomously decides whether a starting node that has reached no instance for autonomousStartDelay activates
// its stored version. That version must allow autonomous serving (`when_alone = go-on`), and no newer one may be
// decided. Guards against a fleet that stays fenced after a power failure because the control service is down too.
func (a *Agent) startsAutonomously(now Milliseconds) bool {
	v := &a.versions
	return v.startAutonomous && !a.group.contacted && v.active.Version == 0 &&
		now >= a.startedAt+autonomousStartDelay && v.stored.Version >= v.min
}
