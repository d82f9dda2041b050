package api

import "math"

// Bounds of a plausible report. Nodes report every few seconds; the upper bounds are beyond what one machine can do.
const (
	minReportWindowMS = 200    // a shorter window has too few requests for a rate
	maxReportWindowMS = 60_000 // a longer window does not show the current load
	maxReportAmount   = 1e9    // of a time in ms, a number of cores or a sum of weights
	maxReportCount    = 1e7    // of requests, runs, calls or connections in a window, or its length in ms
)

// Plausible reports whether all values are possible. An implausible report is ignored, so that a node with a broken
// clock or counter can't cause a decision about its zone.
func (l *LoadReport) Plausible() bool {
	amounts := []float64{l.OfferedWeight, l.CompletedWeight, l.Cores, l.CoresUsed, l.MeanRunMS, l.MeanCallMS}
	for _, amount := range amounts {
		if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 || amount > maxReportAmount {
			return false
		}
	}
	counts := []int{l.WindowMS, l.Arrived, l.Retries, l.RejectedByZone, l.Completed, l.Late, l.Shed, l.Failed,
		l.RunsEnded, l.Calls, l.FailedCalls, l.ConnectionsOpened, l.RunsInFlight}
	for _, count := range counts {
		if count < 0 || count > maxReportCount {
			return false
		}
	}
	return l.WindowMS >= minReportWindowMS && l.WindowMS <= maxReportWindowMS && l.FailedCalls <= l.Calls &&
		len(l.ArrivedByWeight) <= MaxPriorityCounts && l.Cores > 0
}
