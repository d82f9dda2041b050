package zones

import "umberwinch/internal/control/api"

const (
	// targetGroupRuns is the number of ended runs that a group should have in a report's window, to give a rate and a
	// ratio of failures.
	targetGroupRuns = 8
	// minGroups is the least number of report groups of a zone, so that a few nodes with wrong reports don't reach half
	// of the groups.
	minGroups = 9
	// minUngroupedRuns is the average number of runs per node from which reports are not grouped.
	minUngroupedRuns = targetGroupRuns / 2
)

// reportGroup combines the reports of some nodes: counts are sums, times are weighted by the runs or calls that they
// describe, WindowMS is the mean.
type reportGroup struct {
	api.LoadReport
	nodes []*api.LoadReport
}

// groupReports combines reports until each group has about targetGroupRuns runs, in at least minGroups pools.
//
// Where a node handles few requests in a window, as in a large fleet or at a small share, most reports have no run in
// them, and neither has their median. A zone of fewer than twice minGroups nodes is not grouped, as two in five wrong
// reports must not reach every group.
func groupReports(reports []*api.LoadReport) []reportGroup {
	groups := make([]reportGroup, groupCount(reports))
	for i, report := range reports {
		group := &groups[i%len(groups)]
		group.nodes = append(group.nodes, report)
	}
	for i := range groups {
		groups[i].combine()
	}
	return groups
}

func groupCount(reports []*api.LoadReport) int {
	nodes := len(reports)
	if nodes < 2*minGroups {
		return nodes
	}
	runsPerNode := 0.0
	// capped per node, so that a few wrong reports don't decide the average
	for _, report := range reports {
		runsPerNode += min(targetGroupRuns, float64(report.RunsEnded)) / float64(nodes)
	}
	if runsPerNode >= minUngroupedRuns {
		return nodes
	}
	return max(minGroups, int(float64(nodes)*runsPerNode/targetGroupRuns))
}

func (p *reportGroup) combine() {
	if len(p.nodes) == 1 {
		p.LoadReport = *p.nodes[0]
		return
	}
	kernelsConnected := 0
	for _, report := range p.nodes {
		p.add(report)
		if report.KernelConnected {
			kernelsConnected++
		}
	}
	p.WindowMS /= len(p.nodes)
	p.MeanRunMS /= float64(max(1, p.RunsEnded))
	p.MeanCallMS /= float64(max(1, p.Calls))
	p.KernelConnected = 2*kernelsConnected >= len(p.nodes)
}

// add adds a report's values; until combine divides them, the means are sums of times.
func (p *reportGroup) add(report *api.LoadReport) {
	p.WindowMS += report.WindowMS
	p.Arrived += report.Arrived
	p.Retries += report.Retries
	p.RejectedByZone += report.RejectedByZone
	p.Completed += report.Completed
	p.Late += report.Late
	p.Shed += report.Shed
	p.Failed += report.Failed
	p.RunsEnded += report.RunsEnded
	p.Calls += report.Calls
	p.FailedCalls += report.FailedCalls
	p.ConnectionsOpened += report.ConnectionsOpened
	p.RunsInFlight += report.RunsInFlight
	p.OfferedWeight += report.OfferedWeight
	p.CompletedWeight += report.CompletedWeight
	p.Cores += report.Cores
	p.CoresUsed += report.CoresUsed
	p.MeanRunMS += report.MeanRunMS * float64(report.RunsEnded)
	p.MeanCallMS += report.MeanCallMS * float64(report.Calls)
}
