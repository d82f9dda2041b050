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

// updateFencing fences the node or ends that. A fenced node rejects what comes and what it has queued, lets runs end,
// and its health says so.
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

// updateAutonomous follows whether the node serves without the group. One that does for long widens its quota by its
// own rule; one that starts so begins with the quota of a cold start, where its version has one.
func (f *fleetAgent) updateAutonomous(now agent.Milliseconds, mayServe bool) {
	if f.autonomous && f.gate.ContinueAutonomously(now, f.meter.Healthy(now, f.host.runsInFlight())) {
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
	version, atHand := f.versions.available[f.agent.ActiveVersion()]
	if !atHand || f.agent.GroupContacted() {
		return
	}
	zones := &version.settings.Document.Zones
	if zones.SmallStart && api.ZoneMode(zones.Mode) == api.ZoneModeAuto {
		share := int(math.Round(zones.FirstShare * api.FullShare))
		f.gate.BeginAutonomousColdStart(now, share, uint64(zones.StepTime.Milliseconds()))
		f.log.WithFields(f.shareFields()).Info(logColdStartQuota)
	}
}

// activate has the controller go on under another version. The loop is between two rounds here.
func (f *fleetAgent) activate(now agent.Milliseconds, version api.VersionHash) {
	v, atHand := f.versions.available[version.Version]
	if !atHand {
		f.agent.DropPrepared(version.Version) // it is fetched again
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

// rejection decides whether a request is rejected before the controller hears of it, and why; response then has what
// goes with it.
//
// A fenced node rejects everything with a time to retry after, a handler that the active version retires is rejected
// for good, and the zone's gate rejects what is over the node's quota of a zone that is evacuated, ramps or is rate
// limited. Reason: see agent.MayServe and zonegate. It harms only requests that another zone or a later time can
// serve; those that no node has capacity for are told not to retry.
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
	now, asked := f.clock(), f.gateRequest(handler, q, key)
	decision := f.gate.Admit(now, asked)
	if decision.Admitted {
		return notRejected
	}
	f.host.counts().RejectedByZone++
	f.meter.RequestRejected(now, handler, q.IsRetry)
	response.NoRetry, response.RetryAfterMS = decision.Final, f.host.retryAfter(&f.retryTimes,
		f.gate.RetryAfter(now, asked))
	return rejectedByZone
}

// gateRequest is what the zone's gate hears of a request.
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

// takesTraffic tells whether health checks and discovery may say that this node is ready.
func (f *fleetAgent) takesTraffic() bool { return f == nil || !f.fenced && !f.gate.Evacuated() }

// admitConnection tells whether a connection to the store may be opened now, by the zone's connection rate limit.
func (f *fleetAgent) admitConnection() bool { return f == nil || f.gate.AdmitConnection(f.clock()) }

// What the load report and the recording for trials are made of. On a nil agent they do nothing.

// requestAdmitted counts a request that the gate let pass.
func (f *fleetAgent) requestAdmitted(handler int, isRetry bool) {
	if f != nil {
		f.meter.RequestAdmitted(f.clock(), handler, isRetry)
	}
}

// requestSubmitted records a request that the controller hears of.
func (f *fleetAgent) requestSubmitted(now admission.Time, q *admission.Request) {
	if f != nil {
		f.recording.RecordArrival(now, q)
	}
}

// requestAnswered counts an answer.
func (f *fleetAgent) requestAnswered(handler, status int, onTime bool) {
	if f != nil {
		f.meter.RequestAnswered(f.clock(), handler, status, onTime)
	}
}

// runEnded counts a run that took so many ms, and records one that succeeded.
func (f *fleetAgent) runEnded(id uint32, outcome admission.Outcome, tookMS float64, took admission.Time) {
	if f == nil {
		return
	}
	if outcome == admission.Succeeded || outcome == admission.Failed {
		f.meter.RunEnded(f.clock(), tookMS)
	}
	if outcome == admission.Succeeded {
		f.recording.RecordRun(id, took)
	}
}

// callEnded counts a call to the store that took so many ms.
func (f *fleetAgent) callEnded(tookMS float64, failed bool) {
	if f != nil {
		f.meter.CallEnded(f.clock(), tookMS, failed)
	}
}

// connectionOpened counts a connection to the store.
func (f *fleetAgent) connectionOpened() {
	if f != nil {
		f.meter.ConnectionOpened(f.clock())
	}
}

// coresSampled takes a reading of how many cores runs use.
func (f *fleetAgent) coresSampled(runnable float64) {
	if f != nil {
		f.meter.CoresSampled(f.clock(), runnable)
	}
}

// overlayDeployment lays a version over the platform's deployment, which keeps what only the platform knows.
func overlayDeployment(version *overlay.Settings, platform *admission.Deployment) *admission.Deployment {
	d := *version.Deployment
	d.Pools, d.Start, d.ColdStart = platform.Pools, platform.Start, platform.ColdStart
	return &d
}
