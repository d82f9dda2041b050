// Package retryafter computes Retry-After times of rejected requests and spreads them over callers. Times are in ms.
package retryafter

const (
	// minWindowEndMS is the shortest window end, some lease renewals: by then the node serves again or its health
	// reports that it doesn't.
	minWindowEndMS = 2000
	// maxEarliestMS prevents overflow.
	maxEarliestMS = 1e9
	// windowDivisor: the window is at least 1/windowDivisor of its end long, so that it is never empty.
	windowDivisor = 4
	// spreadSteps is the number of steps that a window is divided into.
	spreadSteps = 1024
	// spreadMultiplier, 2^32 divided by the golden ratio, puts consecutive callers far apart in the window.
	spreadMultiplier = 2654435761
)

// Window returns the window in which a rejected caller may retry, in ms from now; 0, 0 if none is allowed (maxMS <= 0).
// Retries before earliestMS are known to fail: the window is from earliestMS to 1.5 times that, but not earlier than
// from 1 s to 2 s. maxMS bounds its end; it begins at three quarters of its end at the latest.
func Window(maxMS, earliestMS int64) (from, to int64) {
	if maxMS <= 0 {
		return 0, 0
	}
	earliestMS = min(earliestMS, maxEarliestMS)
	to = min(maxMS, max(minWindowEndMS, earliestMS+earliestMS/2))
	return min(max(to/2, earliestMS), to/2+to/windowDivisor), to
}

// Spreader spreads consecutive Retry-After times over the window. Guards against callers that were rejected together
// and retry together, which would get them rejected again.
type Spreader uint32

// Next returns the Retry-After time of the next caller, in ms, within Window(maxMS, earliestMS).
func (s *Spreader) Next(maxMS, earliestMS int64) int64 {
	from, to := Window(maxMS, earliestMS)
	*s++
	return from + int64(uint32(*s)*spreadMultiplier%spreadSteps)*(to-from)/spreadSteps
}
