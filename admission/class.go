package admission

// Runs of a class are measured over four seconds: dozens at a server's rate, and soon past a change of its speed.
const (
	runWindowBuckets = 8
	runWindowStep    = Second / 2
)

// class is what the rules know of one class of requests: the deployment's terms and how long its runs take.
type class struct {
	objective, timeout, idempotencyWindow Time

	hasLateValue bool // a response past the objective still earns
	canSkipCall  bool
	keyed        bool // repeats are known by their key
	atMostOnce   bool // it must not run twice

	defaultWork     float64 // stands in where a request states none
	callWeight      float64 // what its call earns, as a share of the most that any class's does
	runTimes        window  // time of runs, calls included, over their work
	runTimePerWork  float64 // the last known mean of them; 0 while no run has been seen
	initialWorkTime float64 // of a run less its calls, while none has been seen
}

// initialWorkDivisor is the part of its objective that a run of a class is taken to need before one has been
// measured: a server that kept its objectives at some load had several runs for each core, so a run took a small
// part.
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

// reconfigure takes the terms that a policy version may change.
func (c *class) reconfigure(h *Handler, maxCallValue float64) {
	c.objective, c.timeout, c.idempotencyWindow = h.LatencyObjective, h.Timeout, h.IdempotencyWindow
	c.callWeight = callValue(h) / maxCallValue
}

// callValue is what is lost when a request of a class goes on without its call.
func callValue(h *Handler) float64 { return h.Value * (1 - h.DegradedValue) }

// expectedRunTimeOf is how long a run of some work should take, calls included; 0 while no run has been seen.
func (c *class) expectedRunTime(now Time, work float64) float64 {
	c.runTimePerWork = c.runTimes.mean(now, c.runTimePerWork)
	return c.runTimePerWork * work
}
