package pools

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"

	"umberwinch/admission"
)

// recordedPools is the hash of all that pools decide on the recorded stream, made with the code as version 2a0a97e has
// it. It changes with any decision: whoever changes one on purpose puts the new hash here and says why in the commit.
const recordedPools = "caa51a6ccfb2b2c02ed4bec9bbcc8cc43cda91ae4ad0fea50a2027d0958fdaac"

// stream plays a server that asks pools and tells them, with all that goes wrong on one.
type stream struct {
	pools   *Pools
	rand    *rand.Rand
	now     Time
	next    uint32
	scale   int // how much larger than the smallest server this one is
	waiting []waitingRequest
	running []runningRequest
	note    func(format string, args ...any)
}

type waitingRequest struct {
	id      uint32
	arrived Time
}

type runningRequest struct {
	id   uint32
	ends Time
	away bool
}

// TestRecordedPools plays classes at moving rates and works, with heavy runs, calls that crawl, runs that stop
// without a result or hang, sheds before and in the queue, a process that stands still, slots that come and go,
// surges of one tenant and of one sender, and operators that change floors, caps, the reserve and all of it. Each
// answer of CanStart, each view and each line for the log goes into one hash.
func TestRecordedPools(t *testing.T) {
	sum, count := sha256.New(), 0
	note := func(format string, args ...any) {
		count++
		fmt.Fprintf(sum, format+"\n", args...)
	}
	for seed := range uint64(24) {
		s := &stream{rand: rand.New(rand.NewPCG(seed, 3)), now: 30 * Second, scale: 1 + 4*int(seed%2), note: note}
		plan := s.plan()
		s.pools = New(plan)
		for step := range 6000 {
			s.step(step, len(plan.Classes))
			if step%1500 == 1499 {
				plan = s.change(plan)
				s.pools.Reconfigure(plan)
			}
		}
	}
	if got := hex.EncodeToString(sum.Sum(nil)); got != recordedPools {
		t.Errorf("%d decisions, hash %s, expected %s", count, got, recordedPools)
	}
}

func (s *stream) plan() Plan {
	p := Plan{Reserve: s.rand.IntN(2) == 0, Tenants: s.rand.IntN(4)}
	for k := range 2 + s.rand.IntN(3) {
		p.Classes = append(p.Classes, Class{Name: fmt.Sprint("class", k), Value: float64(s.rand.IntN(5))})
	}
	return p
}

// change is an operator's new file: same classes, other limits.
func (s *stream) change(p Plan) Plan {
	p.Disabled, p.Reserve = s.rand.IntN(8) == 0, s.rand.IntN(2) == 0
	p.Classes = append([]Class(nil), p.Classes...)
	for k := range p.Classes {
		c := &p.Classes[k]
		c.MinFraction, c.MaxFraction, c.FixedLimit = 0, 0, false
		switch s.rand.IntN(4) {
		case 0:
			c.MinFraction = 0.3 * s.rand.Float64()
		case 1:
			c.MaxFraction = 0.2 + 0.6*s.rand.Float64()
		case 2:
			c.MaxFraction, c.FixedLimit = 0.1+0.5*s.rand.Float64(), true
		}
	}
	return p
}

func (s *stream) step(step, classes int) {
	s.now += Time(s.rand.IntN(200))
	if s.rand.IntN(1000) == 0 {
		s.now += 5 * Second // the process stood still
	}
	slots := 6*s.scale + s.rand.IntN(3)
	if step/700%4 == 3 {
		slots = 2 * s.scale
	}
	s.arrive(step, classes)
	s.leave()
	s.move()
	s.pools.Tick(s.now, slots)
	s.start(slots, step)
	for _, line := range s.pools.TakeChanges() {
		s.note("told %s", line)
	}
	if step%20 == 0 {
		for class, view := range s.pools.Status() {
			s.note("%d view %v lap %d", s.now, view, s.pools.QueueDelay(class))
		}
	}
}

// arrive has requests join the queue, more of them in a surge, and some refused at once.
func (s *stream) arrive(step, classes int) {
	for n := s.scale * s.rand.IntN(2+3*(step/400%3)/2); n > 0; n-- {
		s.next++
		q := &admission.Request{ID: s.next, Handler: s.rand.IntN(classes), Tenant: s.rand.IntN(4),
			Caller: uint32(s.rand.IntN(30))}
		if step/500%3 == 1 {
			q.Tenant, q.Caller = 1, 9
		}
		if s.rand.IntN(30) == 0 {
			s.pools.Rejected(s.now, q.Handler)
			continue
		}
		s.pools.Enqueued(s.now, q)
		s.waiting = append(s.waiting, waitingRequest{q.ID, s.now})
	}
}

// leave has requests shed that waited too long, and some whose caller went; and tells of one that nobody knows.
func (s *stream) leave() {
	left := s.waiting[:0]
	for _, w := range s.waiting {
		switch {
		case s.now-w.arrived > Second/2:
			s.pools.Dequeued(s.now, w.id, true)
		case s.rand.IntN(200) == 0:
			s.pools.Dequeued(s.now, w.id, false)
		default:
			left = append(left, w)
		}
	}
	s.waiting = left
	if s.rand.IntN(100) == 0 {
		s.pools.Dequeued(s.now, 1<<30, true)
		s.pools.Started(s.now, 1<<30, 0)
		s.pools.Ended(s.now, 1<<30, true, true)
		s.note("may %v", s.pools.CanStart(1<<30))
	}
}

// move has runs come to calls, go on and end; the same is told twice now and then.
func (s *stream) move() {
	left := s.running[:0]
	for _, r := range s.running {
		switch {
		case s.now >= r.ends && !r.away:
			s.pools.Ended(s.now, r.id, s.rand.IntN(12) > 0, s.rand.IntN(6) > 0)
			continue
		case s.rand.IntN(40) == 0:
			r.away = !r.away
			s.pools.SetAtCall(s.now, r.id, r.away)
		case s.rand.IntN(200) == 0:
			s.pools.SetAtCall(s.now, r.id, r.away)
		}
		left = append(left, r)
	}
	s.running = left
}

// start gives free slots in arrival order to those that may have one, as admission does.
func (s *stream) start(slots, step int) {
	for k := 0; k < len(s.waiting) && len(s.running) < slots; {
		w := s.waiting[k]
		may := s.pools.CanStart(w.id)
		s.note("%d may %d %v", s.now, w.id, may)
		if !may {
			k++
			continue
		}
		s.pools.Started(s.now, w.id, s.now-w.arrived)
		work := Time(200 + 1500*int(w.id%3) + s.rand.IntN(500))
		switch s.rand.IntN(20) {
		case 0:
			work *= 10
		case 1:
			work += Time(step/1000) * Second / 10 // costs change in time
		}
		s.running = append(s.running, runningRequest{id: w.id, ends: s.now + work})
		s.waiting = append(s.waiting[:k], s.waiting[k+1:]...)
		k = 0
	}
}
