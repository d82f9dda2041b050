package agent

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// versions are the policy versions that the node knows of.
type versions struct {
	min              uint64          // decided: nothing older may be served under
	committed        api.VersionHash // may be served under
	preparing        api.VersionHash // proposed: to be fetched, checked and tried
	active           api.VersionHash // served under; version 0: none
	activeAutonomous bool            // the active version lets nodes serve without a lease
	prepared         map[uint64]string
	rejected         rejection

	// Of the record that a start found.
	stored          api.VersionHash
	startAutonomous bool // it may be activated without the group
}

// rejection is the node's vote against one version, which it can't or won't serve under.
type rejection struct {
	version   uint64 // 0: none
	reason    string
	permanent bool // its document does not fit the platform's settings: not activated even if it is committed
}

// restore goes on from a stored record.
func (v *versions) restore(stored *Record) {
	v.min = stored.MinVersion
	if stored.ActiveVersion > 0 {
		v.stored = api.VersionHash{Version: stored.ActiveVersion, Hash: stored.ActiveHash}
		v.prepared[stored.ActiveVersion] = stored.ActiveHash
		v.startAutonomous = stored.ActiveAutonomous
	}
	if stored.PreparedVersion <= stored.ActiveVersion {
		return
	}
	v.prepared[stored.PreparedVersion] = stored.PreparedHash
	// Guards against a node that died after a version was decided and before it stored that it had activated it: it
	// would start fenced, as its active version is older than the decided one. The prepared version counts as
	// committed, since a change under a policy that lets nodes serve autonomously never waits between the two.
	if stored.PreparedVersion == stored.MinVersion && (stored.ActiveAutonomous || stored.ActiveVersion == 0) {
		v.stored = api.VersionHash{Version: stored.PreparedVersion, Hash: stored.PreparedHash}
		v.startAutonomous = stored.PreparedAutonomous
	}
}

// update takes the versions of an accepted response. Neither the decided nor the committed one ever goes back.
func (v *versions) update(r *api.HeartbeatResponse, disabled policy.Guard) {
	downgradeAllowed := disabled.Has(policy.NoDowngrade)
	if !downgradeAllowed {
		v.min = max(v.min, r.DecidedVersion)
	}
	if r.CommittedVersion.Version >= v.committed.Version || downgradeAllowed {
		v.committed = r.CommittedVersion
	}
	if v.preparing != r.PrepareVersion {
		v.preparing = r.PrepareVersion
		if v.rejected.version != r.PrepareVersion.Version {
			v.rejected = rejection{}
		}
	}
	if v.active.Version == v.committed.Version {
		v.activeAutonomous = r.Autonomous
	}
}

// has tells whether a version is prepared. Its hash counts, not its number alone: a group that lost state may give
// the number to another document.
func (v *versions) has(version api.VersionHash) bool {
	return version.Hash != "" && v.prepared[version.Version] == version.Hash
}

// VersionToFetch decides which version's document the driver has to fetch, check and try next. A committed one comes
// first; committed tells that its trial does not count any more, as the fleet has decided to go on without this
// node's consent. A version that was rejected is not fetched again, unless only its trial failed and it was committed
// all the same.
func (a *Agent) VersionToFetch() (version api.VersionHash, committed, ok bool) {
	v := &a.versions
	refused := v.rejected.permanent && v.rejected.version == v.committed.Version
	if v.committed.Version > v.active.Version && !v.has(v.committed) && !refused {
		return v.committed, true, true
	}
	if v.preparing.Version > v.active.Version && !v.has(v.preparing) && v.rejected.version != v.preparing.Version {
		return v.preparing, false, true
	}
	return api.VersionHash{}, false, false
}

// VersionToActivate decides which version the node takes over at now: one that is committed, prepared here, and newer
// than the active one; or after a start without the group the stored one, see startsAutonomously.
func (a *Agent) VersionToActivate(now Milliseconds) (version api.VersionHash, ok bool) {
	v := &a.versions
	if a.startsAutonomously(now) {
		return v.stored, true
	}
	newer := v.committed.Version > v.active.Version
	if a.config.DisabledGuards.Has(policy.NoDowngrade) {
		newer = v.committed.Version != v.active.Version
	}
	if newer && v.has(v.committed) {
		return v.committed, true
	}
	return api.VersionHash{}, false
}

// MarkPrepared tells that a version was checked, tried and, where there is a disk, stored.
func (a *Agent) MarkPrepared(now Milliseconds, version api.VersionHash) {
	a.versions.prepared[version.Version] = version.Hash
	a.heartbeat.bringForward(now)
	a.prune()
}

// Reject tells that the node votes against a version. permanent: it can't serve under it at all; a version that only
// failed its trial is activated if it is committed all the same.
func (a *Agent) Reject(now Milliseconds, version uint64, reason string, permanent bool) {
	a.versions.rejected = rejection{version: version, reason: reason, permanent: permanent}
	a.heartbeat.bringForward(now)
}

// MarkActive tells that the node serves under a version from now on. autonomous is what that version says of serving
// without a lease.
func (a *Agent) MarkActive(now Milliseconds, version api.VersionHash, autonomous bool) {
	v := &a.versions
	v.active, v.activeAutonomous = version, autonomous
	v.min = max(v.min, version.Version)
	a.heartbeat.bringForward(now)
	a.prune()
}

// DropPrepared tells that a version's document is not at hand after all: it is fetched again.
func (a *Agent) DropPrepared(version uint64) {
	delete(a.versions.prepared, version)
	if a.versions.stored.Version == version {
		a.versions.startAutonomous = false
	}
}

// IsPrepared tells whether a version can be activated.
func (a *Agent) IsPrepared(version uint64) bool {
	_, ok := a.versions.prepared[version]
	return ok
}

// prune forgets prepared versions that can't be needed any more. Before the group was contacted nobody knows which
// those are.
func (a *Agent) prune() {
	if !a.group.contacted {
		return
	}
	v := &a.versions
	for n := range v.prepared {
		if n != v.active.Version && n != v.committed.Version && n != v.preparing.Version {
			delete(v.prepared, n)
		}
	}
}
