package zones

import (
	"sort"

	"umberwinch/internal/control/api"
)

// Meter counts what a node reports of itself: fixed buckets in a ring, the last two seconds and what goes on.
type Meter struct {
	values  []float64 // of handlers
	buckets [meterSlots]meterBucket
	at      uint64 // number of the bucket in use, counted from time 0
	born    uint64
}

// Two seconds of four buckets each: some reports' time, so that the next one has most of what the last one had and a
// change shows within a second.
const (
	meterSlots = 8
	meterMS    = 250
)

type meterBucket struct {
	came, again, turned, done, late, shed, errored, runs, calls, bad, opened, gauges int
	worth, got, runMS, callMS, onCores                                               float64
	mix                                                                              []int
}

// NewMeter counts for handlers of these values.
func NewMeter(now uint64, values []float64) *Meter {
	m := &Meter{at: now / meterMS, born: now}
	m.SetValues(values)
	return m
}

// SetValues takes other values of the same handlers.
func (m *Meter) SetValues(values []float64) {
	m.values = values
	for i := range m.buckets {
		if len(m.buckets[i].mix) != len(values) {
			m.buckets[i].mix = make([]int, len(values))
		}
	}
}

func (m *Meter) slot(now uint64) *meterBucket {
	for n := now / meterMS; m.at < n; {
		if n-m.at > meterSlots {
			m.at = n - meterSlots
		}
		m.at++
		b := &m.buckets[m.at%meterSlots]
		mix := b.mix
		clear(mix)
		*b = meterBucket{mix: mix}
	}
	return &m.buckets[m.at%meterSlots]
}

// RequestArrived counts a req that was read; turned tells that the zone's order turned it away.
func (m *Meter) RequestArrived(now uint64, handler int, again, turned bool) {
	b := m.slot(now)
	b.came++
	if turned {
		b.turned++
	}
	if again {
		b.again++
		return
	}
	b.worth += m.values[handler]
	b.mix[handler]++
}

// RequestAnswered counts an answer. What was given up past its target is late, whatever it was answered: a service that is slow
// ends as errors too, and must not look like one that fails.
func (m *Meter) RequestAnswered(now uint64, handler, status int, inTime bool) {
	b := m.slot(now)
	switch {
	case status == 200 && inTime:
		b.done++
		b.got += m.values[handler]
	case status == 503:
		b.shed++
	case status == 200 || !inTime:
		b.late++
	default:
		b.errored++
	}
}

// RunEnded counts a run that ended, Called a call that was answered or given up; bad are those that were answered with an error or
// not taken. One given up took its time at least, and nobody knows how it would have ended.
func (m *Meter) RunEnded(now uint64, ms float64) {
	b := m.slot(now)
	b.runs++
	b.runMS += ms
}

func (m *Meter) CallEnded(now uint64, ms float64, bad bool) {
	b := m.slot(now)
	b.calls++
	b.callMS += ms
	if bad {
		b.bad++
	}
}

// ConnectionOpened counts a connection below, Gauged takes what the cores did.
func (m *Meter) ConnectionOpened(now uint64) { m.slot(now).opened++ }
func (m *Meter) CoresSampled(now uint64, onCores float64) {
	b := m.slot(now)
	b.gauges++
	b.onCores += onCores
}

// Healthy tells whether the node's own reqs go well: nine in ten of those it took were done in time. Where none ended and none
// is under way nothing shows harm: a node of which hardly anything is asked must not wait for ever for a sign.
func (m *Meter) Healthy(now uint64, out int) bool {
	l := m.Report(now, true, 1, out)
	ended := l.Completed + l.Late + l.Failed
	return ended == 0 && out == 0 || 10*l.Completed >= 9*ended && ended > 0
}

// Report gives the report.
func (m *Meter) Report(now uint64, kernel bool, cores float64, out int) *api.LoadReport {
	m.slot(now)
	l := &api.LoadReport{KernelConnected: kernel, Cores: cores, RunsInFlight: out}
	// The bucket in use is not over yet: what lies before it, and as much of it as there is.
	l.WindowMS = int(min((meterSlots-1)*meterMS+now%meterMS, max(now-m.born, 1)))
	gauges, runMS, callMS, onCores := 0, 0.0, 0.0, 0.0
	mix := map[float64]int{}
	for i := range m.buckets {
		b := &m.buckets[i]
		l.Arrived, l.Retries, l.RejectedByZone = l.Arrived+b.came, l.Retries+b.again, l.RejectedByZone+b.turned
		l.Completed, l.Late, l.Shed, l.Failed = l.Completed+b.done, l.Late+b.late, l.Shed+b.shed, l.Failed+b.errored
		l.RunsEnded, l.Calls, l.FailedCalls, l.ConnectionsOpened = l.RunsEnded+b.runs, l.Calls+b.calls, l.FailedCalls+b.bad, l.ConnectionsOpened+b.opened
		l.OfferedWeight, l.CompletedWeight = l.OfferedWeight+b.worth, l.CompletedWeight+b.got
		gauges, runMS, callMS, onCores = gauges+b.gauges, runMS+b.runMS, callMS+b.callMS, onCores+b.onCores
		for h, n := range b.mix {
			if n > 0 {
				mix[m.values[h]] += n
			}
		}
	}
	if gauges > 0 {
		l.CoresUsed = onCores / float64(gauges)
	}
	if l.RunsEnded > 0 {
		l.MeanRunMS = runMS / float64(l.RunsEnded)
	}
	if l.Calls > 0 {
		l.MeanCallMS = callMS / float64(l.Calls)
	}
	for value, came := range mix {
		l.ArrivedByWeight = append(l.ArrivedByWeight, api.PriorityCount{Weight: value, Arrived: came})
	}
	sort.Slice(l.ArrivedByWeight, func(i, k int) bool { return l.ArrivedByWeight[i].Weight < l.ArrivedByWeight[k].Weight })
	if len(l.ArrivedByWeight) > api.MaxPriorityCounts { // those of least value count as the least of the rest
		drop := len(l.ArrivedByWeight) - api.MaxPriorityCounts
		for _, w := range l.ArrivedByWeight[:drop] {
			l.ArrivedByWeight[drop].Arrived += w.Arrived
		}
		l.ArrivedByWeight = l.ArrivedByWeight[drop:]
	}
	return l
}
