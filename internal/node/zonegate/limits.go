package zonegate

import "umberwinch/internal/control/api"

const (
	// The burst is a second's tokens divided by burstDivisor: longer than the interval between a node's rounds, and
	// small enough for a dependency that is warming up.
	burstDivisor = 5

	// minBurst is the smallest burst, in tokens: a bucket that holds less than one never admits anything.
	minBurst = 1.0

	// maxSavedRetries is the largest balance of a retry budget, in retries of one handler, so that a quiet period
	// doesn't pay for a retry storm.
	maxSavedRetries = 20

	millisPerSecond = 1000
)

// tokenBucket limits a rate, with a burst of a fifth of a second's tokens.
type tokenBucket struct {
	tokens   float64
	filledAt uint64 // ms
}

// take spends a token if there is one; rate is in tokens per second.
func (b *tokenBucket) take(now uint64, rate float64) bool {
	if b.filledAt == 0 {
		b.filledAt = now
	}
	burst := max(minBurst, rate/burstDivisor)
	b.tokens = min(burst, b.tokens+rate*float64(now-b.filledAt)/millisPerSecond)
	b.filledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// retryBudget limits the retries of one handler to a fraction of its first attempts. Guards against the retries of
// an evacuated zone's callers overloading the zones in service.
type retryBudget struct{ saved float64 }

// admit decides on one request. A first attempt adds to the budget, a retry spends 1 of it; retriesPerFullShare is the
// number of retries admitted per api.FullShare first attempts.
func (b *retryBudget) admit(isRetry bool, retriesPerFullShare int) bool {
	if !isRetry {
		b.saved = min(maxSavedRetries, b.saved+float64(retriesPerFullShare)/api.FullShare)
		return true
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
