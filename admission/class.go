package admission

// Window of run times: four seconds.
const (
	runWindowBuckets = 8
	runWindowStep    = Second / 2
)

// class holds the terms and the measured run times of one class of requests.
type class struct {
	objective, timeout, idempotencyWindow Time

	hasLateValue bool // responses past the latency objective still have value
	canSkipCall  bool // a response without its call still has value
	keyed        bool // repeats are detected by idempotency key
	atMostOnce   bool // must not run twice

	defaultWork     float64 // expected work of requests that state none: the one stated last, or 1
	callWeight      float64 // value of its call as a fraction of the highest of all classes
	runTimes        window  // run times, calls included, per unit of work
	runTimePerWork  float64 // last known mean of runTimes; 0 until a run has ended
	initialWorkTime float64 // assumed run time without calls until a run has ended, in units of Time
}

// initialWorkDivisor divides the latency objective to give the assumed run time of a class before one is measured: a
// server that meets its objectives under load has several runs per core, so a run takes a small part of them.
const initialWorkDivisor = 8

func newClass(h *Handler) class {
	return class{
		hasLateValue:    h.LateValue > 0,
		canSkipCall:     h.DegradedValue > 0,
		keyed:           h.RetrySafety == IdempotencyKeyed,
		atMostOnce:      h.RetrySafety != Retryable,
		defaultWork:     1,
		runTimes:        newWindow(runWindowBuckets, runWindowStep),
		initialWorkTime: float64(h.LatencyObjective) / initialWorkDivisor,
	}
}

// reconfigure applies the terms that a policy version may change.
func (c *class) reconfigure(h *Handler, maxCallValue float64) {
	c.objective, c.timeout, c.idempotencyWindow = h.LatencyObjective, h.Timeout, h.IdempotencyWindow
	c.callWeight = callValue(h) / maxCallValue
}

// callValue returns the value that a response of a class loses without its call.
func callValue(h *Handler) float64 { return h.Value * (1 - h.DegradedValue) }

// expectedRunTime returns the expected run time, calls included, for an amount of work; 0 until a run has ended.
func (c *class) expectedRunTime(now Time, work float64) float64 {
	c.runTimePerWork = c.runTimes.mean(now, c.runTimePerWork)
	return c.runTimePerWork * work
}
