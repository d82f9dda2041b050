package zonegate

import (
	"testing"
)

// TestReportWindow: a report that had older counts in it would hide a failure, and one with too few would tell
// nothing. It has the last two seconds, and nothing older.
func TestReportWindow(t *testing.T) {
	m := NewMeter(10_000, []float64{1, 20})
	for now := uint64(10_000); now < 20_000; now += 10 {
		m.RequestAdmitted(now, int(now/10)%2, now%100 == 0)
		m.RequestAnswered(now, 1, 200, true)
		m.RunEnded(now, 8)
		m.CallEnded(now, 4, now%50 == 0)
		m.CoresSampled(now, 2)
	}
	l := m.Report(20_000, true, 4, 3)
	if l.WindowMS < 1700 || l.WindowMS > 2000 || l.Arrived < 170 || l.Arrived > 200 || l.Retries != l.Arrived/10 &&
		l.Retries != l.Arrived/10+1 || l.MeanRunMS != 8 ||
		l.MeanCallMS != 4 || l.CoresUsed != 2 || l.Completed != l.RunsEnded || l.RunsInFlight != 3 ||
		len(l.ArrivedByWeight) != 2 || !l.Plausible() || !m.Healthy(20_000, 0) {
		t.Errorf("%+v", l)
	}
	m.RequestAnswered(29_000, 0, 500, true)
	m.RequestAnswered(29_000, 0, 500, false)
	m.RequestAnswered(29_000, 0, 200, false)
	if l = m.Report(29_900, true, 4, 0); l.Failed != 1 || l.Late != 2 {
		t.Errorf("%d errored and %d late, expected one that failed in its time, and two past it", l.Failed, l.Late)
	}
	if l = m.Report(39_000, true, 4, 0); l.Arrived != 0 || l.RunsEnded != 0 || !m.Healthy(39_000, 0) ||
		m.Healthy(39_000, 1) {
		t.Errorf("ten seconds later: %+v", l)
	}
}
