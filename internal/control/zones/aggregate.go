package zones

import (
	"sort"

	"umberwinch/internal/control/api"
)

// minUtilization is the lowest core utilization that the capacity estimate assumes: a nearly idle node counts as able
// to do at most twenty times its present rate.
const minUtilization = 0.05

// aggregate sets the view's rates, times, symptom and arrivals from the load reports of the zone's nodes.
func (v *View) aggregate(reports []*api.LoadReport) {
	if len(reports) == 0 {
		return
	}
	groups := groupReports(reports)
	v.aggregateRates(groups)
	v.RunMS = medianOf(groups, func(r *api.LoadReport) float64 { return r.MeanRunMS })
	v.CallMS = medianOf(groups, func(r *api.LoadReport) float64 { return r.MeanCallMS })
	v.CallFailureRatio = medianOf(groups, func(r *api.LoadReport) float64 {
		return float64(r.FailedCalls) / max(1, float64(r.Calls))
	})
	kernelsConnected := 0
	for _, report := range reports {
		if report.KernelConnected {
			kernelsConnected++
		}
	}
	v.KernelsUp = 2*kernelsConnected >= len(reports)
	v.countUnhealthy(groups)
	v.arrivedByWeight = sumArrivedByWeight(reports)
}

// aggregateRates sets the zone's rates per second: the median per-node rate of the groups, times the number of nodes
// that are in.
func (v *View) aggregateRates(groups []reportGroup) {
	rate := func(count func(r *api.LoadReport) float64) float64 {
		perNode := make([]float64, 0, len(groups))
		for i := range groups {
			perSecond := count(&groups[i].LoadReport) * millisPerSecond / float64(groups[i].WindowMS)
			perNode = append(perNode, perSecond/float64(len(groups[i].nodes)))
		}
		return float64(v.NodesIn) * median(perNode)
	}
	v.FirstAttemptRate = rate(func(r *api.LoadReport) float64 { return float64(r.Arrived - r.Retries) })
	v.AdmittedRate = rate(func(r *api.LoadReport) float64 {
		return float64(max(0, r.Arrived-r.Retries-r.RejectedByZone))
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
		if r.RunsEnded == 0 { // a gauge, not a count: cancels rate's division by the window
			return float64(r.RunsInFlight) * float64(r.WindowMS) / millisPerSecond
		}
		return float64(r.RunsEnded) * r.MeanRunMS / millisPerSecond // Little's law
	})
}

func medianOf(groups []reportGroup, value func(r *api.LoadReport) float64) float64 {
	values := make([]float64, 0, len(groups))
	for i := range groups {
		values = append(values, value(&groups[i].LoadReport))
	}
	return median(values)
}

// sumArrivedByWeight sums the nodes' arrivals by priority weight, in ascending order of weight.
func sumArrivedByWeight(reports []*api.LoadReport) (arrivals []api.PriorityCount) {
	byWeight := map[float64]int{}
	for _, report := range reports {
		for _, count := range report.ArrivedByWeight {
			if count.Arrived > 0 && count.Weight >= 0 {
				byWeight[count.Weight] += count.Arrived
			}
		}
	}
	for weight, arrived := range byWeight {
		arrivals = append(arrivals, api.PriorityCount{Weight: weight, Arrived: arrived})
	}
	sort.Slice(arrivals, func(i, k int) bool { return arrivals[i].Weight < arrivals[k].Weight })
	return arrivals
}
