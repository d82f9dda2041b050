package agent

import (
	"fmt"

	"umberwinch/internal/control/policy"
)

// autonomousStartDelay is for how long a starting node tries to reach the group before it serves by its record. Every
// instance has been tried more than once by then; shorter would let a node serve a version that the group has replaced,
// longer would keep a node out of service while the whole control service is down.
const autonomousStartDelay Milliseconds = 3000

// Reasons why a node is fenced. They stand in heartbeats (`fenced`), logs and `umberctl nodes show`.
const (
	fencedBehind       = "version %d is decided and not taken over yet"
	fencedNotContacted = "the group was not heard yet"
	fencedNoLease      = "it has no lease"
	fencedExpired      = "its lease has run out"
)

// MayServe decides whether the node may serve at now, and why not.
//
// It may while its lease runs and no version newer than the active one is decided. Without a lease it may only where
// the version that it serves under lets nodes go on autonomously. Reason: the group counts a node out once its lease
// must have expired, and goes on with a change of policy or an evacuation; a node that served on would serve under a
// version, or take traffic of a zone, that the fleet has left. It is asked before each round of decisions; a node
// that is fenced by it rejects all requests with 503 until MayServe allows it to serve again: by a lease or without the
// group as above, and under no version older than the decided one.
func (a *Agent) MayServe(now Milliseconds) (ok bool, reason string) {
	disabled := a.config.DisabledGuards
	switch {
	case disabled.Has(policy.Fence) && a.group.contacted:
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

// Autonomous tells whether the node serves without a lease, by the rule of its version.
func (a *Agent) Autonomous(now Milliseconds) bool {
	ok, _ := a.MayServe(now)
	return ok && !a.lease.holds(now) && !a.servesBetweenGenerations(now)
}

// servesBetweenGenerations decides whether the node serves under what is left of the lease that the previous
// generation of the group granted, until the restored group takes it in. That is safe as a restored group waits for
// the longest lease of the generation before it counts on anything; without it each restore would take the whole
// fleet out of service.
func (a *Agent) servesBetweenGenerations(now Milliseconds) bool {
	return a.lease.id == 0 && a.group.generation > firstGeneration && a.group.contacted && now < a.lease.expiry &&
		!a.left
}

// startsAutonomously decides whether a node that reached no instance since its start activates the version of its
// record: it waited autonomousStartDelay, that version lets nodes serve autonomously, and the record knows of no
// newer decision. Guards against a fleet that stays down after a power cut because the control service is down too;
// it may serve a version that the group has replaced meanwhile, which the version's own rule (`when_alone = go-on`)
// accepts.
func (a *Agent) startsAutonomously(now Milliseconds) bool {
	v := &a.versions
	return v.startAutonomous && !a.group.contacted && v.active.Version == 0 &&
		now >= a.startedAt+autonomousStartDelay && v.stored.Version >= v.min
}
