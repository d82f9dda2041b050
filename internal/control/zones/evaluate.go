package zones

import (
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// evaluationIntervalMS is the time between two evaluations of the reports: half of the shortest heartbeat interval.
const evaluationIntervalMS = 500

// evaluate updates the views of all zones from the reports.
func (m *Monitor) evaluate(now uint64, state *State, fleet *membership.State, disabled Guard) {
	if m.startedAt == 0 {
		m.startedAt = now
	}
	m.heartbeatMS = HeartbeatIntervalMS(len(fleet.Nodes()))
	m.evaluatedAt = now
	m.dropUnknownNodes(fleet)

	views, reports := m.groupReports(now, fleet)
	m.views = m.views[:0]
	for _, name := range sortedKeys(views) {
		view := views[name]
		if previous := m.viewsByZone[name]; previous != nil {
			view.inherit(previous)
		} else if zone := state.Find(name); zone != nil { // stored by an earlier leader
			view.observed, view.stored, view.storedAt = zone.Capacity, zone.Capacity, now
		}
		view.aggregate(reports[name])
		m.views = append(m.views, view)
	}
	m.viewsByZone = views
	m.fleetView = sumViews(m.views, m.fleetView)
	m.chooseProbes(now, fleet)
	for _, view := range m.views {
		m.score(now, state, view, disabled)
	}
}

func (m *Monitor) dropUnknownNodes(fleet *membership.State) {
	for name := range m.reports { // the order of iteration does not matter
		if fleet.Lookup(name) == nil {
			delete(m.reports, name)
		}
	}
}

// groupReports counts the nodes of each zone and collects their load reports that have not expired.
func (m *Monitor) groupReports(now uint64, fleet *membership.State) (map[string]*View, map[string][]*api.LoadReport) {
	views, reports := map[string]*View{}, map[string][]*api.LoadReport{}
	for _, node := range fleet.Nodes() {
		view := views[node.Zone]
		if view == nil {
			view = &View{Zone: node.Zone}
			views[node.Zone] = view
		}
		if node.IsOut() {
			if node.OutReason != membership.OutLeft && fleet.ClockMS-node.OutAtMS < recentlyOutMS {
				view.NodesSilent++
			}
			continue
		}
		view.NodesIn++
		report, lastHeartbeat := m.reportOf(node), m.startedAt
		if report != nil {
			lastHeartbeat = max(lastHeartbeat, report.receivedAt)
		}
		if now-lastHeartbeat > m.silentAfterMS() {
			view.NodesSilent++
		}
		if m.isFresh(now, report) && report.hasLoad {
			view.NodesReporting++
			reports[node.Zone] = append(reports[node.Zone], &report.load)
		}
	}
	return views, reports
}

// demandDecay is the factor by which the peak of demand decays at an evaluation, so that a lower demand counts only
// after about ten seconds. While callers move between zones, reports miss some of them on both sides.
const demandDecay = 0.97

// sumViews sums the zones' views to the fleet's. Times are weighted by run rate.
func sumViews(views []*View, previous *View) *View {
	fleet := &View{Zone: WholeFleet}
	if previous != nil {
		fleet.demand = previous.demand * demandDecay
		fleet.overloadedEvaluations, fleet.loads = previous.overloadedEvaluations, shiftLoads(previous.loads)
	}
	nodesWithKernel, runMS, callMS := 0, 0.0, 0.0
	for _, view := range views {
		fleet.add(view)
		runMS += view.RunRate * view.RunMS
		callMS += view.RunRate * view.CallMS
		if view.KernelsUp {
			nodesWithKernel += view.NodesIn
		}
	}
	fleet.demand = max(fleet.demand, fleet.FirstAttemptRate)
	if fleet.RunRate > 0 {
		fleet.RunMS, fleet.CallMS = runMS/fleet.RunRate, callMS/fleet.RunRate
	}
	fleet.KernelsUp = 2*nodesWithKernel >= fleet.NodesIn
	return fleet
}

// add adds a zone's counts and rates.
func (v *View) add(zone *View) {
	v.NodesIn += zone.NodesIn
	v.NodesSilent += zone.NodesSilent
	v.NodesReporting += zone.NodesReporting
	v.NodesUnhealthy += zone.NodesUnhealthy
	v.FirstAttemptRate += zone.FirstAttemptRate
	v.AdmittedRate += zone.AdmittedRate
	v.RejectedRate += zone.RejectedRate
	v.RunRate += zone.RunRate
	v.OfferedWeight += zone.OfferedWeight
	v.CompletedWeight += zone.CompletedWeight
	v.RunCapacity += zone.RunCapacity
	v.Concurrency += zone.Concurrency
	if zone.NodesUnhealthy > 0 {
		v.Symptom = zone.Symptom
	}
}

// median sorts the values and returns their median, 0 if there are none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	sort.Float64s(values)
	if n%2 == 0 {
		return (values[n/2-1] + values[n/2]) / 2
	}
	return values[n/2]
}
