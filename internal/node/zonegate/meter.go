package zonegate

// Meter measures a node's load over the last two seconds, in a ring of slots. All times are in milliseconds of a
// monotonic clock.
type Meter struct {
	weights     []float64 // priority weights, by handler
	slots       [meterSlots]meterSlot
	currentSlot uint64 // number of the newest slot, counted from time 0
	startedAt   uint64
}

const (
	// A report covers two seconds: at shorter heartbeat intervals, consecutive reports overlap.
	meterSlots = 8
	slotMS     = 250

	// HTTP status codes.
	statusOK   = 200
	statusShed = 503

	// Fraction of requests completed in time from which a node is healthy.
	healthyNumerator   = 9
	healthyDenominator = 10
)

// meterSlot holds the counts of slotMS.
type meterSlot struct {
	arrived, retries, rejected     int
	completed, late, shed, failed  int
	runs, calls, failedCalls       int
	connections, coreSamples       int
	offeredWeight, completedWeight float64
	runMS, callMS, coresUsed       float64
	firstAttempts                  []int // by handler
}

// NewMeter returns a meter for handlers with these priority weights.
func NewMeter(now uint64, weights []float64) *Meter {
	m := &Meter{currentSlot: now / slotMS, startedAt: now}
	m.SetWeights(weights)
	return m
}

// SetWeights replaces the priority weights of the handlers after a change of the policy.
func (m *Meter) SetWeights(weights []float64) {
	m.weights = weights
	for i := range m.slots {
		if len(m.slots[i].firstAttempts) != len(weights) {
			m.slots[i].firstAttempts = make([]int, len(weights))
		}
	}
}

// slot returns the slot of a time and clears those that have expired.
func (m *Meter) slot(now uint64) *meterSlot {
	number := now / slotMS
	if number > m.currentSlot+meterSlots {
		m.currentSlot = number - meterSlots
	}
	for m.currentSlot < number {
		m.currentSlot++
		slot := &m.slots[m.currentSlot%meterSlots]
		firstAttempts := slot.firstAttempts
		clear(firstAttempts)
		*slot = meterSlot{firstAttempts: firstAttempts}
	}
	return &m.slots[m.currentSlot%meterSlots]
}

// RequestAdmitted counts a request that the gate admitted.
func (m *Meter) RequestAdmitted(now uint64, handler int, isRetry bool) {
	m.slot(now).addArrival(handler, isRetry, m.weights)
}

// RequestRejected counts a request that the gate rejected.
func (m *Meter) RequestRejected(now uint64, handler int, isRetry bool) {
	slot := m.slot(now)
	slot.rejected++
	slot.addArrival(handler, isRetry, m.weights)
}

func (s *meterSlot) addArrival(handler int, isRetry bool, weights []float64) {
	s.arrived++
	if isRetry {
		s.retries++
		return
	}
	s.offeredWeight += weights[handler]
	s.firstAttempts[handler]++
}

// RequestAnswered counts a response by its HTTP status. An error past the deadline counts as late, not failed: a slow
// dependency must not look like a failing one.
func (m *Meter) RequestAnswered(now uint64, handler, status int, inTime bool) {
	slot := m.slot(now)
	switch {
	case status == statusOK && inTime:
		slot.completed++
		slot.completedWeight += m.weights[handler]
	case status == statusShed:
		slot.shed++
	case status == statusOK || !inTime:
		slot.late++
	default:
		slot.failed++
	}
}

// RunEnded counts a run that took ms.
func (m *Meter) RunEnded(now uint64, ms float64) {
	slot := m.slot(now)
	slot.runs++
	slot.runMS += ms
}

// CallEnded counts a call to a dependency that took ms. It failed if it was answered with an error or rejected. One
// that was given up did not, as its outcome is unknown; its time is counted.
func (m *Meter) CallEnded(now uint64, ms float64, failed bool) {
	slot := m.slot(now)
	slot.calls++
	slot.callMS += ms
	if failed {
		slot.failedCalls++
	}
}

// ConnectionOpened counts a connection opened to a dependency.
func (m *Meter) ConnectionOpened(now uint64) { m.slot(now).connections++ }

// CoresSampled adds a sample of the number of cores in use.
func (m *Meter) CoresSampled(now uint64, coresUsed float64) {
	slot := m.slot(now)
	slot.coreSamples++
	slot.coresUsed += coresUsed
}

// Healthy reports whether nine in ten of the requests that ended in the last two seconds, except shed ones, completed
// in time, for AdjustAutonomousShare. If none ended it is healthy while no run is in flight, so that the share of an
// idle node can grow. inFlight is the number of runs.
func (m *Meter) Healthy(now uint64, inFlight int) bool {
	report := m.Report(now, true, 1, inFlight)
	ended := report.Completed + report.Late + report.Failed
	if ended == 0 {
		return inFlight == 0
	}
	return healthyDenominator*report.Completed >= healthyNumerator*ended
}
