package zonegate

import "umberwinch/internal/control/api"

const (
	// burstDivisor: a fifth of a second's tokens may be spent at once. The node's rounds are shorter than that, and
	// a service below bears that much unevenness; a larger burst would ask a cold service for more than its rate.
	burstDivisor = 5

	// minBurst, in tokens: a bucket that holds less than one never admits anything.
	minBurst = 1.0

	// maxSavedRetries, in requests of one handler: a quiet second must not pay for a storm of retries; fewer would
	// reject retries that come in small groups.
	maxSavedRetries = 20

	millisPerSecond = 1000
)

// tokenBucket admits at a rate, with a burst of a fifth of a second.
type tokenBucket struct {
	tokens   float64
	filledAt uint64 // ms
}

// take spends a token if there is one; rate is in tokens a second.
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

// retryBudget bounds retries of requests that were rejected elsewhere, for one handler: first attempts fill it,
// retries take from it. Guards against the retries of an evacuated zone's callers overloading the zones that are in
// service.
type retryBudget struct{ saved float64 }

// admit decides about one request; perFullShare is how many retries are admitted for api.FullShare first attempts.
func (b *retryBudget) admit(isRetry bool, perFullShare int) bool {
	if !isRetry {
		b.saved = min(maxSavedRetries, b.saved+float64(perFullShare)/api.FullShare)
		return true
	}
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
