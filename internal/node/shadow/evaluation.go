package shadow

import (
	"fmt"

	"umberwinch/admission"
)

// Outcome is what became of the requests of one replay. Probes are counted apart.
type Outcome struct {
	Offered    int // requests that came
	Completed  int
	OnTime     int // of the completed ones, within the latency objective
	Shed       int
	Failed     int
	Unanswered int     // without an answer when they were due
	PeakKB     float64 // memory held by requests in hand, at most
	Rounds     int     // decisions of the controller

	ProbesCompleted []int // by handler
}

// Verdict compares two replays.
type Verdict struct {
	Current, Candidate Outcome
	Requests           int    // in the recording
	Reason             string // why the candidate is refused; empty: it may be activated
}

// Limits are how much worse a candidate may do, as shares of all requests.
type Limits struct {
	MaxShed float64 // more requests shed
	MaxLate float64 // fewer completed on time
}

// Evaluate replays a recording under the current deployment and under the candidate, and refuses a candidate that does
// worse than the limits allow. retired tells by handler whether the candidate takes no new request of it.
func Evaluate(current, candidate *admission.Deployment, retired []bool, rec *Recording, limits Limits) Verdict {
	v := Verdict{Requests: rec.Len(), Current: replay(current, nil, rec), Candidate: replay(candidate, retired, rec)}
	v.Reason = v.refusal(candidate.MemoryKB, retired, limits)
	return v
}

// refusal decides whether the candidate may be activated; empty: it may.
//
// It refuses a candidate that leaves more requests without an answer, holds more memory than the node has, sheds more
// or completes fewer on time than the limits allow, or fails the probes of a handler that the current one passes: the
// probes find a version that sheds everything on a node that is idle. Reason: a version that fits its syntax can
// still take a fleet down, and one node's refusal calls the change off before any node serves under it. A recording
// of an unusual time can refuse a good version; `[rollout]` of the document widens the limits, and a decided version
// is activated all the same.
func (v *Verdict) refusal(memoryKB float64, retired []bool, limits Limits) string {
	is, was := &v.Candidate, &v.Current
	offered := float64(max(1, is.Offered))
	switch {
	case is.Unanswered > was.Unanswered:
		return fmt.Sprintf("%d of %d requests of the trial had no answer when they were due, %d under the one in force",
			is.Unanswered, is.Offered, was.Unanswered)
	case is.PeakKB > memoryKB && is.PeakKB > was.PeakKB:
		return fmt.Sprintf("requests of the trial held %.0f KB at most, expected %.0f", is.PeakKB, memoryKB)
	case float64(is.Shed-was.Shed)/offered > limits.MaxShed:
		return fmt.Sprintf("%d of %d requests of the trial were shed, %d under the one in force: "+
			"expected at most %.3f more",
			is.Shed, is.Offered, was.Shed, limits.MaxShed)
	case float64(was.OnTime-is.OnTime)/offered > limits.MaxLate+limits.MaxShed:
		return fmt.Sprintf("%d of %d requests of the trial were done in time, %d under the one in force: "+
			"expected at most %.3f fewer", is.OnTime, is.Offered, was.OnTime, limits.MaxLate+limits.MaxShed)
	}
	return v.probeRefusal(retired)
}

// probeRefusal names the first handler of which the candidate completes less than half of the probes that the current
// deployment does; one that the candidate retires is passed over.
func (v *Verdict) probeRefusal(retired []bool) string {
	for handler, completed := range v.Candidate.ProbesCompleted {
		if handler < len(retired) && retired[handler] {
			continue
		}
		if current := v.Current.ProbesCompleted[handler]; completed < current/2 {
			return fmt.Sprintf("of %d requests of handler %d, one at a time, %d were done, %d under the one in force",
				probesPerHandler, handler, completed, current)
		}
	}
	return ""
}
