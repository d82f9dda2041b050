package shadow

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"umberwinch/admission"
)

// pinnedTrials is a hash over the verdicts of trials of recorded requests, as version 2a0a97e gave them. It stays as
// it is: a change means that a version is judged otherwise.
const pinnedTrials = "a9b72eda067824773e5e7bd9653e1ec20738cad5a589edacdd566b251bd28d5b"

// pinnedRecording records requests by chance: some have a deadline, some are retries, some never end.
func pinnedRecording(seed uint64) *Recording {
	chance := func(n uint64) uint64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return (seed >> 33) % n
	}
	r, now := NewRecording(2), 5*admission.Second
	for i := range uint32(300 + chance(3000)) {
		now += admission.Time(chance(80))
		q := admission.Request{ID: i + 1, Handler: int(chance(2)), SizeKB: float64(1 + chance(40)),
			Caller:  uint32(chance(4)),
			IsRetry: chance(9) == 0, ExpectedWork: admission.Time(chance(200)), Tenant: int(chance(3)) - 1}
		if chance(3) == 0 {
			q.Deadline = now + admission.Time(chance(20_000))
		}
		r.RecordArrival(now, &q)
		if chance(10) > 0 {
			r.RecordRun(q.ID, admission.Time(chance(300)))
		}
	}
	return r
}

// TestPinnedTrials holds trials to the verdicts of version 2a0a97e.
func TestPinnedTrials(t *testing.T) {
	sum, refused := sha256.New(), 0
	for seed := uint64(1); seed <= 24; seed++ {
		next := deployment()
		next.Handlers[seed%2].Value *= float64(seed % 5)
		next.Handlers[0].Timeout /= admission.Time(1 + seed%7)
		next.Handlers[1].LatencyObjective /= admission.Time(1 + seed%3)
		if seed%6 == 0 {
			next.MemoryKB = 60
		}
		if seed%4 == 0 {
			next.Cancellation = admission.CancelDrop
		}
		v := Evaluate(deployment(), next, []bool{false, seed%11 == 0}, pinnedRecording(seed).Snapshot(), limits)
		if v.Reason != "" {
			refused++
		}
		for _, o := range []Outcome{v.Current, v.Candidate} {
			fmt.Fprintln(sum, o.Offered, o.Completed, o.OnTime, o.Shed, o.Failed, o.Unanswered, o.PeakKB, o.Rounds,
				o.ProbesCompleted)
		}
		fmt.Fprintln(sum, v.Requests, v.Reason != "")
	}
	if refused < 4 || refused > 20 {
		t.Errorf("%d of 24 versions are refused: too few or too many to hold anything to", refused)
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != pinnedTrials {
		t.Errorf("verdicts have the hash %s, expected %s", got, pinnedTrials)
	}
}
