package pools

import (
	"testing"

	"umberwinch/admission"
)

// keyedServer carries out what a controller decides and notes which requests ran.
type keyedServer struct {
	ran    []uint32
	reused []uint32
}

func (s *keyedServer) Run(id uint32)                             { s.ran = append(s.ran, id) }
func (s *keyedServer) Stop(uint32)                               {}
func (s *keyedServer) Shed(uint32, admission.Reason, bool, Time) {}
func (s *keyedServer) Fail(uint32, admission.Reason)             {}
func (s *keyedServer) Call(uint32, Time)                         {}
func (s *keyedServer) SkipCall(uint32)                           {}
func (s *keyedServer) Remember(uint32, Time)                     {}
func (s *keyedServer) Forget(uint32)                             {}
func (s *keyedServer) ReuseResult(id uint32)                     { s.reused = append(s.reused, id) }
func (s *keyedServer) Health(bool)                               {}
func (s *keyedServer) SignalOverload(float64)                    {}
func (s *keyedServer) SetIdleTimeout(Time)                       {}
func (s *keyedServer) WakeUp(Time)                               {}
func (s *keyedServer) Log(string)                                {}

// A request with a key waits because its caller has its part of the class's slots; its retry comes through another
// caller, which has room. If the retry were started ahead of the original, the key would run twice and a slot be
// lost: the key must run once.
func TestRetryThroughAnotherCaller(t *testing.T) {
	p := New(Plan{Classes: []Class{{Name: "save", MaxFraction: 1, FixedLimit: true}}, Tenants: 1})
	d := &admission.Deployment{Start: Second, FleetSize: 1, Callers: 2, RoundInterval: 10, Cores: 2, MaxRunsPerCore: 5,
		MemoryKB: 1e6, RunMemoryFactor: 1, TableEntryKB: 1, Pools: p,
		Handlers: []admission.Handler{{LatencyObjective: 4 * Second, Timeout: 8 * Second, Value: 1,
			RetrySafety: admission.IdempotencyKeyed, IdempotencyWindow: 10 * Second}}}
	c, s := admission.New(d), &keyedServer{}
	// The limit is two slots, of which a caller may have one.
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
	t.Logf("ran %v, took another's result %v", s.ran, s.reused)
	if len(s.ran) != 3 || s.ran[2] != 3 {
		t.Errorf("ran %v: the key of 3 and 4 must run once, by the original", s.ran)
	}
}
