package agent

import (
	"errors"
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// HandleResponse takes the response to the heartbeat with that number. A response to one that was given up is
// ignored: the time that it grants would run from the sending of another. An error wraps ErrUntrusted or ErrStale:
// the response changed nothing and the next heartbeat goes to another instance.
func (a *Agent) HandleResponse(now Milliseconds, sequence uint64, r api.HeartbeatResponse) error {
	if !a.heartbeat.answers(sequence) {
		return nil
	}
	a.heartbeat.inFlight = false
	// Before validate: a tool that restores a group has no generation or lease to show yet. All that it gets is the
	// node's record; the next heartbeat goes to another instance, and nothing else changes.
	if r.CollectRecord {
		a.recordRequested = true
		a.failOver(now, 0)
		return nil
	}
	if err := a.validate(&r); err != nil {
		a.failOver(now, backoffAfter(err))
		return err
	}
	newGeneration := a.group.isNewGeneration(&r)
	if newGeneration {
		a.followNewGeneration()
	}
	previousMin, previousEpoch := a.versions.min, a.zone.epoch()
	a.instances.resetBackoff()
	a.group.advance(&r)
	a.versions.update(&r, a.config.DisabledGuards)
	a.zone.update(&r)
	a.heartbeat.nextAt = now + max(minHeartbeatInterval, r.NextHeartbeatMS) +
		a.jitter.below(max(1, r.NextHeartbeatMS/jitterDivisor))
	a.updateLease(now, &r, newGeneration)
	promises := a.versions.min > previousMin || a.zone.epoch() > previousEpoch
	a.scheduleHeartbeat(now, r.LeaseMS > 0, promises)
	a.prune()
	return nil
}

// followNewGeneration forgets what the previous generation of the group had decided and not committed, and joins the
// new one. The expiry of the lease stays: see servesBetweenGenerations.
func (a *Agent) followNewGeneration() {
	a.lease.id = 0
	a.zone.fromEarlierGeneration = true
	a.versions.preparing, a.versions.committed = api.VersionHash{}, api.VersionHash{}
	a.versions.rejected = rejection{}
	a.incarnation++
}

// scheduleHeartbeat brings the next heartbeat forward where the group should not have to wait for it: for the end of
// the lease, its renewal, or a promise to serve under no older version or zone epoch.
func (a *Agent) scheduleHeartbeat(now Milliseconds, granted, promises bool) {
	h := &a.heartbeat
	if a.leaving {
		h.bringForward(now + minHeartbeatInterval)
	}
	if a.lease.id == 0 {
		return
	}
	if a.lease.renewAt > now {
		h.bringForward(a.lease.renewAt)
	}
	if h.renews && !granted {
		// The leader did not extend the lease, as the heartbeat promised an older version or zone epoch than is decided
		// now. This response brought the newer one, so the node asks again at once.
		a.lease.renewAt = now
	}
	if promises || a.lease.renewAt <= now {
		h.nextAt = now + minHeartbeatInterval
	}
}

// backoffAfter is how long an instance is left alone after a response that was rejected.
func backoffAfter(err error) Milliseconds {
	if errors.Is(err, ErrUntrusted) {
		return untrustedBackoff
	}
	return 0
}

// validate decides whether a response is accepted. Guards against an instance of another group, one that was restored
// from an old backup, and one that is partitioned from its leader: by any of them a node could go back to an older
// version, or serve under one that the group never committed. It would show as nodes that serve under different
// versions after a change was settled. The guard holds as positions and decided versions of one group only grow, and
// a restored group names those before it.
func (a *Agent) validate(r *api.HeartbeatResponse) error {
	switch {
	case r.Cluster == "":
		return fmt.Errorf("%w: found no group's name", ErrUntrusted)
	case r.CommittedVersion.Version > r.DecidedVersion:
		return fmt.Errorf("%w: found version %d committed and %d decided, expected no more than is decided",
			ErrUntrusted,
			r.CommittedVersion.Version, r.DecidedVersion)
	case a.group.isNewGeneration(r):
		return a.validateGeneration(r)
	}
	return a.validatePosition(r)
}

// validateGeneration accepts a group of another name only if it was restored from the one that is followed, and still
// has every version that this node was told is decided.
func (a *Agent) validateGeneration(r *api.HeartbeatResponse) error {
	disabled := a.config.DisabledGuards
	group := api.GroupIdentity{Group: r.Cluster, Generation: max(firstGeneration, r.Generation),
		Predecessors: r.Predecessors}
	if !group.Succeeds(a.group.cluster, a.group.generation) && !disabled.Has(policy.Generation) {
		return fmt.Errorf("%w: found group %.16s in generation %d, expected %.16s in %d", ErrUntrusted,
			r.Cluster, group.Generation, a.group.cluster, a.group.generation)
	}
	if r.DecidedVersion < a.versions.min && !disabled.Has(policy.NoDowngrade) {
		return fmt.Errorf("%w: generation %d of the group has version %d decided, expected %d at least: "+
			"it was restored without what this node was told", ErrStale, group.Generation, r.DecidedVersion,
			a.versions.min)
	}
	return nil
}

// validatePosition accepts no earlier position of the group's log, zone epoch or decided version than was seen.
func (a *Agent) validatePosition(r *api.HeartbeatResponse) error {
	downgradeAllowed := a.config.DisabledGuards.Has(policy.NoDowngrade)
	switch {
	case r.Term < a.group.term || r.Index < a.group.index && !downgradeAllowed:
		return fmt.Errorf("%w: found term %d and entry %d, expected %d and %d at least", ErrStale, r.Term, r.Index,
			a.group.term,
			a.group.index)
	case r.Zone != nil && r.Zone.Epoch < a.zone.epoch():
		return fmt.Errorf("%w: found epoch %d of the zones, expected %d at least", ErrStale, r.Zone.Epoch,
			a.zone.epoch())
	case r.DecidedVersion < a.versions.min && !downgradeAllowed:
		return fmt.Errorf("%w: found version %d decided, expected %d at least", ErrStale, r.DecidedVersion,
			a.versions.min)
	}
	return nil
}
