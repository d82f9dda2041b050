package zones

import "umberwinch/internal/control/api"

const (
	// targetPoolRuns is the number of ended runs that a pool should have in a report's window, to give a rate and a
	// ratio of failures.
	targetPoolRuns = 8
	// minPools is the least number of pools of a zone, so that a few nodes with wrong reports don't reach half of the
	// pools.
	minPools = 9
	// minUnpooledRuns is the average number of runs per node from which reports are not pooled.
	minUnpooledRuns = targetPoolRuns / 2
)

// pooledReport combines the reports of some nodes: counts are sums, times are weighted by the runs or calls that they
// describe, WindowMS is the mean.
type pooledReport struct {
	api.LoadReport
	nodes []*api.LoadReport
}

// poolReports combines reports until each pool has about targetPoolRuns runs, in at least minPools pools.
//
// Where a node handles few requests in a window, as in a large fleet or at a small share, most reports have no run in
// them, and neither has their median. A zone of fewer than twice minPools nodes is not pooled, as two in five wrong
// reports must not reach every pool.
func poolReports(reports []*api.LoadReport) []pooledReport {
	pools := make([]pooledReport, poolCount(reports))
	for i, report := range reports {
		pool := &pools[i%len(pools)]
		pool.nodes = append(pool.nodes, report)
	}
	for i := range pools {
		pools[i].combine()
	}
	return pools
}

func poolCount(reports []*api.LoadReport) int {
	nodes := len(reports)
	if nodes < 2*minPools {
		return nodes
	}
	runsPerNode := 0.0
	// capped per node, so that a few wrong reports don't decide the average
	for _, report := range reports {
		runsPerNode += min(targetPoolRuns, float64(report.RunsEnded)) / float64(nodes)
	}
	if runsPerNode >= minUnpooledRuns {
		return nodes
	}
	return max(minPools, int(float64(nodes)*runsPerNode/targetPoolRuns))
}

func (p *pooledReport) combine() {
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
func (p *pooledReport) add(report *api.LoadReport) {
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
