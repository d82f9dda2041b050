package zones

import (
	"sort"

	"umberwinch/internal/control/api"
)

// minUtilization: a core never quite idles. Under a twentieth a node is taken to be able to do twenty times what it
// does; less would let a node that is hardly used promise any capacity.
const minUtilization = 0.05

// aggregate makes a view of the reports of a zone's nodes.
func (v *View) aggregate(reports []*api.LoadReport) {
	if len(reports) == 0 {
		return
	}
	pools := poolReports(reports)
	v.aggregateRates(pools)
	v.RunMS = medianOf(pools, func(r *api.LoadReport) float64 { return r.MeanRunMS })
	v.CallMS = medianOf(pools, func(r *api.LoadReport) float64 { return r.MeanCallMS })
	v.CallFailureRatio = medianOf(pools, func(r *api.LoadReport) float64 {
		return float64(r.FailedCalls) / max(1, float64(r.Calls))
	})
	withKernel := 0
	for _, report := range reports {
		if report.KernelConnected {
			withKernel++
		}
	}
	v.KernelsUp = 2*withKernel >= len(reports)
	v.countUnhealthy(pools)
	v.arrivedByWeight = sumArrivedByWeight(reports)
}

// aggregateRates returns what the zone does a second: the median pool's rate for a node, times the nodes that are in.
func (v *View) aggregateRates(pools []pooledReport) {
	rate := func(amount func(r *api.LoadReport) float64) float64 {
		figures := make([]float64, 0, len(pools))
		for i := range pools {
			perSecond := amount(&pools[i].LoadReport) * millisPerSecond / float64(pools[i].WindowMS)
			figures = append(figures, perSecond/float64(len(pools[i].nodes)))
		}
		return float64(v.NodesIn) * median(figures)
	}
	v.FirstAttemptRate = rate(func(r *api.LoadReport) float64 { return float64(r.Arrived - r.Retries) })
	v.AdmittedRate = rate(func(r *api.LoadReport) float64 {
		return float64(max(0,
			r.Arrived-r.Retries-r.RejectedByZone))
	})
	v.RejectedRate = rate(func(r *api.LoadReport) float64 { return float64(r.RejectedByZone) })
	v.RunRate = rate(func(r *api.LoadReport) float64 { return float64(r.RunsEnded) })
	v.OfferedWeight = rate(func(r *api.LoadReport) float64 { return r.OfferedWeight })
	v.CompletedWeight = rate(func(r *api.LoadReport) float64 { return r.CompletedWeight })
	v.ConnectionRate = rate(func(r *api.LoadReport) float64 { return float64(r.ConnectionsOpened) })
	v.RunCapacity = rate(func(r *api.LoadReport) float64 {
		return float64(r.RunsEnded) / min(1, max(minUtilization, r.CoresUsed/r.Cores))
	})
	v.Concurrency = rate(func(r *api.LoadReport) float64 {
		if r.RunsEnded == 0 { // what is in flight is no rate: undo the division by the window
			return float64(r.RunsInFlight) * float64(r.WindowMS) / millisPerSecond
		}
		return float64(r.RunsEnded) * r.MeanRunMS / millisPerSecond // Little's law
	})
}

func medianOf(pools []pooledReport, figure func(r *api.LoadReport) float64) float64 {
	figures := make([]float64, 0, len(pools))
	for i := range pools {
		figures = append(figures, figure(&pools[i].LoadReport))
	}
	return median(figures)
}

// sumArrivedByWeight adds up what arrived by priority weight, the least first.
func sumArrivedByWeight(reports []*api.LoadReport) (mix []api.PriorityCount) {
	byWeight := map[float64]int{}
	for _, report := range reports {
		for _, count := range report.ArrivedByWeight {
			if count.Arrived > 0 && count.Weight >= 0 {
				byWeight[count.Weight] += count.Arrived
			}
		}
	}
	for weight, arrived := range byWeight {
		mix = append(mix, api.PriorityCount{Weight: weight, Arrived: arrived})
	}
	sort.Slice(mix, func(i, k int) bool { return mix[i].Weight < mix[k].Weight })
	return mix
}
