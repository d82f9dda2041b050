package server

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/logging"
	"umberwinch/internal/node/agent"
	"umberwinch/internal/node/wire"
)

// Paths of the control service and of nodes.
const (
	pathHeartbeat  = "/v1/nodes"
	pathDocument   = "/v1/config?version=%d&read=stale"
	pathNodeRecord = "/v1/kept" // takes the node's record; "kept" on the wire is no stored result
	pathHealth     = "/health"
)

// maxLoggedResponse is how many bytes of a response that can't be used go into the log.
const maxLoggedResponse = 200

// statusError is a response with another status than 200.
type statusError struct {
	status int
	body   []byte
}

// Error gives the status and the begin of the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%d: %s", e.status, e.body[:min(len(e.body), maxLoggedResponse)])
}

// decode reads the JSON of a response with status 200.
func (r *controlResponse) decode(into any) error {
	switch {
	case r.err != nil:
		return r.err
	case r.status != wire.StatusOK:
		return &statusError{r.status, r.body}
	}
	return json.Unmarshal(r.body, into)
}

// sendHeartbeat sends one if it is due, with the load report where the group decides about zones. The agent has one
// in flight at a time, so its client has room.
func (f *fleetAgent) sendHeartbeat(now agent.Milliseconds) {
	request, sequence, due := f.agent.Heartbeat(now)
	if !due {
		return
	}
	if f.agent.ZoneOrder() != nil {
		cores := float64(f.host.platform().Deployment.Cores)
		request.Load = f.meter.Report(now, f.host.kernelConnected(), cores, f.host.runsInFlight())
		request.Peers = f.probes.takeResults()
	}
	body, err := json.Marshal(&request)
	if err != nil { // a number that JSON has no form for
		f.agent.HandleFailure(now, sequence)
		return
	}
	address := f.agent.ControlAddress()
	f.heartbeats.requests <- &controlRequest{address: address, method: methodPost, path: pathHeartbeat, body: body,
		timeout: time.Duration(f.agent.HeartbeatTimeout()) * time.Millisecond,
		done: func(r controlResponse) {
			f.host.runOnLoop(func() { f.heartbeatDone(address, sequence, r) })
		}}
}

// heartbeatDone takes what came of a heartbeat.
func (f *fleetAgent) heartbeatDone(address string, sequence uint64, r controlResponse) {
	now := f.clock()
	var response api.HeartbeatResponse
	if err := r.decode(&response); err != nil {
		f.host.counts().HeartbeatsLost++
		f.logLimited(logrus.Fields{logging.Address: address, logging.Error: err}, logHeartbeatFailed)
		f.agent.HandleFailure(now, sequence)
		return
	}
	minVersion, generation := f.agent.MinVersion(), f.agent.LastSeen().Generation
	if err := f.agent.HandleResponse(now, sequence, response); err != nil {
		f.host.counts().HeartbeatsLost++
		f.log.WithFields(logrus.Fields{logging.Address: address, logging.Error: err}).Warn(logResponseRejected)
		return
	}
	if f.agent.TakeRecordRequest() {
		f.logLimited(logrus.Fields{logging.Address: address}, logRecordRequested)
		f.sendRecord()
		return
	}
	if is := f.agent.LastSeen().Generation; is != generation && generation != 0 {
		f.log.WithField(logging.Generation, is).Warn(logGenerationRestored)
		f.storeRecord()
	}
	if response.EndedReason != "" {
		f.logLimited(logrus.Fields{logging.Reason: response.EndedReason}, logIncarnationEnded)
	}
	epoch := f.gate.Epoch()
	f.setZoneOrder(now, f.agent.ZoneOrder()) // the agent's: of a response that came too late it has taken nothing
	if f.agent.MinVersion() > minVersion || f.gate.Epoch() != epoch {
		f.storeRecord()
	}
	f.probes.start(response.ProbeTargets, f.host)
}

// logLimited writes a line that may come often.
func (f *fleetAgent) logLimited(fields logrus.Fields, message string) {
	if log := f.host.limitLog(); log != nil {
		log.WithFields(fields).Info(message)
	}
}

// probeTimeout is for the health of another node: far more than one that is there takes, and short beside the time
// within which the group wants to know of it.
const probeTimeout = 400 * time.Millisecond

// prober asks other nodes for their health where the group wants to know how this node sees them, one after the other.
type prober struct {
	client  *controlClient
	targets []api.ProbeTarget // still to be probed
	results []api.PeerHealth  // for the next heartbeat
	probing bool
}

// start takes new targets, unless a probe of earlier ones is in flight.
func (p *prober) start(targets []api.ProbeTarget, host fleetHost) {
	if !p.probing {
		p.targets = targets
		p.next(host)
	}
}

// next probes the next target.
func (p *prober) next(host fleetHost) {
	if p.probing || len(p.targets) == 0 {
		return
	}
	target := p.targets[0]
	p.targets, p.probing = p.targets[1:], true
	p.client.requests <- &controlRequest{address: target.Addr, method: methodGet, path: pathHealth,
		timeout: probeTimeout,
		done: func(r controlResponse) {
			host.runOnLoop(func() { p.probeDone(target.Name, r, host) })
		}}
}

// probeDone takes what came of a probe.
func (p *prober) probeDone(name string, r controlResponse, host fleetHost) {
	p.probing = false
	health := api.PeerHealth{Name: name, Health: api.PeerSilent}
	switch {
	case r.err == nil && r.status == wire.StatusOK:
		health.Health = api.PeerServing
	case r.err == nil:
		health.Health = api.PeerShedding
	}
	if len(p.results) < api.MaxPeers {
		p.results = append(p.results, health)
	}
	p.next(host)
}

// takeResults gives what was seen since it was asked last.
func (p *prober) takeResults() []api.PeerHealth {
	results := p.results
	p.results = nil
	return results
}
