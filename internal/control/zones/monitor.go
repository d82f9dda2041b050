package zones

import (
	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// Monitor is the evidence of one leader about the zones. All of it is in memory: a new leader begins anew, and holds
// nothing against anybody for the time in which it did not listen. Times are in ms of the leader's monotonic clock.
type Monitor struct {
	heartbeatMS uint64 // how often a node reports
	startedAt   uint64 // it listens since then
	evaluatedAt uint64
	reports     map[string]*nodeReport // by node
	probes      probes
	views       []*View // by zone
	viewsByZone map[string]*View
	fleetView   *View
}

// nodeReport is the newest report of a node's present incarnation.
type nodeReport struct {
	lease      uint32
	receivedAt uint64
	load       api.LoadReport
	hasLoad    bool
}

const (
	// minHeartbeatMS: once a second is often enough to evacuate a zone in a few seconds.
	minHeartbeatMS = 1000
	// maxHeartbeatRate, a second: a larger fleet reports less often, so that the group is not kept busy by reports
	// alone.
	maxHeartbeatRate = 2500

	// silentHeartbeats and silentMarginMS: a node is quiet once one heartbeat was lost, with the time of the next one's
	// answer. Sooner, a lost packet would look like a dead node.
	silentHeartbeats = 1.5
	silentMarginMS   = 800

	// reportTTLHeartbeats and reportTTLMarginMS: a report counts until two more should have come. Longer, a zone would be
	// judged by what it was; shorter, a lost heartbeat would take a node out of the picture.
	reportTTLHeartbeats = 2
	reportTTLMarginMS   = 500

	millisPerSecond = 1000
)

// NewMonitor makes a monitor that has heard nothing.
func NewMonitor() *Monitor {
	return &Monitor{reports: map[string]*nodeReport{}, probes: newProbes(), viewsByZone: map[string]*View{}}
}

// HeartbeatIntervalMS decides how often a node of a fleet of so many should report while zones are monitored, in ms.
func HeartbeatIntervalMS(nodes int) uint64 {
	return max(minHeartbeatMS, uint64(nodes)*millisPerSecond/maxHeartbeatRate)
}

// Record takes what a node reported: its load, nil if it sent none, and the health it found of the nodes that it was
// asked to check. A report that can't be true is ignored, as if none had come.
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

// reportOf returns what a node's present incarnation reported, nil if it has not.
func (m *Monitor) reportOf(node *membership.Node) *nodeReport {
	report := m.reports[node.Name]
	if report == nil || report.lease != node.Lease.ID {
		return nil
	}
	return report
}

// LastHeard returns when a node's present incarnation was heard last, in ms; 0: not by this leader.
func (m *Monitor) LastHeard(node *membership.Node) uint64 {
	if report := m.reportOf(node); report != nil {
		return report.receivedAt
	}
	return 0
}

// ProbesFor returns the nodes whose health a node should check, for the next answer to it.
func (m *Monitor) ProbesFor(node string) []api.ProbeTarget { return m.probes.targetsByProber[node] }

// Views returns all zones as of the last evaluation, by name. They belong to the monitor.
func (m *Monitor) Views() []*View { return m.views }

// FleetView returns the whole fleet as of the last evaluation, nil before the first.
func (m *Monitor) FleetView() *View { return m.fleetView }

// silentAfterMS is for how long a node may be silent before it counts as quiet.
func (m *Monitor) silentAfterMS() uint64 {
	return uint64(silentHeartbeats*float64(m.heartbeatMS)) + silentMarginMS
}

// reportTTLMS is for how long a report counts.
func (m *Monitor) reportTTLMS() uint64 { return reportTTLHeartbeats*m.heartbeatMS + reportTTLMarginMS }

// isFresh reports whether a report counts still.
func (m *Monitor) isFresh(now uint64, report *nodeReport) bool {
	return report != nil && now-report.receivedAt <= m.reportTTLMS()
}
