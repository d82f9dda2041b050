package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// Symptom is what ails a node, as its report shows it. The values are stored and shown: their spelling stays.
type Symptom string

// Symptoms; symptomNone: healthy.
const (
	symptomNone      Symptom = ""
	symptomKernel    Symptom = "kernels" // no link, or runs that stall
	symptomCallsFail Symptom = "calls below that fail"
	symptomCallsSlow Symptom = "calls below that crawl"
	symptomRunsFail  Symptom = "runs that fail"
	symptomRunsLate  Symptom = "lateness"
	symptomRunsSlow  Symptom = "slowness" // far longer than usual
)

// symptoms in the order in which one of two that are as frequent is named.
var symptoms = []Symptom{symptomKernel, symptomCallsFail, symptomRunsFail, symptomCallsSlow, symptomRunsLate,
	symptomRunsSlow}

// isSlowness reports whether this is what a service shows that has just come back: slow, and nothing else.
func (s Symptom) isSlowness() bool {
	return s == symptomCallsSlow || s == symptomRunsSlow || s == symptomRunsLate
}

const (
	// slowFactor: three times the usual is past what load alone does to a run while its run slots are bounded.
	slowFactor = 3.0
	// slowMarginMS: what usually takes a millisecond is not slow at four.
	slowMarginMS = 5
	// minFailedShare: three in ten is past what chance shows in ten samples.
	minFailedShare = 0.3
	// minSamples and minOutcomes: fewer runs or calls, and fewer answers, tell nothing of a node.
	minSamples  = 3
	minOutcomes = 5
	// Runs stall if none ended in stallWindowMS, nor in stallFactor times what one usually takes, while all cores
	// hold one. A shorter time would take a slow run for a stalled kernel.
	stallWindowMS = 900
	stallFactor   = 4
	// atCapacityFraction: a zone that is slow and does so much of what it bore is overloaded, not failing: to evacuate it
	// would lose that.
	atCapacityFraction = 0.7
)

// symptomOf decides what ails a node, by one report.
//
// Inputs: the report (counts over WindowMS, times in ms), and what a run and a call of the zone usually take.
// Symptoms nearer to the cause come first: runs fail or are late for want of calls below. Where nothing usual is
// known yet nothing is slow.
func (v *View) symptomOf(report *api.LoadReport) Symptom {
	ended := report.Completed + report.Late + report.Failed
	switch {
	case !report.KernelConnected:
		return symptomKernel
	case report.Calls >= minSamples && float64(report.FailedCalls) >= minFailedShare*float64(report.Calls):
		return symptomCallsFail
	case v.isStalled(report):
		return symptomKernel
	case report.Calls >= minSamples && isSlow(report.MeanCallMS, v.observed.CallMS):
		return symptomCallsSlow // runs fail for want of them, in one zone sooner than in another
	case ended >= minOutcomes && float64(report.Failed) >= minFailedShare*float64(ended):
		return symptomRunsFail
	case ended >= minOutcomes && float64(report.Late+report.Failed) >= minFailedShare*float64(ended):
		return symptomRunsLate
	case report.RunsEnded >= minSamples && isSlow(report.MeanRunMS, v.observed.RunMS):
		return symptomRunsSlow
	}
	return symptomNone
}

// isStalled reports whether runs hold all cores and none ends. A stalled kernel keeps its connection, so its link shows
// nothing.
func (v *View) isStalled(report *api.LoadReport) bool {
	usual := v.observed.RunMS
	return float64(report.RunsInFlight) >= report.Cores && report.RunsEnded == 0 && report.WindowMS >= stallWindowMS &&
		usual > 0 && float64(report.WindowMS) > stallFactor*usual
}

func isSlow(ms, usual float64) bool { return usual > 0 && ms > slowFactor*usual+slowMarginMS }

// countUnhealthy counts the nodes that are unhealthy: each by its own report, and all of a pool that shows it where
// their reports alone say too little.
func (v *View) countUnhealthy(pools []pooledReport) {
	counts := map[Symptom]int{}
	var failed []float64
	for i := range pools {
		pool := &pools[i]
		failed = append(failed, float64(pool.Failed)/float64(max(1, pool.Completed+pool.Late+pool.Failed)))
		together := symptomNone
		if len(pool.nodes) > 1 && pool.KernelConnected {
			together = v.symptomOf(&pool.LoadReport)
		}
		for _, report := range pool.nodes {
			symptom := v.symptomOf(report)
			if symptom == symptomNone {
				symptom = together
			}
			if symptom != symptomNone {
				v.NodesUnhealthy++
				counts[symptom]++
			}
		}
	}
	for _, symptom := range symptoms {
		if counts[symptom] > counts[v.Symptom] {
			v.Symptom = symptom
		}
	}
	v.discountOverload(median(failed))
}

// discountOverload takes a zone that is slow but does nearly what it bore for healthy: it is asked for more than it
// bears, and to evacuate it would lose what it does. failed is the share of runs that fail: those are not done.
func (v *View) discountOverload(failed float64) {
	done := v.RunRate * (1 - failed)
	if !v.Symptom.isSlowness() || v.observed.RunRate <= 0 || done < atCapacityFraction*v.observed.RunRate {
		return
	}
	v.Note = fmt.Sprintf("%d of %d nodes heard are slow (%s), but it does %.0f runs a second "+
		"and bore %.0f: busy, not sick",
		v.NodesUnhealthy, v.NodesReporting, v.Symptom, v.RunRate, v.observed.RunRate)
	v.NodesUnhealthy, v.Symptom, v.atCapacity = 0, symptomNone, true
}
