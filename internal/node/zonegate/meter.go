package zonegate

// Meter counts what a node reports of itself: fixed slots in a ring that hold the last two seconds. All times are in
// milliseconds of a monotonic clock.
type Meter struct {
	weights     []float64 // priority weights, by handler
	slots       [meterSlots]meterSlot
	currentSlot uint64 // number of the slot in use, counted from time 0
	startedAt   uint64 // ms
}

// A report covers two seconds, which are some heartbeats: each has most of what the one before had, and a change
// shows within a second. A longer window would hide a failure, a shorter one hold too few requests to tell anything.
const (
	meterSlots = 8
	slotMS     = 250
	statusOK   = 200
	statusShed = 503
	// Healthy: at least healthyNumerator in healthyDenominator requests, which one bad request among ten does not break
	healthyDenominator = 10
	healthyNumerator   = 9
)

// meterSlot counts what happened in slotMS.
type meterSlot struct {
	arrived, retries, rejected     int
	completed, late, shed, failed  int
	runs, calls, failedCalls       int
	connections, coreSamples       int
	offeredWeight, completedWeight float64
	runMS, callMS, coresUsed       float64
	firstAttempts                  []int // by handler
}

// NewMeter makes a meter for handlers of these priority weights.
func NewMeter(now uint64, weights []float64) *Meter {
	m := &Meter{currentSlot: now / slotMS, startedAt: now}
	m.SetWeights(weights)
	return m
}

// SetWeights takes other priority weights of the same handlers, as after a change of the policy.
func (m *Meter) SetWeights(weights []float64) {
	m.weights = weights
	for i := range m.slots {
		if len(m.slots[i].firstAttempts) != len(weights) {
			m.slots[i].firstAttempts = make([]int, len(weights))
		}
	}
}

// slot returns the slot of a time, and clears those that time has passed over.
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

// RequestAnswered counts an answer by its HTTP status. One that was given up past its deadline is late, whatever its
// status: a service that is slow ends as errors too, and must not look like one that fails.
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

// RunEnded counts a run that ended after so many ms.
func (m *Meter) RunEnded(now uint64, ms float64) {
	slot := m.slot(now)
	slot.runs++
	slot.runMS += ms
}

// CallEnded counts a call to a service below that was answered or given up after so many ms. It failed if it was
// answered with an error or not taken; one that was given up did not: nobody knows how it would have ended, and its
// time tells enough.
func (m *Meter) CallEnded(now uint64, ms float64, failed bool) {
	slot := m.slot(now)
	slot.calls++
	slot.callMS += ms
	if failed {
		slot.failedCalls++
	}
}

// ConnectionOpened counts a connection to a service below.
func (m *Meter) ConnectionOpened(now uint64) { m.slot(now).connections++ }

// CoresSampled takes a sample of how many cores are in use.
func (m *Meter) CoresSampled(now uint64, coresUsed float64) {
	slot := m.slot(now)
	slot.coreSamples++
	slot.coresUsed += coresUsed
}

// Healthy decides whether the node's own requests go well, for a share that grows without the control service: nine
// in ten of those that ended in the last two seconds were completed in time. Where none ended and none is in flight
// nothing shows harm: a node that is hardly asked for anything must not wait for ever for a sign. inFlight is the
// number of runs.
func (m *Meter) Healthy(now uint64, inFlight int) bool {
	report := m.Report(now, true, 1, inFlight)
	ended := report.Completed + report.Late + report.Failed
	if ended == 0 {
		return inFlight == 0
	}
	return healthyDenominator*report.Completed >= healthyNumerator*ended
}
