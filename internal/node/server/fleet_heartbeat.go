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
	pathNodeRecord = "/v1/kept" // accepts a node record; unrelated to the result store
	pathHealth     = "/health"
)

// maxLoggedResponse is the maximum number of bytes of an unusable response in a log line.
const maxLoggedResponse = 200

// statusError is a response with a status other than 200.
type statusError struct {
	status int
	body   []byte
}

// Error returns the status and the first bytes of the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%d: %s", e.status, e.body[:min(len(e.body), maxLoggedResponse)])
}

// decode unmarshals the JSON body of a response with status 200.
func (r *controlResponse) decode(target any) error {
	switch {
	case r.err != nil:
		return r.err
	case r.status != wire.StatusOK:
		return &statusError{r.status, r.body}
	}
	return json.Unmarshal(r.body, target)
}

// sendHeartbeat sends a heartbeat if one is due, with a load report if the node has a zone order. It never blocks on
// the client's queue, as the agent has at most one heartbeat in flight.
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
	if err != nil { // NaN or infinity, which JSON can't represent
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

// heartbeatDone handles the response to a heartbeat, or its failure.
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
	if current := f.agent.LastSeen().Generation; current != generation && generation != 0 {
		f.log.WithField(logging.Generation, current).Warn(logGenerationRestored)
		f.storeRecord()
	}
	if response.EndedReason != "" {
		f.logLimited(logrus.Fields{logging.Reason: response.EndedReason}, logIncarnationEnded)
	}
	epoch := f.gate.Epoch()
	f.setZoneOrder(now, f.agent.ZoneOrder()) // the agent's order, as it ignores a stale response
	if f.agent.MinVersion() > minVersion || f.gate.Epoch() != epoch {
		f.storeRecord()
	}
	f.probes.start(response.ProbeTargets, f.host)
}

// logLimited writes a rate-limited log line.
func (f *fleetAgent) logLimited(fields logrus.Fields, message string) {
	if log := f.host.limitLog(); log != nil {
		log.WithFields(fields).Info(message)
	}
}

// probeTimeout bounds a health probe of another node.
const probeTimeout = 400 * time.Millisecond

// prober probes the health of the nodes that the group asks for, one at a time, and collects the results for the next
// heartbeat. It is used by the loop's goroutine alone, until the process ends.
type prober struct {
	client  *controlClient
	targets []api.ProbeTarget // not probed yet
	results []api.PeerHealth  // for the next heartbeat
	probing bool
}

// start probes new targets, which are ignored while a probe is in flight.
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

// probeDone records the result of a probe and probes the next target.
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

// takeResults returns the results since the last call.
func (p *prober) takeResults() []api.PeerHealth {
	results := p.results
	p.results = nil
	return results
}
