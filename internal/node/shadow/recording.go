package shadow

import "umberwinch/admission"

// MaxRequests is the capacity of a Recording. It bounds its memory to about 100 KB and the time of an evaluation, which
// runs beside the node's work.
const MaxRequests = 2048

// maxMeanSamples bounds the number of samples that a mean run time is averaged over, so that older runs decay.
const maxMeanSamples = 256

// arrival is one recorded request.
type arrival struct {
	arrivedAt    admission.Time
	timeLeft     admission.Time // from arrival to the deadline; 0: no deadline stated
	expectedWork admission.Time // 0: not stated
	runTime      admission.Time // 0: unknown
	sizeKB       float64
	caller       uint32
	id           uint32
	handler      uint16
	tenant       uint16
	isRetry      bool
	isProbe      bool // a probe, not a recorded request
}

// Recording is a ring buffer of a server's most recent requests.
type Recording struct {
	arrivals []arrival
	oldest   int            // index of the oldest arrival, overwritten next once the ring is full
	pending  map[uint32]int // index in arrivals by id, of requests whose run time is unknown
	runTimes []meanRunTime  // by handler
}

// meanRunTime is the mean run time of a handler, in units of admission.Time.
type meanRunTime struct {
	mean    float64
	samples float64
}

func (m *meanRunTime) add(runTime admission.Time) {
	m.samples = min(m.samples+1, maxMeanSamples)
	m.mean += (float64(runTime) - m.mean) / m.samples
}

// value returns the mean, at least 1.
func (m *meanRunTime) value() admission.Time { return admission.Time(max(1, m.mean)) }

// NewRecording returns an empty Recording for a number of handlers.
func NewRecording(handlers int) *Recording {
	return &Recording{pending: map[uint32]int{}, runTimes: make([]meanRunTime, handlers)}
}

// RecordArrival records a request that arrived at now. In a full recording it replaces the oldest request.
func (r *Recording) RecordArrival(now admission.Time, req *admission.Request) {
	a := arrival{arrivedAt: now, expectedWork: req.ExpectedWork, sizeKB: req.SizeKB, caller: req.Caller, id: req.ID,
		handler: uint16(req.Handler), tenant: uint16(max(req.Tenant, 0)), isRetry: req.IsRetry}
	if req.Deadline > now {
		a.timeLeft = req.Deadline - now
	}
	if len(r.arrivals) < MaxRequests {
		r.arrivals = append(r.arrivals, a)
		r.pending[req.ID] = len(r.arrivals) - 1
		return
	}
	if replaced := &r.arrivals[r.oldest]; r.pending[replaced.id] == r.oldest {
		delete(r.pending, replaced.id)
	}
	r.arrivals[r.oldest] = a
	r.pending[req.ID] = r.oldest
	r.oldest = (r.oldest + 1) % MaxRequests
}

// RecordRun records the run time of a request. It ignores requests that are no longer in the recording.
func (r *Recording) RecordRun(id uint32, runTime admission.Time) {
	index, ok := r.pending[id]
	if !ok {
		return
	}
	delete(r.pending, id)
	a := &r.arrivals[index]
	a.runTime = max(runTime, 1)
	r.runTimes[a.handler].add(runTime)
}

// Len returns the number of requests recorded.
func (r *Recording) Len() int { return len(r.arrivals) }

// Snapshot returns a read-only copy with the requests in order of arrival.
func (r *Recording) Snapshot() *Recording {
	ordered := append(make([]arrival, 0, len(r.arrivals)), r.arrivals[r.oldest:]...)
	return &Recording{arrivals: append(ordered, r.arrivals[:r.oldest]...),
		runTimes: append([]meanRunTime(nil), r.runTimes...)}
}
