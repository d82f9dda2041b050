package shadow

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"

	"umberwinch/admission"
)

// recordedTrialsHash is the hash of the verdicts of version 2a0a97e. It must not change: another hash means that
// versions are accepted or rejected differently.
const recordedTrialsHash = "a9b72eda067824773e5e7bd9653e1ec20738cad5a589edacdd566b251bd28d5b"

// randomRecording returns a recording of random requests: some have a deadline, some are retries, some never end.
func randomRecording(seed uint64) *Recording {
	random := func(n uint64) uint64 {
		seed = seed*6364136223846793005 + 1442695040888963407
		return (seed >> 33) % n
	}
	r, now := NewRecording(2), 5*admission.Second
	for i := range uint32(300 + random(3000)) {
		now += admission.Time(random(80))
		req := admission.Request{ID: i + 1, Handler: int(random(2)), SizeKB: float64(1 + random(40)),
			Caller:  uint32(random(4)),
			IsRetry: random(9) == 0, ExpectedWork: admission.Time(random(200)), Tenant: int(random(3)) - 1}
		if random(3) == 0 {
			req.Deadline = now + admission.Time(random(20_000))
		}
		r.RecordArrival(now, &req)
		if random(10) > 0 {
			r.RecordRun(req.ID, admission.Time(random(300)))
		}
	}
	return r
}

// TestRecordedTrials compares the outcomes and verdicts of random recordings and candidates with those of version
// 2a0a97e.
func TestRecordedTrials(t *testing.T) {
	sum, rejected := sha256.New(), 0
	for seed := uint64(1); seed <= 24; seed++ {
		candidate := testDeployment()
		candidate.Handlers[seed%2].Value *= float64(seed % 5)
		candidate.Handlers[0].Timeout /= admission.Time(1 + seed%7)
		candidate.Handlers[1].LatencyObjective /= admission.Time(1 + seed%3)
		if seed%6 == 0 {
			candidate.MemoryKB = 60
		}
		if seed%4 == 0 {
			candidate.Cancellation = admission.CancelDrop
		}
		v := Evaluate(testDeployment(), candidate, []bool{false, seed%11 == 0}, randomRecording(seed).Snapshot(), testLimits)
		if v.Reason != "" {
			rejected++
		}
		for _, o := range []Counts{v.Current, v.Candidate} {
			fmt.Fprintln(sum, o.Offered, o.Completed, o.OnTime, o.Shed, o.Failed, o.Unanswered, o.PeakKB, o.Rounds,
				o.ProbesCompleted)
		}
		fmt.Fprintln(sum, v.Requests, v.Reason != "")
	}
	if rejected < 4 || rejected > 20 {
		t.Errorf("%d of 24 versions rejected, want 4 to 20", rejected)
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != recordedTrialsHash {
		t.Errorf("hash of verdicts = %s, want %s", got, recordedTrialsHash)
	}
}
