package server

import (
	"math"

	"umberwinch/admission"
	"umberwinch/internal/control/api"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/overlay"
	"umberwinch/internal/node/wire"
	"umberwinch/internal/node/zonegate"
)

// updateFencing fences or unfences the node. A fenced node rejects new and queued requests, lets runs end, and reports
// itself as not ready.
func (f *fleetAgent) updateFencing(mayServe bool, reason string) {
	switch {
	case !mayServe && !f.fenced:
		f.fenced = true
		f.host.counts().TimesFenced++
		f.log.WithFields(f.leaseFields()).WithField(logging.Reason, reason).Warn(logNodeFenced)
		f.host.refreshReadiness()
		f.host.rejectQueued()
	case mayServe && f.fenced:
		f.fenced = false
		f.log.WithFields(f.leaseFields()).Info(logNodeServes)
		f.host.refreshReadiness()
	}
}

// updateAutonomous tracks whether the node serves without the group. In autonomous mode the gate changes its quota by
// the node's own rule. A node that starts without the group begins with the quota of a cold start, if its version sets
// one.
func (f *fleetAgent) updateAutonomous(now agent.Milliseconds, mayServe bool) {
	if f.autonomous && f.gate.AdjustAutonomousShare(now, f.meter.Healthy(now, f.host.runsInFlight())) {
		f.log.WithFields(f.shareFields()).Warn(logAutonomousQuota)
		f.host.refreshReadiness()
	}
	autonomous := mayServe && f.agent.Autonomous(now)
	if autonomous == f.autonomous {
		return
	}
	f.autonomous = autonomous
	if !autonomous {
		return
	}
	f.log.WithFields(f.leaseFields()).Warn(logAutonomous)
	version, ok := f.versions.available[f.agent.ActiveVersion()]
	if !ok || f.agent.GroupContacted() {
		return
	}
	zones := &version.settings.Document.Zones
	if zones.ColdStart && api.ZoneMode(zones.Mode) == api.ZoneModeAuto {
		share := int(math.Round(zones.InitialShare * api.FullShare))
		f.gate.BeginAutonomousColdStart(now, share, uint64(zones.MinStepTime.Milliseconds()))
		f.log.WithFields(f.shareFields()).Info(logColdStartQuota)
	}
}

// activate switches the controller to a version. The loop calls it between two rounds.
func (f *fleetAgent) activate(now agent.Milliseconds, version api.VersionHash) {
	v, ok := f.versions.available[version.Version]
	if !ok {
		f.agent.DropPrepared(version.Version) // fetched again
		return
	}
	f.host.activate(v.settings)
	f.retired = v.settings.RetiredHandlers
	f.meter.SetWeights(handlerWeights(f.host.platform()))
	f.agent.MarkActive(now, version, v.settings.Document.Fleet.Autonomous)
	f.host.counts().VersionsAdopted++
	f.log.WithField(logging.PolicyVersion, version.Version).Info(logVersionActivated)
	f.versions.dropOlder(version.Version)
	f.storeRecord()
}

// rejection decides whether a request is rejected before it is submitted to the controller, and sets Retry-After or no
// retry in response. A fenced node rejects every request, a retired handler's requests are rejected with no retry, and
// the zone's gate rejects requests over the node's quota while the zone is evacuated, ramping or rate limited.
func (f *fleetAgent) rejection(handler int, q *wire.Request, key string, response *wire.Response) rejection {
	switch {
	case f == nil:
		return notRejected
	case f.fenced:
		f.host.counts().RejectedFenced++
		response.RetryAfterMS = f.host.retryAfter(&f.retryTimes, 0)
		return nodeFenced
	case f.retired[handler]:
		response.NoRetry = true
		return handlerRetired
	}
	now, request := f.clock(), f.gateRequest(handler, q, key)
	decision := f.gate.Admit(now, request)
	if decision.Admitted {
		return notRejected
	}
	f.host.counts().RejectedByZone++
	f.meter.RequestRejected(now, handler, q.IsRetry)
	response.NoRetry, response.RetryAfterMS = decision.Final, f.host.retryAfter(&f.retryTimes,
		f.gate.RetryAfter(now, request))
	return rejectedByZone
}

// gateRequest builds the zone gate's view of a request.
func (f *fleetAgent) gateRequest(handler int, q *wire.Request, key string) zonegate.Request {
	h := &f.host.platform().Deployment.Handlers[handler]
	var idempotencyKey []byte
	if h.RetrySafety == admission.IdempotencyKeyed {
		idempotencyKey = q.IdempotencyKey
	}
	return zonegate.Request{Handler: handler, Weight: h.Value, Hash: zonegate.RequestHash(idempotencyKey, q.Tenant,
		q.Caller),
		IsRetry: q.IsRetry, SeenBefore: key != "" && f.host.isKnownKey(key)}
}

// ready reports whether the fleet agent lets the node report itself as ready.
func (f *fleetAgent) ready() bool { return f == nil || !f.fenced && !f.gate.Evacuated() }

// admitConnection reports whether the zone's connection rate limit admits a new connection to the store.
func (f *fleetAgent) admitConnection() bool { return f == nil || f.gate.AdmitConnection(f.clock()) }

// The methods below feed the load report and the recording for shadow evaluation. They do nothing on a nil agent.

// requestAdmitted counts a request that the gate admitted.
func (f *fleetAgent) requestAdmitted(handler int, isRetry bool) {
	if f != nil {
		f.meter.RequestAdmitted(f.clock(), handler, isRetry)
	}
}

// requestSubmitted records a request that is submitted to the controller.
func (f *fleetAgent) requestSubmitted(now admission.Time, q *admission.Request) {
	if f != nil {
		f.recording.RecordArrival(now, q)
	}
}

// requestAnswered counts a response.
func (f *fleetAgent) requestAnswered(handler, status int, onTime bool) {
	if f != nil {
		f.meter.RequestAnswered(f.clock(), handler, status, onTime)
	}
}

// runEnded counts a run that succeeded or failed, and records one that succeeded.
func (f *fleetAgent) runEnded(id uint32, outcome admission.Outcome, elapsedMS float64, elapsed admission.Time) {
	if f == nil {
		return
	}
	if outcome == admission.Succeeded || outcome == admission.Failed {
		f.meter.RunEnded(f.clock(), elapsedMS)
	}
	if outcome == admission.Succeeded {
		f.recording.RecordRun(id, elapsed)
	}
}

// callEnded counts a call to the store.
func (f *fleetAgent) callEnded(elapsedMS float64, failed bool) {
	if f != nil {
		f.meter.CallEnded(f.clock(), elapsedMS, failed)
	}
}

// connectionOpened counts a new connection to the store.
func (f *fleetAgent) connectionOpened() {
	if f != nil {
		f.meter.ConnectionOpened(f.clock())
	}
}

// coresSampled records a sample of the number of runs that need a core.
func (f *fleetAgent) coresSampled(runnable float64) {
	if f != nil {
		f.meter.CoresSampled(f.clock(), runnable)
	}
}

// overlayDeployment returns the version's deployment with the pools and start times of the platform's.
func overlayDeployment(version *overlay.Settings, platform *admission.Deployment) *admission.Deployment {
	d := *version.Deployment
	d.Pools, d.Start, d.ColdStart = platform.Pools, platform.Start, platform.ColdStart
	return &d
}
