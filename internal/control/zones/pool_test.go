package zones

import (
	"hash/crc32"
	"testing"

	"umberwinch/internal/control/api"
)

// TestPooledReports: in a fleet of thousands each node sees next to nothing, so the median report has no run in it,
// and a zone would look idle. Pooled reports tell what the nodes see together, a few nodes that report nonsense move
// them little, and the nodes of a small zone stand for themselves.
func TestPooledReports(t *testing.T) {
	report := func(i int, perNode float64) *api.LoadReport {
		runs := int(perNode) // and one more for some
		if float64(crc32.ChecksumIEEE([]byte{byte(i), byte(i >> 8)}))/(1<<32) < perNode-float64(runs) {
			runs++
		}
		return &api.LoadReport{WindowMS: 2000, KernelConnected: true, Cores: 4, CoresUsed: 0.1, RunsEnded: runs,
			Arrived: 3 * runs, Completed: runs, MeanRunMS: 50 * min(1, float64(runs)),
			Calls: runs, MeanCallMS: 20 * min(1, float64(runs))}
	}
	for _, c := range []struct {
		n    int
		each float64
	}{{5000, 0.07}, {1667, 0.5}, {300, 3}, {300, 40}, {5, 12}} {
		var all []*api.LoadReport
		for i := range c.n {
			all = append(all, report(i, c.each))
		}
		v := &View{NodesIn: c.n}
		v.aggregate(all)
		want := float64(c.n) * c.each / 2
		if v.RunRate < 0.7*want || v.RunRate > 1.35*want || v.RunMS < 45 || v.RunMS > 55 || v.CallMS < 18 ||
			v.Concurrency < 0.75*want*0.05 ||
			v.Concurrency > 1.35*want*0.05 {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, %.1f ms, %.2f under way; "+
				"expected %.1f, 50, %.2f", c.n, c.each, v.RunRate,
				v.RunMS, v.Concurrency, want, want*0.05)
		}
		before := v.RunRate
		for i := range c.n / 200 { // one in two hundred lies
			all[i*200].RunsEnded, all[i*200].MeanRunMS = 10_000, 1
		}
		v.aggregate(all)
		if c.n >= 300 && (v.RunRate > 3*before+1 || v.RunRate < before/3) {
			t.Errorf("%d nodes with %.2f runs each: %.1f runs a second, and %.1f once a few lie", c.n, c.each,
				before, v.RunRate)
		}
	}
	if got := len(poolReports(idleReports(17))); got != 17 {
		t.Errorf("17 nodes in %d pools, expected each alone", got)
	}
}

// idleReports are those of nodes that saw nothing.
func idleReports(n int) (all []*api.LoadReport) {
	for range n {
		all = append(all, &api.LoadReport{WindowMS: 2000})
	}
	return all
}
