package pools

import (
	"testing"

	"umberwinch/admission"
)

// recordingServer records which requests a controller runs and which it answers with a reused result.
type recordingServer struct {
	ran    []uint32
	reused []uint32
}

func (s *recordingServer) Run(id uint32)                             { s.ran = append(s.ran, id) }
func (s *recordingServer) Stop(uint32)                               {}
func (s *recordingServer) Shed(uint32, admission.Reason, bool, Time) {}
func (s *recordingServer) Fail(uint32, admission.Reason)             {}
func (s *recordingServer) Call(uint32, Time)                         {}
func (s *recordingServer) SkipCall(uint32)                           {}
func (s *recordingServer) Remember(uint32, Time)                     {}
func (s *recordingServer) Forget(uint32)                             {}
func (s *recordingServer) ReuseResult(id uint32)                     { s.reused = append(s.reused, id) }
func (s *recordingServer) Health(bool)                               {}
func (s *recordingServer) SignalOverload(float64)                    {}
func (s *recordingServer) SetIdleTimeout(Time)                       {}
func (s *recordingServer) WakeUp(Time)                               {}
func (s *recordingServer) Log(string)                                {}

// TestRetryThroughAnotherCaller guards against an idempotency key that runs twice: the original is queued, as its
// caller holds its share of the class's slots, and its retry arrives through another caller.
func TestRetryThroughAnotherCaller(t *testing.T) {
	p := New(Config{Classes: []Class{{Name: "save", MaxFraction: 1, FixedLimit: true}}, Tenants: 1})
	d := &admission.Deployment{Start: Second, FleetSize: 1, Callers: 2, RoundInterval: 10, Cores: 2, MaxRunsPerCore: 5,
		MemoryKB: 1e6, RunMemoryFactor: 1, TableEntryKB: 1, Pools: p,
		Handlers: []admission.Handler{{LatencyObjective: 4 * Second, Timeout: 8 * Second, Value: 1,
			RetrySafety: admission.IdempotencyKeyed, IdempotencyWindow: 10 * Second}}}
	c, s := admission.New(d), &recordingServer{}
	// The limit is two slots, of which a caller may hold one while others wait.
	c.Decide(&admission.Round{Now: Second, TimerFired: true}, s)
	at := func(by Time, r admission.Round) {
		r.Now = Second + by
		c.Decide(&r, s)
	}
	arrive := func(id, caller, previous uint32) admission.Request {
		return admission.Request{ID: id, ArrivedAt: Second, SizeKB: 1, Caller: caller, PreviousID: previous}
	}
	at(1, admission.Round{Arrived: []admission.Request{arrive(1, 7, 0), arrive(2, 7, 0)}}) // both run
	at(2, admission.Round{Arrived: []admission.Request{arrive(3, 7, 0), arrive(4, 8, 3)}}) // the original and its retry
	at(3, admission.Round{RunEnds: []admission.RunEnd{{ID: 1, Elapsed: 100}}})
	at(4, admission.Round{RunEnds: []admission.RunEnd{{ID: 2, Elapsed: 100}}})
	at(5, admission.Round{})
	t.Logf("ran %v, reused results for %v", s.ran, s.reused)
	if len(s.ran) != 3 || s.ran[2] != 3 {
		t.Errorf("ran %v, want three runs, the last of request 3: its key runs once, by the original", s.ran)
	}
}
