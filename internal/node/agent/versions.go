package agent

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/policy"
)

// versions holds the policy versions that the node knows of.
type versions struct {
	min              uint64            // the latest decided one: the node serves under no older one
	committed        api.VersionHash   // the latest one that may be activated
	proposed         api.VersionHash   // PrepareVersion of the last response: to be fetched, checked and evaluated
	active           api.VersionHash   // the node serves under it; version 0: none
	activeAutonomous bool              // the active version allows nodes to serve without a lease
	prepared         map[uint64]string // hash by version
	rejected         rejection

	// From the stored record.
	stored          api.VersionHash
	startAutonomous bool // the stored version may be activated without the group
}

// rejection is the node's vote against one version.
type rejection struct {
	version   uint64 // 0: none
	reason    string
	permanent bool // the version doesn't fit the platform's settings and is not activated even if committed
}

// restore sets the versions from a stored record.
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
	// Guards against a node that stays fenced because it was stopped after a version was decided and before it stored
	// that version as active. The prepared version counts as committed, since a change under a policy that allows
	// autonomous serving doesn't wait between the two.
	if stored.PreparedVersion == stored.MinVersion && (stored.ActiveAutonomous || stored.ActiveVersion == 0) {
		v.stored = api.VersionHash{Version: stored.PreparedVersion, Hash: stored.PreparedHash}
		v.startAutonomous = stored.PreparedAutonomous
	}
}

// update sets the versions from an accepted response. Neither the decided nor the committed one ever decreases.
func (v *versions) update(r *api.HeartbeatResponse, disabled policy.Guard) {
	downgradeAllowed := disabled.Has(policy.NoDowngrade)
	if !downgradeAllowed {
		v.min = max(v.min, r.DecidedVersion)
	}
	if r.CommittedVersion.Version >= v.committed.Version || downgradeAllowed {
		v.committed = r.CommittedVersion
	}
	if v.proposed != r.PrepareVersion {
		v.proposed = r.PrepareVersion
		if v.rejected.version != r.PrepareVersion.Version {
			v.rejected = rejection{}
		}
	}
	// Also if both versions are 0: without a policy, nodes are autonomous (policy.DefaultRules).
	if v.active.Version == v.committed.Version {
		v.activeAutonomous = r.Autonomous
	}
}

// has reports whether a version is prepared. The hash has to match too: a group that lost state may reuse the number
// for another document.
func (v *versions) has(version api.VersionHash) bool {
	return version.Hash != "" && v.prepared[version.Version] == version.Hash
}

// VersionToFetch decides which version's document the driver has to fetch, check and try next. A committed one comes
// first; committed reports that its trial no longer counts, as it was committed without this node's vote. A rejected
// version is not fetched again, unless the rejection isn't permanent and the version is committed.
func (a *Agent) VersionToFetch() (version api.VersionHash, committed, ok bool) {
	v := &a.versions
	permanentlyRejected := v.rejected.permanent && v.rejected.version == v.committed.Version
	if v.committed.Version > v.active.Version && !v.has(v.committed) && !permanentlyRejected {
		return v.committed, true, true
	}
	if v.proposed.Version > v.active.Version && !v.has(v.proposed) && v.rejected.version != v.proposed.Version {
		return v.proposed, false, true
	}
	return api.VersionHash{}, false, false
}

// VersionToActivate decides which version the node activates at now: one that is committed, prepared and newer than the
// active one, or the stored one after a start without the group (see startsAutonomously).
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

// MarkPrepared reports that a version was checked, tried and, if the node has a disk, stored.
func (a *Agent) MarkPrepared(now Milliseconds, version api.VersionHash) {
	a.versions.prepared[version.Version] = version.Hash
	a.heartbeat.bringForward(now)
	a.prune()
}

// RejectVersion records the node's vote against a version. permanent: the node can't serve under it at all; otherwise
// it only failed its trial and is still activated if committed.
func (a *Agent) RejectVersion(now Milliseconds, version uint64, reason string, permanent bool) {
	a.versions.rejected = rejection{version: version, reason: reason, permanent: permanent}
	a.heartbeat.bringForward(now)
}

// MarkActive reports that the node serves under a version. autonomous: the version allows serving without a lease.
func (a *Agent) MarkActive(now Milliseconds, version api.VersionHash, autonomous bool) {
	v := &a.versions
	v.active, v.activeAutonomous = version, autonomous
	v.min = max(v.min, version.Version)
	a.heartbeat.bringForward(now)
	a.prune()
}

// DropPrepared reports that a version's document is lost and has to be fetched again.
func (a *Agent) DropPrepared(version uint64) {
	delete(a.versions.prepared, version)
	if a.versions.stored.Version == version {
		a.versions.startAutonomous = false
	}
}

// IsPrepared reports whether a version is prepared.
func (a *Agent) IsPrepared(version uint64) bool {
	_, ok := a.versions.prepared[version]
	return ok
}

// prune drops prepared versions that are no longer needed. Which ones is known only once the group was contacted.
func (a *Agent) prune() {
	if !a.group.contacted {
		return
	}
	v := &a.versions
	for n := range v.prepared {
		if n != v.active.Version && n != v.committed.Version && n != v.proposed.Version {
			delete(v.prepared, n)
		}
	}
}
