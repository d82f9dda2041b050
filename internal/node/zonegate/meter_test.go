package zonegate

import (
	"testing"
)

// TestReportWindow guards against a report with counts older than two seconds, which would hide a failure, or with only
// part of them.
func TestReportWindow(t *testing.T) {
	m := NewMeter(10_000, []float64{1, 20})
	for now := uint64(10_000); now < 20_000; now += 10 {
		m.RequestAdmitted(now, int(now/10)%2, now%100 == 0)
		m.RequestAnswered(now, 1, 200, true)
		m.RunEnded(now, 8)
		m.CallEnded(now, 4, now%50 == 0)
		m.CoresSampled(now, 2)
	}
	r := m.Report(20_000, true, 4, 3)
	if r.WindowMS < 1700 || r.WindowMS > 2000 || r.Arrived < 170 || r.Arrived > 200 || r.Retries != r.Arrived/10 &&
		r.Retries != r.Arrived/10+1 || r.MeanRunMS != 8 ||
		r.MeanCallMS != 4 || r.CoresUsed != 2 || r.Completed != r.RunsEnded || r.RunsInFlight != 3 ||
		len(r.ArrivedByWeight) != 2 || !r.Plausible() || !m.Healthy(20_000, 0) {
		t.Errorf("Report() under constant load = %+v", r)
	}
	m.RequestAnswered(29_000, 0, 500, true)
	m.RequestAnswered(29_000, 0, 500, false)
	m.RequestAnswered(29_000, 0, 200, false)
	if r = m.Report(29_900, true, 4, 0); r.Failed != 1 || r.Late != 2 {
		t.Errorf("Failed = %d, Late = %d, want 1 failed before its deadline and 2 past theirs", r.Failed, r.Late)
	}
	if r = m.Report(39_000, true, 4, 0); r.Arrived != 0 || r.RunsEnded != 0 || !m.Healthy(39_000, 0) ||
		m.Healthy(39_000, 1) {
		t.Errorf("Report() ten seconds later = %+v, want no requests and runs, healthy only without runs in flight", r)
	}
}
