package zones

import (
	"hash/crc32"
	"testing"

	"umberwinch/internal/control/api"
)

// TestPooledReportsOfIdleNodes checks that pooled reports show the rate of a large zone in which most nodes report no
// run, that a few wrong reports change it little, and that a small zone is not pooled.
func TestPooledReportsOfIdleNodes(t *testing.T) {
	report := func(i int, perNode float64) *api.LoadReport {
		runs := int(perNode) // plus one for a part of the nodes
		if float64(crc32.ChecksumIEEE([]byte{byte(i), byte(i >> 8)}))/(1<<32) < perNode-float64(runs) {
			runs++
		}
		return &api.LoadReport{WindowMS: 2000, KernelConnected: true, Cores: 4, CoresUsed: 0.1, RunsEnded: runs,
			Arrived: 3 * runs, Completed: runs, MeanRunMS: 50 * min(1, float64(runs)),
			Calls: runs, MeanCallMS: 20 * min(1, float64(runs))}
	}
	for _, c := range []struct {
		nodes       int
		runsPerNode float64
	}{{5000, 0.07}, {1667, 0.5}, {300, 3}, {300, 40}, {5, 12}} {
		var reports []*api.LoadReport
		for i := range c.nodes {
			reports = append(reports, report(i, c.runsPerNode))
		}
		view := &View{NodesIn: c.nodes}
		view.aggregate(reports)
		wantRate := float64(c.nodes) * c.runsPerNode / 2
		if view.RunRate < 0.7*wantRate || view.RunRate > 1.35*wantRate || view.RunMS < 45 || view.RunMS > 55 ||
			view.CallMS < 18 || view.Concurrency < 0.75*wantRate*0.05 || view.Concurrency > 1.35*wantRate*0.05 {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, %.1f ms, %.2f in flight; "+
				"want %.1f, 50, %.2f", c.nodes, c.runsPerNode, view.RunRate, view.RunMS, view.Concurrency,
				wantRate, wantRate*0.05)
		}
		rateBefore := view.RunRate
		for i := range c.nodes / 200 { // one wrong report in two hundred
			reports[i*200].RunsEnded, reports[i*200].MeanRunMS = 10_000, 1
		}
		view.aggregate(reports)
		if c.nodes >= 300 && (view.RunRate > 3*rateBefore+1 || view.RunRate < rateBefore/3) {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, %.1f with a few wrong reports", c.nodes,
				c.runsPerNode, rateBefore, view.RunRate)
		}
	}
	if got := len(groupReports(idleReports(17))); got != 17 {
		t.Errorf("17 nodes in %d pools, want 17", got)
	}
}

// idleReports returns reports of nodes without requests.
func idleReports(n int) (reports []*api.LoadReport) {
	for range n {
		reports = append(reports, &api.LoadReport{WindowMS: 2000})
	}
	return reports
}
