package shadow

import (
	"fmt"

	"umberwinch/admission"
)

// Counts is the number of results, by kind, of one replay's requests. Offered, Completed, OnTime, Shed and Failed
// exclude probes.
type Counts struct {
	Offered    int // requests that arrived
	Completed  int
	OnTime     int // of Completed, within the latency objective
	Shed       int
	Failed     int
	Unanswered int     // no response by the deadline or the end of the replay
	PeakKB     float64 // peak memory of open requests and runs
	Rounds     int     // of the controller

	ProbesCompleted []int // by handler
}

// Verdict is the result of an evaluation.
type Verdict struct {
	Current, Candidate Counts
	Requests           int    // in the recording
	Reason             string // why the candidate is rejected; empty: it may be activated
}

// Limits bound the regressions allowed to a candidate, as fractions of all requests.
type Limits struct {
	MaxShed float64 // increase of requests shed
	MaxLate float64 // decrease of requests completed on time beyond MaxShed: up to MaxShed+MaxLate in all
}

// Evaluate replays a recording under the current deployment and under the candidate, and rejects a candidate whose
// regressions exceed the limits. retired reports by handler whether the candidate rejects all its requests.
func Evaluate(current, candidate *admission.Deployment, retired []bool, rec *Recording, limits Limits) Verdict {
	v := Verdict{Requests: rec.Len(), Current: replay(current, nil, rec), Candidate: replay(candidate, retired, rec)}
	v.Reason = v.rejectReason(candidate.MemoryKB, retired, limits)
	return v
}

// rejectReason returns why the candidate must not be activated, empty if it may be.
//
// It guards against a valid document that would take the fleet down: more unanswered requests, more memory than the
// node has, or more requests shed or late than allowed. Probes show it on an idle node. The limits are set in [rollout]
// of the document; a version that is already decided is activated regardless.
func (v *Verdict) rejectReason(memoryKB float64, retired []bool, limits Limits) string {
	candidate, current := &v.Candidate, &v.Current
	offered := float64(max(1, candidate.Offered))
	switch {
	case candidate.Unanswered > current.Unanswered:
		return fmt.Sprintf("%d of %d requests of the trial had no answer when they were due, %d under the one in force",
			candidate.Unanswered, candidate.Offered, current.Unanswered)
	case candidate.PeakKB > memoryKB && candidate.PeakKB > current.PeakKB:
		return fmt.Sprintf("requests of the trial held %.0f KB at most, expected %.0f", candidate.PeakKB, memoryKB)
	case float64(candidate.Shed-current.Shed)/offered > limits.MaxShed:
		return fmt.Sprintf("%d of %d requests of the trial were shed, %d under the one in force: "+
			"expected at most %.3f more",
			candidate.Shed, candidate.Offered, current.Shed, limits.MaxShed)
	case float64(current.OnTime-candidate.OnTime)/offered > limits.MaxLate+limits.MaxShed:
		return fmt.Sprintf("%d of %d requests of the trial were done in time, %d under the one in force: "+
			"expected at most %.3f fewer", candidate.OnTime, candidate.Offered, current.OnTime,
			limits.MaxLate+limits.MaxShed)
	}
	return v.probeRejectReason(retired)
}

// probeRejectReason returns the failure of the first handler for which the candidate completes less than half of the
// probes that the current deployment completes. Retired handlers are skipped.
func (v *Verdict) probeRejectReason(retired []bool) string {
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
