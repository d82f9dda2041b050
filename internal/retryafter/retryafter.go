// Package retryafter decides when a rejected caller may retry, and spreads those times over callers. Times are in ms.
package retryafter

const (
	// minWindowMS: a caller that is rejected comes back after one to two seconds, some lease renewals: by then the node
	// serves, or its health has told that it does not.
	minWindowMS = 2000
	// maxEarliestMS bounds the time that a share is expected to need, so that arithmetic on it can't overflow.
	maxEarliestMS = 1e9
	// windowDivisor: the window begins at three quarters of its end at the latest, so that it never closes.
	windowDivisor = 4
	// spreadSteps divide the window: as many callers in a row are told different times.
	spreadSteps = 1024
	// spreadMultiplier, 2^32 divided by the golden ratio: consecutive callers land far apart in the window.
	spreadMultiplier = 2654435761
)

// Window decides when a rejected caller may retry, in ms from now; 0, 0 if the settings know no such time.
//
// Inputs: the longest time that the settings allow, and the time for which a retry is known to be in vain, both in ms.
// The window is from that time on and over half as long again, within the bound; one to two seconds where nothing is
// known. Callers that come sooner are rejected again, callers that are told one moment come back together.
func Window(bound, after int64) (from, to int64) {
	if bound <= 0 {
		return 0, 0
	}
	after = min(after, maxEarliestMS)
	to = min(bound, max(minWindowMS, after+after/2))
	return min(max(to/2, after), to/2+to/windowDivisor), to
}

// Spreader counts the times that callers were told, so that each is told another one.
//
// It guards against callers that were rejected together coming back together: that would reject them all again.
type Spreader uint32

// Next returns the time for one caller, in ms from now, within the window of Window.
func (s *Spreader) Next(bound, after int64) int64 {
	from, to := Window(bound, after)
	*s++
	return from + int64(uint32(*s)*spreadMultiplier%spreadSteps)*(to-from)/spreadSteps
}
