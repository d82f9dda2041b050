package admission

import (
	"fmt"
	"math"
	"testing"
)

// starts counts the runs in hand of a server that is flooded.
type starts struct {
	running map[uint32]bool
	wake    Time
}

func (s *starts) Run(id uint32)                   { s.running[id] = true }
func (s *starts) Stop(uint32)                     {}
func (s *starts) Shed(uint32, Reason, bool, Time) {}
func (s *starts) Fail(uint32, Reason)             {}
func (s *starts) Call(uint32, Time)               {}
func (s *starts) SkipCall(uint32)                 {}
func (s *starts) Remember(uint32, Time)           {}
func (s *starts) Forget(uint32)                   {}
func (s *starts) ReuseResult(uint32)              {}
func (s *starts) Health(bool)                     {}
func (s *starts) SignalOverload(float64)          {}
func (s *starts) SetIdleTimeout(Time)             {}
func (s *starts) WakeUp(at Time)                  { s.wake = at }
func (s *starts) Log(string)                      {}

// budgetOf states the bound once more, apart from the code that it checks.
func budgetOf(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// A flooded server in slow start never has more runs in hand than its budget, however its gauges invite it to start
// more: with few cores or many, one other server or three hundred, started a while ago, and started again within its
// slow start.
func TestSlowStartBudget(t *testing.T) {
	for _, cores := range []int{1, 2, 6, 64} {
		for _, fall := range []float64{2, 5, 8} {
			for _, coldSpeed := range []float64{0.2, 0.5, 0.9} {
				for _, fleet := range []int{1, 3, 300} {
					t.Run(fmt.Sprint(cores, fall, coldSpeed, fleet), func(t *testing.T) {
						d := &Deployment{Start: 100 * Second, Cores: cores, MaxRunsPerCore: fall, ColdStart: true,
							ColdSpeed:  coldSpeed,
							WarmUpTime: 10 * Second, MemoryKB: 1e9, RunMemoryFactor: 1, FleetSize: fleet,
							Callers: 2, RoundInterval: 20,
							Handlers: []Handler{{LatencyObjective: 2 * Second, Timeout: 6 * Second, Value: 1}}}
						flood(t, d, d.Start, d.Start+4*Second) // killed amid its slow start
						again := *d
						again.Start += 5 * Second
						flood(t, &again, again.Start, again.Start+12*Second)
						known := *d // its kernel started a while before
						flood(t, &known, known.Start+3*Second, known.Start+12*Second)
					})
				}
			}
		}
	}
}

func flood(t *testing.T, d *Deployment, from, until Time) {
	c, w, id := New(d), &starts{running: map[uint32]bool{}}, uint32(0)
	for now := from; now < until; now += Second / 50 {
		r := &Round{Now: now, TimerFired: now >= w.wake, HasGauges: true} // all cores idle, by the gauges
		for range 4 * d.Cores {
			id++
			r.Arrived = append(r.Arrived, Request{ID: id, ArrivedAt: now, SizeKB: 1})
		}
		c.Decide(r, w)
		speed := min(d.ColdSpeed+(1-d.ColdSpeed)*float64(now-d.Start)/float64(d.WarmUpTime), 1)
		allowed := float64(d.Cores) * d.MaxRunsPerCore * speed
		if most := budgetOf(allowed); float64(len(w.running)) > most {
			t.Fatalf("%d runs in hand after %d ms, expected %.1f at most", len(w.running), (now-d.Start)/10, most)
		}
	}
	if len(w.running) == 0 {
		t.Fatal("nothing was started")
	}
}
