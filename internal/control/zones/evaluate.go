package zones

import (
	"sort"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/membership"
)

// evaluationIntervalMS is the time between two evaluations of the reports. Each node reports once a second at most: more
// often would see the same reports again, less often would cost seconds of a failing zone's service.
const evaluationIntervalMS = 500

// evaluate works out the views of all zones from the reports.
func (m *Monitor) evaluate(now uint64, state *State, fleet *membership.State, without Guard) {
	if m.startedAt == 0 {
		m.startedAt = now
	}
	m.heartbeatMS = HeartbeatIntervalMS(len(fleet.Nodes()))
	m.evaluatedAt = now
	m.dropUnknownNodes(fleet)

	views, loads := m.groupReports(now, fleet)
	m.views = m.views[:0]
	for _, name := range sortedKeys(views) {
		view := views[name]
		if before := m.viewsByZone[name]; before != nil {
			view.inherit(before)
		} else if zone := state.Find(name); zone != nil { // what the leader before had learned
			view.observed, view.stored, view.storedAt = zone.Capacity, zone.Capacity, now
		}
		view.aggregate(loads[name])
		m.views = append(m.views, view)
	}
	m.viewsByZone = views
	m.fleetView = sumViews(m.views, m.fleetView)
	m.chooseProbes(now, fleet)
	for _, view := range m.views {
		m.score(now, state, view, without)
	}
}

func (m *Monitor) dropUnknownNodes(fleet *membership.State) {
	for name := range m.reports { // each is judged alone, whatever the order
		if fleet.Lookup(name) == nil {
			delete(m.reports, name)
		}
	}
}

// groupReports counts each zone's nodes, and gathers the reports that count.
func (m *Monitor) groupReports(now uint64, fleet *membership.State) (map[string]*View, map[string][]*api.LoadReport) {
	views, loads := map[string]*View{}, map[string][]*api.LoadReport{}
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
		report, heard := m.reportOf(node), m.startedAt
		if report != nil {
			heard = max(heard, report.receivedAt)
		}
		if now-heard > m.silentAfterMS() {
			view.NodesSilent++
		}
		if m.isFresh(now, report) && report.hasLoad {
			view.NodesReporting++
			loads[node.Zone] = append(loads[node.Zone], &report.load)
		}
	}
	return views, loads
}

// demandDecay is what is left, after an evaluation, of the highest demand seen. While callers move from one zone to
// another reports miss some of them on both sides, so a lower demand is believed only after some ten seconds; slower
// would hold retries back for a demand that has ended.
const demandDecay = 0.97

// sumViews adds up the zones to a view of the fleet. Times are weighted by runs.
func sumViews(views []*View, before *View) *View {
	all := &View{Zone: WholeFleet}
	if before != nil {
		all.demand = before.demand * demandDecay
		all.overloadedEvaluations, all.loads = before.overloadedEvaluations, shiftLoads(before.loads)
	}
	nodesWithKernel, runMS, callMS := 0, 0.0, 0.0
	for _, view := range views {
		all.add(view)
		runMS += view.RunRate * view.RunMS
		callMS += view.RunRate * view.CallMS
		if view.KernelsUp {
			nodesWithKernel += view.NodesIn
		}
	}
	all.demand = max(all.demand, all.FirstAttemptRate)
	if all.RunRate > 0 {
		all.RunMS, all.CallMS = runMS/all.RunRate, callMS/all.RunRate
	}
	all.KernelsUp = 2*nodesWithKernel >= all.NodesIn
	return all
}

// add sums counts and rates.
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

// median returns the middle of some figures, and sorts them.
func median(figures []float64) float64 {
	n := len(figures)
	if n == 0 {
		return 0
	}
	sort.Float64s(figures)
	if n%2 == 0 {
		return (figures[n/2-1] + figures[n/2]) / 2
	}
	return figures[n/2]
}
