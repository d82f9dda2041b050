package zonegate

import (
	"sort"

	"umberwinch/internal/control/api"
)

// Report returns the load of the last two seconds, for a heartbeat. cores is the number of cores that the node may use,
// inFlight the number of runs,
// kernelConnected whether the process that executes runs is connected.
func (m *Meter) Report(now uint64, kernelConnected bool, cores float64, inFlight int) *api.LoadReport {
	m.slot(now)
	report := &api.LoadReport{KernelConnected: kernelConnected, Cores: cores, RunsInFlight: inFlight}
	// The window is the complete slots and the elapsed part of the newest one.
	window := (meterSlots-1)*slotMS + now%slotMS
	report.WindowMS = int(min(window, max(now-m.startedAt, 1)))
	var total meterSlot
	for i := range m.slots {
		total.add(&m.slots[i])
	}
	total.fillReport(report)
	report.ArrivedByWeight = m.arrivedByWeight()
	return report
}

func (s *meterSlot) add(other *meterSlot) {
	s.arrived += other.arrived
	s.retries += other.retries
	s.rejected += other.rejected
	s.completed += other.completed
	s.late += other.late
	s.shed += other.shed
	s.failed += other.failed
	s.runs += other.runs
	s.calls += other.calls
	s.failedCalls += other.failedCalls
	s.connections += other.connections
	s.coreSamples += other.coreSamples
	s.offeredWeight += other.offeredWeight
	s.completedWeight += other.completedWeight
	s.runMS += other.runMS
	s.callMS += other.callMS
	s.coresUsed += other.coresUsed
}

func (s *meterSlot) fillReport(report *api.LoadReport) {
	report.Arrived, report.Retries, report.RejectedByZone = s.arrived, s.retries, s.rejected
	report.Completed, report.Late, report.Shed, report.Failed = s.completed, s.late, s.shed, s.failed
	report.RunsEnded, report.Calls, report.FailedCalls = s.runs, s.calls, s.failedCalls
	report.ConnectionsOpened = s.connections
	report.OfferedWeight, report.CompletedWeight = s.offeredWeight, s.completedWeight
	report.CoresUsed = mean(s.coresUsed, s.coreSamples)
	report.MeanRunMS = mean(s.runMS, s.runs)
	report.MeanCallMS = mean(s.callMS, s.calls)
}

func mean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// arrivedByWeight sums first attempts by priority weight, in ascending order. A report holds at most
// api.MaxPriorityCounts weights: the lowest ones beyond that are added to the lowest weight reported.
func (m *Meter) arrivedByWeight() (counts []api.PriorityCount) {
	byWeight := map[float64]int{}
	for i := range m.slots {
		for handler, arrived := range m.slots[i].firstAttempts {
			if arrived > 0 {
				byWeight[m.weights[handler]] += arrived
			}
		}
	}
	for weight, arrived := range byWeight {
		counts = append(counts, api.PriorityCount{Weight: weight, Arrived: arrived})
	}
	sort.Slice(counts, func(i, k int) bool { return counts[i].Weight < counts[k].Weight })
	excess := len(counts) - api.MaxPriorityCounts
	if excess <= 0 {
		return counts
	}
	for _, lowest := range counts[:excess] {
		counts[excess].Arrived += lowest.Arrived
	}
	return counts[excess:]
}
