package api

import "math"

// Bounds of a report that can be true. A node reports every second or few; one that counts more than a machine can do
// lies.
const (
	minReportWindowMS = 200    // ms: a shorter window holds too few requests to tell a rate
	maxReportWindowMS = 60_000 // ms: an older one says nothing of now
	maxReportAmount   = 1e9    // of a time in ms, a number of cores or a sum of priority weights
	maxReportCount    = 1e7    // requests, runs, calls or connections in one window
)

// Plausible reports whether a report can be true. One that can't is ignored, as if none had come: a node with a broken
// clock or counter must not decide about its zone.
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
