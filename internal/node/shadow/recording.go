package shadow

import "umberwinch/admission"

// MaxRequests bounds a recording: some seconds to minutes of a server's requests, in 100 KB of memory. More would
// make an evaluation take longer than a node should be busy with it beside its work.
const MaxRequests = 2048

// maxMeanSamples bounds the weight of a handler's mean run time, so that older runs fade.
const maxMeanSamples = 256

// arrival is one recorded request.
type arrival struct {
	at           admission.Time
	timeLeft     admission.Time // to its deadline as it came; 0: not stated
	expectedWork admission.Time // expected work; 0: not stated
	runTime      admission.Time // 0: not known
	kb           float64
	caller       uint32
	id           uint32
	handler      uint16
	tenant       uint16
	isRetry      bool
	isProbe      bool // it is no recorded request, but one of a probe
}

// Recording is the latest requests of a server, in a ring.
type Recording struct {
	arrivals []arrival
	oldest   int            // the place that the next one takes, once the ring is full
	pending  map[uint32]int // place by id of those whose run time is still to come
	runTimes []meanRunTime  // by handler
}

// meanRunTime is the mean time of a handler's runs, in admission.Time.
type meanRunTime struct {
	mean    float64
	samples float64
}

func (m *meanRunTime) add(runTime admission.Time) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.mean += (float64(runTime) - m.mean) / m.samples
}

// value gives the mean, and the least time that there is where no run was seen.
func (m *meanRunTime) value() admission.Time { return admission.Time(max(1, m.mean)) }

// NewRecording gives an empty one for so many handlers.
func NewRecording(handlers int) *Recording {
	return &Recording{pending: map[uint32]int{}, runTimes: make([]meanRunTime, handlers)}
}

// RecordArrival takes a request that came at now. The oldest one makes room.
func (r *Recording) RecordArrival(now admission.Time, q *admission.Request) {
	a := arrival{at: now, expectedWork: q.ExpectedWork, kb: q.SizeKB, caller: q.Caller, id: q.ID,
		handler: uint16(q.Handler),
		tenant:  uint16(max(q.Tenant, 0)), isRetry: q.IsRetry}
	if q.Deadline > now {
		a.timeLeft = q.Deadline - now
	}
	if len(r.arrivals) < MaxRequests {
		r.arrivals = append(r.arrivals, a)
		r.pending[q.ID] = len(r.arrivals) - 1
		return
	}
	if replaced := &r.arrivals[r.oldest]; r.pending[replaced.id] == r.oldest {
		delete(r.pending, replaced.id)
	}
	r.arrivals[r.oldest] = a
	r.pending[q.ID] = r.oldest
	r.oldest = (r.oldest + 1) % MaxRequests
}

// RecordRun takes the time of a request's run. A request that is no longer in the recording is passed over.
func (r *Recording) RecordRun(id uint32, took admission.Time) {
	place, ok := r.pending[id]
	if !ok {
		return
	}
	delete(r.pending, id)
	a := &r.arrivals[place]
	a.runTime = max(took, 1)
	r.runTimes[a.handler].add(took)
}

// Len gives how many requests it holds.
func (r *Recording) Len() int { return len(r.arrivals) }

// Snapshot gives a copy that no longer changes, in the order in which the requests came.
func (r *Recording) Snapshot() *Recording {
	ordered := append(make([]arrival, 0, len(r.arrivals)), r.arrivals[r.oldest:]...)
	return &Recording{arrivals: append(ordered, r.arrivals[:r.oldest]...),
		runTimes: append([]meanRunTime(nil), r.runTimes...)}
}
