// Package shadow tries a deployment before it counts: a second controller is fed what a server lately read, beside
// one with the deployment in force, on the same emulated runs, and what becomes of the reqs is compared. It owns
// the bounded recording and the comparison. It decides about versions, never about a req; it knows no clock, socket
// or chance, and one trial costs a bounded number of rounds.
package shadow

import (
	"fmt"

	"umberwinch/admission"
)

// Limits of a recording and of a trial.
const (
	MaxRequests = 2048 // some seconds to minutes of a server's reqs; 100 KB
	maxRounds   = 40 * MaxRequests
	probes      = 20 // reqs a handler that are tried one at a time whatever was recorded
)

// came is one recorded req.
type came struct {
	at, due       admission.Time // due after at; 0: not stated
	hint, ran     admission.Time // ran 0: not known
	kb            float64
	caller        uint32
	id            uint32
	handler, tenn uint16
	again         bool
}

// Recording is the latest reqs of a server, in a ring.
type Recording struct {
	reqs  []came
	next  int
	byID  map[uint32]int // of those whose run's time is still to come
	times []float64      // mean time of a run, by handler
	runs  []float64
}

// NewRecording gives an empty one for so many handlers.
func NewRecording(handlers int) *Recording {
	return &Recording{byID: map[uint32]int{}, times: make([]float64, handlers), runs: make([]float64, handlers)}
}

// RecordArrival notes a req.
func (r *Recording) RecordArrival(now admission.Time, q *admission.Request) {
	c := came{at: now, hint: q.ExpectedWork, kb: q.SizeKB, caller: q.Caller, id: q.ID, handler: uint16(q.Handler),
		tenn: uint16(max(q.Tenant, 0)), again: q.IsRetry}
	if q.Deadline > now {
		c.due = q.Deadline - now
	}
	if len(r.reqs) < MaxRequests {
		r.reqs = append(r.reqs, c)
		r.byID[q.ID] = len(r.reqs) - 1
		return
	}
	if old := &r.reqs[r.next]; r.byID[old.id] == r.next {
		delete(r.byID, old.id)
	}
	r.reqs[r.next] = c
	r.byID[q.ID] = r.next
	r.next = (r.next + 1) % MaxRequests
}

// RecordRun notes how long a req's run took.
func (r *Recording) RecordRun(id uint32, took admission.Time) {
	i, ok := r.byID[id]
	if !ok {
		return
	}
	delete(r.byID, id)
	c := &r.reqs[i]
	c.ran = max(took, 1)
	// A mean over some hundred runs: older ones fade.
	n := min(r.runs[c.handler]+1, 256)
	r.runs[c.handler] = n
	r.times[c.handler] += (float64(took) - r.times[c.handler]) / n
}

// Len gives how many reqs it holds.
func (r *Recording) Len() int { return len(r.reqs) }

// Snapshot gives one that no longer changes, in the order in which the reqs came.
func (r *Recording) Snapshot() *Recording {
	c := &Recording{times: append([]float64(nil), r.times...)}
	c.reqs = append(append(make([]came, 0, len(r.reqs)), r.reqs[r.next:]...), r.reqs[:r.next]...)
	return c
}

// Outcome is what became of the reqs of one play.
type Outcome struct {
	Offered, Completed, OnTime, Shed, Failed, Unanswered int
	PeakKB                                               float64
	Rounds                                               int
	ProbesCompleted                                      []int // by handler, probes done
}

// Verdict compares two plays.
type Verdict struct {
	Current, Candidate Outcome
	Requests           int
	Reason             string // empty: it may be taken
}

// Limits are how much worse a version may do.
type Limits struct {
	MaxShed float64 // more reqs shed, as a share of all
	MaxLate float64 // fewer done in time, as a share of all
}

// Evaluate plays a recording against both deployments.
func Evaluate(now, next *admission.Deployment, retired []bool, rec *Recording, b Limits) Verdict {
	v := Verdict{Requests: len(rec.reqs)}
	v.Current, v.Candidate = play(now, nil, rec), play(next, retired, rec)
	n := float64(max(1, v.Candidate.Offered))
	share := func(k int) float64 { return float64(k) / n }
	switch {
	case v.Candidate.Unanswered > v.Current.Unanswered:
		v.Reason = fmt.Sprintf("%d of %d reqs of the trial had no answer when they were due, %d under the one in force",
			v.Candidate.Unanswered, v.Candidate.Offered, v.Current.Unanswered)
	case v.Candidate.PeakKB > next.MemoryKB && v.Candidate.PeakKB > v.Current.PeakKB:
		v.Reason = fmt.Sprintf("reqs of the trial held %.0f KB at most, expected %.0f", v.Candidate.PeakKB, next.MemoryKB)
	case share(v.Candidate.Shed-v.Current.Shed) > b.MaxShed:
		v.Reason = fmt.Sprintf("%d of %d reqs of the trial were shed, %d under the one in force: expected at most %.3f more",
			v.Candidate.Shed, v.Candidate.Offered, v.Current.Shed, b.MaxShed)
	case share(v.Current.OnTime-v.Candidate.OnTime) > b.MaxLate+b.MaxShed:
		v.Reason = fmt.Sprintf("%d of %d reqs of the trial were done in time, %d under the one in force: expected at most "+
			"%.3f fewer", v.Candidate.OnTime, v.Candidate.Offered, v.Current.OnTime, b.MaxLate+b.MaxShed)
	default:
		for h, done := range v.Candidate.ProbesCompleted {
			if done < v.Current.ProbesCompleted[h]/2 && !(h < len(retired) && retired[h]) {
				v.Reason = fmt.Sprintf("of %d reqs of handler %d, one at a time, %d were done, %d under the one in force",
					probes, h, done, v.Current.ProbesCompleted[h])
				break
			}
		}
	}
	return v
}

// req is one in hand during a play.
type req struct {
	c        *came
	came     admission.Time
	due      admission.Time
	left     admission.Time // of its run
	ends     admission.Time // 0: it doesn't run
	answered bool
	running  bool
	probe    bool
}

// stage is the emulated server round a controller.
type stage struct {
	d    *admission.Deployment
	now  admission.Time
	wake admission.Time
	reqs map[uint32]*req
	open []uint32 // in hand, in order
	next admission.Round
	out  Outcome
	kb   float64
	mean []float64
	off  []bool // handlers of which all are shed before the controller hears of them
}

// play feeds a controller with the recording, then with probes one at a time.
func play(d *admission.Deployment, retired []bool, rec *Recording) Outcome {
	plan := *d
	plan.Pools = nil // their state is the server's own
	plan.ColdStart, plan.Start = false, admission.Second
	s := &stage{d: &plan, now: admission.Second, reqs: map[uint32]*req{}, mean: rec.times, off: retired,
		out: Outcome{ProbesCompleted: make([]int, len(d.Handlers))}}
	c := admission.New(&plan)
	begin := s.now
	for i := range rec.reqs {
		q := &rec.reqs[i]
		s.run(c, begin+max(0, q.at-rec.reqs[0].at))
		s.arrive(q, uint32(i+1), false)
		if s.out.Rounds > maxRounds {
			break
		}
	}
	// Past what the controller remembers of the load, so that probes find it at rest.
	s.run(c, s.now+s.longest()+10*admission.Second)
	id := uint32(MaxRequests)
	for h := range d.Handlers {
		// The quietest there is: the same handler once in four response targets.
		for k := 0; k < probes && s.out.Rounds < 2*maxRounds; k++ {
			id++
			s.arrive(&came{handler: uint16(h), kb: 1, ran: admission.Time(max(1, s.mean[h]))}, id, true)
			s.run(c, s.now+4*max(plan.Handlers[h].LatencyObjective, admission.Second/100))
		}
	}
	s.run(c, s.now+s.longest())
	s.out.Unanswered += len(s.open)
	return s.out
}

// longest is how long a req can be in hand.
func (s *stage) longest() (t admission.Time) {
	for _, h := range s.d.Handlers {
		t = max(t, h.Timeout)
	}
	return min(t, 60*admission.Second)
}

func (s *stage) arrive(q *came, id uint32, probe bool) {
	h := &s.d.Handlers[q.handler]
	if int(q.handler) < len(s.off) && s.off[q.handler] {
		if !probe {
			s.out.Offered++
			s.out.Shed++
		}
		return
	}
	r := &req{c: q, came: s.now, due: s.now + h.Timeout, left: q.ran, probe: probe}
	if q.due > 0 {
		r.due = s.now + q.due
	}
	if r.left == 0 {
		r.left = admission.Time(max(1, s.mean[q.handler]))
	}
	s.reqs[id] = r
	s.open = append(s.open, id)
	s.held(q.kb)
	if !probe {
		s.out.Offered++
	}
	tenant := int(q.tenn)
	if tenant >= max(1, len(s.d.Tenants)) {
		tenant = 0
	}
	a := admission.Request{ID: id, Handler: int(q.handler), Tenant: tenant, ArrivedAt: s.now, ExpectedWork: q.hint, SizeKB: q.kb,
		IsRetry: q.again, Caller: q.caller}
	if q.due > 0 {
		a.Deadline = r.due
	}
	s.next.Arrived = append(s.next.Arrived, a)
}

func (s *stage) held(kb float64) {
	s.kb += kb
	s.out.PeakKB = max(s.out.PeakKB, s.kb)
}

// run lets time go on, from one thing that happens to the next.
func (s *stage) run(c *admission.Controller, to admission.Time) {
	for {
		at := to
		if s.wake > 0 {
			at = min(at, max(s.wake, s.now))
		}
		for _, id := range s.open {
			r := s.reqs[id]
			if r.ends > 0 {
				at = min(at, r.ends)
			}
			if !r.answered {
				at = min(at, max(r.due, s.now))
			}
		}
		s.now = max(s.now, at)
		kept := s.open[:0]
		for _, id := range s.open {
			r := s.reqs[id]
			if r.ends > 0 && r.ends <= s.now {
				r.ends, r.running, r.left = 0, false, 0
				s.next.RunEnds = append(s.next.RunEnds, admission.RunEnd{ID: id, Outcome: admission.Succeeded, Elapsed: s.now - r.came})
				s.kb -= r.c.kb * (s.d.RunMemoryFactor - 1)
				s.answer(r, true)
			} else if !r.answered && s.now >= r.due {
				r.answered = true
				s.out.Unanswered++
				s.kb -= r.c.kb
				s.next.Disconnected = append(s.next.Disconnected, id)
			}
			if !r.answered || r.running || r.left > 0 && r.ends > 0 {
				kept = append(kept, id)
			} else {
				delete(s.reqs, id)
			}
		}
		s.open = kept
		if s.wake > 0 && s.wake <= s.now {
			s.wake, s.next.TimerFired = 0, true
			s.next.HasGauges, s.next.Gauges.Runnable = true, float64(s.running())
		}
		n := &s.next
		if len(n.Arrived)+len(n.RunEnds)+len(n.Disconnected) > 0 || n.TimerFired {
			round := s.next
			round.Now = s.now
			s.next = admission.Round{}
			s.out.Rounds++
			c.Decide(&round, s)
		} else if s.now >= to {
			return
		}
		if s.out.Rounds > 2*maxRounds {
			return
		}
	}
}

func (s *stage) running() (n int) {
	for _, id := range s.open {
		if r := s.reqs[id]; r != nil && r.ends > 0 {
			n++
		}
	}
	return n
}

func (s *stage) answer(r *req, ok bool) {
	if r.answered {
		return
	}
	r.answered = true
	s.kb -= r.c.kb
	switch h := &s.d.Handlers[r.c.handler]; {
	case r.probe && ok:
		s.out.ProbesCompleted[r.c.handler]++
	case r.probe:
	case ok:
		s.out.Completed++
		if s.now-r.came <= h.LatencyObjective {
			s.out.OnTime++
		}
	}
}

// What the controller decides. A run has a core to itself: its recorded time holds what it waited for cores.

func (s *stage) Run(id uint32) {
	if r := s.reqs[id]; r != nil && r.ends == 0 && !r.answered {
		r.ends, r.running = s.now+max(r.left, 1), true
		s.held(r.c.kb * (s.d.RunMemoryFactor - 1))
	}
}

func (s *stage) Stop(id uint32) {
	r := s.reqs[id]
	if r == nil || r.ends == 0 {
		return
	}
	r.left, r.ends, r.running = r.ends-s.now, 0, s.d.Cancellation == admission.CancelPause
	s.kb -= r.c.kb * (s.d.RunMemoryFactor - 1)
	if s.d.Cancellation == admission.CancelDrop {
		s.next.RunEnds = append(s.next.RunEnds, admission.RunEnd{ID: id, Outcome: admission.Stopped, Elapsed: s.now - r.came})
	}
}

func (s *stage) Shed(id uint32, _ bool, _ admission.Time) {
	if r := s.reqs[id]; r != nil && !r.answered {
		if !r.probe {
			s.out.Shed++
		}
		s.answer(r, false)
	}
}

func (s *stage) Fail(id uint32) {
	if r := s.reqs[id]; r != nil && !r.answered {
		if !r.probe {
			s.out.Failed++
		}
		s.answer(r, false)
	}
}

func (s *stage) WakeUp(at admission.Time) { s.wake = at }

func (s *stage) Call(uint32, admission.Time)     {}
func (s *stage) SkipCall(uint32)                 {}
func (s *stage) Remember(uint32, admission.Time) {}
func (s *stage) Forget(uint32)                   {}
func (s *stage) ReuseResult(uint32)              {}
func (s *stage) Health(bool)                     {}
func (s *stage) SignalOverload(float64)          {}
func (s *stage) SetIdleTimeout(admission.Time)   {}
func (s *stage) Log(string)                      {}
