package server

import (
	"testing"

	"umberwinch/admission"
)

// A command in doubt is sent again at once only if its second copy does no harm; guards against a run that starts twice
// and against a run that gets the reply to another call.
func TestNextDoubtStep(t *testing.T) {
	const pause, drop, never = admission.CancelPause, admission.CancelDrop, admission.CancelNever
	keyed, atMostOnce := admission.IdempotencyKeyed, admission.NonRetryable
	for name, c := range map[string]struct {
		cancellation admission.Cancellation
		info         commandInfo
		want         doubtStep
	}{
		"retryable start":           {pause, commandInfo{startsRun: true}, stepResend},
		"retryable start, no stops": {never, commandInfo{startsRun: true, acknowledged: true}, stepResend},
		"retryable start, over":     {drop, commandInfo{startsRun: true, over: true}, stepResend},
		"retryable reply":           {pause, commandInfo{}, stepProbe},
		"keyed start":               {pause, commandInfo{safety: keyed, startsRun: true}, stepAwaitOver},
		"at-most-once start":        {pause, commandInfo{safety: atMostOnce, startsRun: true}, stepAwaitOver},
		"acknowledged start":        {pause, commandInfo{safety: keyed, startsRun: true, acknowledged: true}, stepAwaitOver},
		"start, events lost":        {pause, commandInfo{safety: keyed, startsRun: true, eventsLost: true}, stepAwaitOver},
		"resume":                    {pause, commandInfo{safety: keyed}, stepProbe},
		"start, runs are dropped":   {drop, commandInfo{safety: keyed, startsRun: true}, stepAwaitOver},
		"reply, runs are dropped":   {drop, commandInfo{safety: keyed}, stepAwaitEvent},
		"start, no stops":           {never, commandInfo{safety: atMostOnce, startsRun: true}, stepAwaitOver},
		"retryable reply, no stops": {never, commandInfo{}, stepAwaitEvent},
		"start, over":               {pause, commandInfo{safety: keyed, startsRun: true, over: true}, stepAwaitOver},
		"reply, over, no stops":     {never, commandInfo{safety: keyed, over: true}, stepAwaitOver},
		"start to be stopped": {drop,
			commandInfo{safety: keyed, startsRun: true, over: true, stopRequested: true}, stepAwaitOver},
		"start to be stopped, no stops": {never,
			commandInfo{safety: keyed, startsRun: true, over: true, stopRequested: true}, stepAwaitOver},
	} {
		if got := nextDoubtStep(c.cancellation, c.info); got != c.want {
			t.Errorf("%s: nextDoubtStep(%d, %+v) = %d, want %d", name, c.cancellation, c.info, got, c.want)
		}
	}
}
