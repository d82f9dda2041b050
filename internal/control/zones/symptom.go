package zones

import (
	"fmt"

	"umberwinch/internal/control/api"
)

// Symptom is a node's main failure, as its report shows it. The values are stored and shown, so their spelling must
// not change.
type Symptom string

// Symptoms. symptomNone is a healthy node.
const (
	symptomNone      Symptom = ""
	symptomKernel    Symptom = "kernels" // no connection to a kernel, or stalled runs
	symptomCallsFail Symptom = "calls below that fail"
	symptomCallsSlow Symptom = "calls below that crawl"
	symptomRunsFail  Symptom = "runs that fail"
	symptomRunsLate  Symptom = "lateness"
	symptomRunsSlow  Symptom = "slowness" // much longer than observed while healthy
)

// symptoms in order of precedence among equally frequent ones.
var symptoms = []Symptom{symptomKernel, symptomCallsFail, symptomRunsFail, symptomCallsSlow, symptomRunsLate,
	symptomRunsSlow}

// isSlowness reports whether the symptom is slowness or lateness only, as of services that are cold.
func (s Symptom) isSlowness() bool {
	return s == symptomCallsSlow || s == symptomRunsSlow || s == symptomRunsLate
}

const (
	// A time is slow above slowFactor times the observed one plus slowMarginMS. Load alone does not slow a run that
	// much, as run slots are bounded; the margin keeps times of about a millisecond from counting.
	slowFactor   = 3.0
	slowMarginMS = 5
	// minFailedRatio is the part of calls or outcomes from which failures are a symptom.
	minFailedRatio = 0.3
	// minSamples is the least number of runs or calls, minOutcomes that of responses, to judge a node by.
	minSamples  = 3
	minOutcomes = 5
	// Runs are stalled if they hold all cores and none ended in a window of stallWindowMS or more, which is also
	// longer than stallFactor times the observed run time.
	stallWindowMS = 900
	stallFactor   = 4
	// atCapacityFraction of the observed run rate: a slow zone that completes this much is overloaded, not failing.
	atCapacityFraction = 0.7
)

// symptomOf returns a node's symptom by its report and the zone's observed times. Symptoms closer to the cause come
// first: failed calls make runs fail or late. Without an observed time nothing is slow.
func (v *View) symptomOf(report *api.LoadReport) Symptom {
	outcomes := report.Completed + report.Late + report.Failed
	switch {
	case !report.KernelConnected:
		return symptomKernel
	case report.Calls >= minSamples && float64(report.FailedCalls) >= minFailedRatio*float64(report.Calls):
		return symptomCallsFail
	case v.isStalled(report):
		return symptomKernel
	case report.Calls >= minSamples && isSlow(report.MeanCallMS, v.observed.CallMS):
		return symptomCallsSlow // before failed runs, which slow calls may cause
	case outcomes >= minOutcomes && float64(report.Failed) >= minFailedRatio*float64(outcomes):
		return symptomRunsFail
	case outcomes >= minOutcomes && float64(report.Late+report.Failed) >= minFailedRatio*float64(outcomes):
		return symptomRunsLate
	case report.RunsEnded >= minSamples && isSlow(report.MeanRunMS, v.observed.RunMS):
		return symptomRunsSlow
	}
	return symptomNone
}

// isStalled reports whether runs hold all cores and none ends. A stalled kernel keeps its connection, so
// KernelConnected does not show it.
func (v *View) isStalled(report *api.LoadReport) bool {
	observedRunMS := v.observed.RunMS
	return float64(report.RunsInFlight) >= report.Cores && report.RunsEnded == 0 && report.WindowMS >= stallWindowMS &&
		observedRunMS > 0 && float64(report.WindowMS) > stallFactor*observedRunMS
}

func isSlow(ms, observedMS float64) bool {
	return observedMS > 0 && ms > slowFactor*observedMS+slowMarginMS
}

// countUnhealthy counts the unhealthy nodes: each by its own report, and all nodes of a pool whose combined report
// shows a symptom that their own reports are too small to show.
func (v *View) countUnhealthy(pools []reportGroup) {
	counts := map[Symptom]int{}
	var failedRatios []float64
	for i := range pools {
		pool := &pools[i]
		failedRatios = append(failedRatios, float64(pool.Failed)/float64(max(1, pool.Completed+pool.Late+pool.Failed)))
		pooledSymptom := symptomNone
		if len(pool.nodes) > 1 && pool.KernelConnected {
			pooledSymptom = v.symptomOf(&pool.LoadReport)
		}
		for _, report := range pool.nodes {
			symptom := v.symptomOf(report)
			if symptom == symptomNone {
				symptom = pooledSymptom
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
	v.discountOverload(median(failedRatios))
}

// discountOverload counts a slow zone as healthy if it completes nearly its observed run rate: it is overloaded, and
// an evacuation would lose that work. failedRatio is the ratio of runs that fail.
func (v *View) discountOverload(failedRatio float64) {
	completedRate := v.RunRate * (1 - failedRatio)
	if !v.Symptom.isSlowness() || v.observed.RunRate <= 0 || completedRate < atCapacityFraction*v.observed.RunRate {
		return
	}
	v.Note = fmt.Sprintf("%d of %d nodes heard are slow (%s), but it does %.0f runs a second "+
		"and bore %.0f: busy, not sick",
		v.NodesUnhealthy, v.NodesReporting, v.Symptom, v.RunRate, v.observed.RunRate)
	v.NodesUnhealthy, v.Symptom, v.atCapacity = 0, symptomNone, true
}
