package zones

import "umberwinch/internal/control/api"

const (
	// targetPoolRuns is how many runs a pool should see in a report's time: fewer tell neither a rate nor a share of
	// failures.
	targetPoolRuns = 8
	// minPools of a zone: with fewer, some nodes that report nonsense could reach half of them.
	minPools = 9
	// minUnpooledRuns a node, on the average, need no pooling.
	minUnpooledRuns = targetPoolRuns / 2
)

// pooledReport is some nodes' reports as one: counts are sums, times are weighted by what they are of, WindowMS is
// the mean.
type pooledReport struct {
	api.LoadReport
	nodes []*api.LoadReport
}

// poolReports puts nodes' reports together until each pool sees targetPoolRuns runs, in minPools at least; where nodes see enough
// each is a pool.
//
// Where a node sees a few requests in a report's time, as each of thousands does, or all do at a small share, most
// reports have no run in them, and so has their median. A zone of fewer than twice minPools nodes is not pooled: two
// in five that report nonsense must not reach every pool.
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
	// none counts for more than is enough: a few that report nonsense don't decide what is
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
	withKernel := 0
	for _, report := range p.nodes {
		p.add(report)
		if report.KernelConnected {
			withKernel++
		}
	}
	p.WindowMS /= len(p.nodes)
	p.MeanRunMS /= float64(max(1, p.RunsEnded))
	p.MeanCallMS /= float64(max(1, p.Calls))
	p.KernelConnected = 2*withKernel >= len(p.nodes)
}

// add sums a report up; the means are sums of times until combine divides them.
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
