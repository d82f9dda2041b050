package agent

import (
	"errors"
	"fmt"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// HandleResponse applies the response to the heartbeat with this sequence number. A response to a heartbeat that has
// failed or timed out is ignored. If it returns an error, which wraps ErrUntrusted or ErrStale, the response changed
// nothing and the next heartbeat goes to another instance.
func (a *Agent) HandleResponse(now Milliseconds, sequence uint64, r api.HeartbeatResponse) error {
	if !a.heartbeat.isInFlight(sequence) {
		return nil
	}
	a.heartbeat.inFlight = false
	// Before validate: a tool that restores a group has no generation or lease yet. It only gets the node's record.
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
	hasPromise := a.versions.min > previousMin || a.zone.epoch() > previousEpoch
	a.scheduleHeartbeat(now, r.LeaseMS > 0, hasPromise)
	a.prune()
	return nil
}

// followNewGeneration drops the committed and proposed versions and the lease ID of the previous generation of the
// group. The decided version stays, and so does the expiry of the lease (see servesBetweenGenerations).
func (a *Agent) followNewGeneration() {
	a.lease.id = 0
	a.zone.fromEarlierGeneration = true
	a.versions.proposed, a.versions.committed = api.VersionHash{}, api.VersionHash{}
	a.versions.rejected = rejection{}
	a.incarnation++
}

// scheduleHeartbeat brings the next heartbeat forward to end or renew the lease, or to promise the group that the node
// serves under no older version or zone epoch.
func (a *Agent) scheduleHeartbeat(now Milliseconds, granted, hasPromise bool) {
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
		// The leader did not extend the lease, as the heartbeat promised an older version or zone epoch than the
		// decided one. This response had the newer one, so the next heartbeat is sent at once.
		a.lease.renewAt = now
	}
	if hasPromise || a.lease.renewAt <= now {
		h.nextAt = now + minHeartbeatInterval
	}
}

// backoffAfter returns the minimum backoff from an instance whose response was rejected.
func backoffAfter(err error) Milliseconds {
	if errors.Is(err, ErrUntrusted) {
		return untrustedBackoff
	}
	return 0
}

// validate decides whether a response is accepted. Guards against an instance of another group, one restored from an
// old backup, and one partitioned from its leader, which could move the node back to an older version or to one that
// the group never committed. Positions and decided versions of one group only grow, and a restored group names its
// predecessors.
func (a *Agent) validate(r *api.HeartbeatResponse) error {
	switch {
	case r.Cluster == "":
		return fmt.Errorf("%w: found no group name, expected one", ErrUntrusted)
	case r.CommittedVersion.Version > r.DecidedVersion:
		return fmt.Errorf("%w: found committed version %d, expected at most the decided version %d",
			ErrUntrusted, r.CommittedVersion.Version, r.DecidedVersion)
	case a.group.isNewGeneration(r):
		return a.validateGeneration(r)
	}
	return a.validatePosition(r)
}

// validateGeneration accepts a group of another name only if it was restored from the followed one and has every
// decided version that this node knows of.
func (a *Agent) validateGeneration(r *api.HeartbeatResponse) error {
	disabled := a.config.DisabledGuards
	group := api.GroupIdentity{Group: r.Cluster, Generation: max(firstGeneration, r.Generation),
		Predecessors: r.Predecessors}
	if !group.Succeeds(a.group.cluster, a.group.generation) && !disabled.Has(policy.NewestGeneration) {
		return fmt.Errorf("%w: found group %.16s of generation %d, expected %.16s of generation %d or a successor",
			ErrUntrusted, r.Cluster, group.Generation, a.group.cluster, a.group.generation)
	}
	if r.DecidedVersion < a.versions.min && !disabled.Has(policy.NoDowngrade) {
		return fmt.Errorf("%w: found decided version %d in generation %d of the group, expected at least %d: "+
			"the group was restored without it", ErrStale, r.DecidedVersion, group.Generation, a.versions.min)
	}
	return nil
}

// validatePosition rejects a position of the group's log, zone epoch or decided version earlier than the last seen one.
func (a *Agent) validatePosition(r *api.HeartbeatResponse) error {
	downgradeAllowed := a.config.DisabledGuards.Has(policy.NoDowngrade)
	switch {
	case r.Term < a.group.term || r.Index < a.group.index && !downgradeAllowed:
		return fmt.Errorf("%w: found term %d and index %d, expected at least %d and %d", ErrStale, r.Term, r.Index,
			a.group.term, a.group.index)
	case r.Zone != nil && r.Zone.Epoch < a.zone.epoch():
		return fmt.Errorf("%w: found zone epoch %d, expected at least %d", ErrStale, r.Zone.Epoch,
			a.zone.epoch())
	case r.DecidedVersion < a.versions.min && !downgradeAllowed:
		return fmt.Errorf("%w: found decided version %d, expected at least %d", ErrStale, r.DecidedVersion,
			a.versions.min)
	}
	return nil
}
