package admission

import (
	"fmt"
	"math"
	"testing"
)

// runRecorder is a Writer that records the runs in progress of a server whose runs do not end.
type runRecorder struct {
	running map[uint32]bool
	timerAt Time
}

func (s *runRecorder) Run(id uint32)                   { s.running[id] = true }
func (s *runRecorder) Stop(uint32)                     {}
func (s *runRecorder) Shed(uint32, Reason, bool, Time) {}
func (s *runRecorder) Fail(uint32, Reason)             {}
func (s *runRecorder) Call(uint32, Time)               {}
func (s *runRecorder) SkipCall(uint32)                 {}
func (s *runRecorder) Remember(uint32, Time)           {}
func (s *runRecorder) Forget(uint32)                   {}
func (s *runRecorder) ReuseResult(uint32)              {}
func (s *runRecorder) Health(bool)                     {}
func (s *runRecorder) SignalOverload(float64)          {}
func (s *runRecorder) SetIdleTimeout(Time)             {}
func (s *runRecorder) WakeUp(at Time)                  { s.timerAt = at }
func (s *runRecorder) Log(string)                      {}

// expectedBudget states the limit independently of the code under test.
func expectedBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// TestSlowStartBudget checks that an overloaded server in slow start never exceeds its limit on runs, even with idle
// cores: for several numbers of cores and servers, after a start some time ago, and after a restart within the slow
// start.
func TestSlowStartBudget(t *testing.T) {
	for _, cores := range []int{1, 2, 6, 64} {
		for _, maxRunsPerCore := range []float64{2, 5, 8} {
			for _, coldSpeed := range []float64{0.2, 0.5, 0.9} {
				for _, fleet := range []int{1, 3, 300} {
					t.Run(fmt.Sprint(cores, maxRunsPerCore, coldSpeed, fleet), func(t *testing.T) {
						d := &Deployment{Start: 100 * Second, Cores: cores, MaxRunsPerCore: maxRunsPerCore,
							ColdStart:  true,
							ColdSpeed:  coldSpeed,
							WarmUpTime: 10 * Second, MemoryKB: 1e9, RunMemoryFactor: 1, FleetSize: fleet,
							Callers: 2, RoundInterval: 20,
							Handlers: []Handler{{LatencyObjective: 2 * Second, Timeout: 6 * Second, Value: 1}}}
						flood(t, d, d.Start, d.Start+4*Second) // killed during its slow start
						restarted := *d
						restarted.Start += 5 * Second
						flood(t, &restarted, restarted.Start, restarted.Start+12*Second)
						started := *d // its kernel was started earlier
						flood(t, &started, started.Start+3*Second, started.Start+12*Second)
					})
				}
			}
		}
	}
}

// flood sends more requests than can run, with all cores idle by the gauges, and checks the number of runs after each
// round.
func flood(t *testing.T, d *Deployment, from, until Time) {
	c, w, id := New(d), &runRecorder{running: map[uint32]bool{}}, uint32(0)
	for now := from; now < until; now += Second / 50 {
		r := &Round{Now: now, TimerFired: now >= w.timerAt, HasGauges: true} // all cores idle
		for range 4 * d.Cores {
			id++
			r.Arrived = append(r.Arrived, Request{ID: id, ArrivedAt: now, SizeKB: 1})
		}
		c.Decide(r, w)
		speed := min(d.ColdSpeed+(1-d.ColdSpeed)*float64(now-d.Start)/float64(d.WarmUpTime), 1)
		allowed := float64(d.Cores) * d.MaxRunsPerCore * speed
		if limit := expectedBudget(allowed); float64(len(w.running)) > limit {
			t.Fatalf("runs in progress after %d ms = %d, want at most %.1f", (now-d.Start)/10, len(w.running), limit)
		}
	}
	if len(w.running) == 0 {
		t.Fatal("runs in progress = 0, want at least 1")
	}
}
