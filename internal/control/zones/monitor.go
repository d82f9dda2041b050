package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Monitor keeps a leader's evidence about the zones, in memory only. A new leader starts without evidence, and counts
// no node as silent for the time before it started. Times are in ms of the leader's monotonic clock.
type Monitor struct {
	heartbeatMS uint64 // interval of the nodes' heartbeats
	startedAt   uint64 // time of the first evaluation
	evaluatedAt uint64
	reports     map[string]*nodeReport // by node
	probes      probes
	views       []*View // by zone name
	viewsByZone map[string]*View
	fleetView   *View
}

// nodeReport is the newest report of a node's current incarnation.
type nodeReport struct {
	lease      uint32 // of the incarnation
	receivedAt uint64
	load       api.LoadReport
	hasLoad    bool
}

const (
	// minHeartbeatMS is the shortest heartbeat interval: short enough to evacuate a zone within a few seconds.
	minHeartbeatMS = 1000
	// maxHeartbeatRate is the highest rate of heartbeats of a fleet, per second; larger fleets report less often,
	// so that the group is not busy with reports alone.
	maxHeartbeatRate = 2500

	// A node is silent after silentHeartbeats intervals and silentMarginMS. At the shortest interval a single lost
	// heartbeat does not make it silent.
	silentHeartbeats = 1.5
	silentMarginMS   = 800

	// A report expires after reportTTLHeartbeats intervals and reportTTLMarginMS, when two more should have arrived.
	// With a longer time a zone is judged by its past, with a shorter one a lost heartbeat removes a node from the view.
	reportTTLHeartbeats = 2
	reportTTLMarginMS   = 500

	millisPerSecond = 1000
)

// NewMonitor returns a monitor without evidence.
func NewMonitor() *Monitor {
	return &Monitor{reports: map[string]*nodeReport{}, probes: newProbes(), viewsByZone: map[string]*View{}}
}

// HeartbeatIntervalMS returns the heartbeat interval in ms for a fleet of this many nodes while zones are monitored.
func HeartbeatIntervalMS(nodes int) uint64 {
	return max(minHeartbeatMS, uint64(nodes)*millisPerSecond/maxHeartbeatRate)
}

// Record keeps a node's heartbeat: its load report, nil if it sent none, and the health of the peers that it probed.
// An implausible report is ignored.
func (m *Monitor) Record(now uint64, node *membership.Node, load *api.LoadReport, peers []api.PeerHealth) {
	report := m.reportOf(node)
	if report == nil {
		report = &nodeReport{lease: node.Lease.ID}
		m.reports[node.Name] = report
	}
	report.receivedAt = now
	if load != nil && load.Plausible() {
		report.load, report.hasLoad = *load, true
	}
	m.probes.record(now, node.Name, peers)
}

// reportOf returns the report of a node's current incarnation, nil if it has sent none.
func (m *Monitor) reportOf(node *membership.Node) *nodeReport {
	report := m.reports[node.Name]
	if report == nil || report.lease != node.Lease.ID {
		return nil
	}
	return report
}

// LastHeartbeatAt returns the time of the last heartbeat of a node's current incarnation, in ms; 0 if this leader
// received none.
func (m *Monitor) LastHeartbeatAt(node *membership.Node) uint64 {
	if report := m.reportOf(node); report != nil {
		return report.receivedAt
	}
	return 0
}

// ProbesFor returns the peers that a node should probe, for its next heartbeat response.
func (m *Monitor) ProbesFor(node string) []api.ProbeTarget { return m.probes.targetsByProber[node] }

// Views returns all zones as of the last evaluation, by name. The monitor owns them.
func (m *Monitor) Views() []*View { return m.views }

// FleetView returns the sum of all zones as of the last evaluation, nil before the first.
func (m *Monitor) FleetView() *View { return m.fleetView }

// silentAfterMS returns the time without heartbeats after which a node is silent.
func (m *Monitor) silentAfterMS() uint64 {
	return uint64(silentHeartbeats*float64(m.heartbeatMS)) + silentMarginMS
}

// reportTTLMS returns the time after which a report expires.
func (m *Monitor) reportTTLMS() uint64 { return reportTTLHeartbeats*m.heartbeatMS + reportTTLMarginMS }

// isFresh reports whether a report has not expired.
func (m *Monitor) isFresh(now uint64, report *nodeReport) bool {
	return report != nil && now-report.receivedAt <= m.reportTTLMS()
}
