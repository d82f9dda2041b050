package simulation

import (
	"math"
	"math/rand"

	"github.com/HdrHistogram/hdrhistogram-go"

	"umberwinch/admission"
)

// virtualTime is in tenths of a millisecond.
type virtualTime = admission.Time

const second = admission.Second

// decider decides about requests: the admission module or a baseline.
type decider interface {
	Decide(r *admission.Round, w admission.Writer)
}

// Class describes the current workload of one request class.
type Class struct {
	Name          string
	Handler       admission.Handler
	MeanWork      float64 // mean work, tenths of a ms
	WorkSigma     float64 // sigma of the log-normal distribution of work, 0 for constant work
	Rate          float64 // requests per second per server
	HeavyFraction float64 // fraction of requests with HeavyFactor times the work
	HeavyFactor   float64
	hangFraction  float64 // fraction of runs that never end
	surgingTenant int     // tenant with surgeFactor times the requests of another, -1 for none
	surgeFactor   float64
	maxRetries    int         // attempts after the first one was shed
	nextArrival   virtualTime // time of the next request
}

// classResults counts the outcomes of a class's requests.
type classResults struct {
	offered, inTime                int
	withinQuota, withinQuotaInTime int // of tenants other than the surging one
	// from the first attempt to the end of the run, tenths of a ms
	latencies *hdrhistogram.Histogram
	// within the latency objective, by second of the first attempt
	inTimePerSecond  []int
	arrivedPerSecond []int
}

func newClassResults(classes int, span virtualTime) []classResults {
	all := make([]classResults, classes)
	for k := range all {
		all[k] = classResults{latencies: hdrhistogram.New(1, 10_000_000, 2),
			inTimePerSecond: make([]int, span/second+2), arrivedPerSecond: make([]int, span/second+2)}
	}
	return all
}

// add adds the results of another server.
func (t *classResults) add(o *classResults) {
	t.offered, t.inTime = t.offered+o.offered, t.inTime+o.inTime
	t.withinQuota, t.withinQuotaInTime = t.withinQuota+o.withinQuota, t.withinQuotaInTime+o.withinQuotaInTime
	t.latencies.Merge(o.latencies)
	for i := range t.inTimePerSecond {
		t.inTimePerSecond[i] += o.inTimePerSecond[i]
		t.arrivedPerSecond[i] += o.arrivedPerSecond[i]
	}
}

type attempt struct {
	class, tenant int
	firstArrived  virtualTime // time of the first attempt
	arrived       virtualTime
	number        int
	answered      bool
	start         virtualTime
	work          float64
	hangs         bool
	caller        uint32
}

// run ends when server.servicePerRun reaches endsAt.
type run struct {
	id     uint32
	endsAt float64
}

func (r run) before(o run) bool { return r.endsAt < o.endsAt }

type retry struct {
	at      virtualTime
	id      uint32
	attempt attempt
}

func (r retry) before(o retry) bool { return r.at < o.at || r.at == o.at && r.id < o.id }

// server simulates one server: cores shared equally among the runs, open-loop clients, and a decider that admits
// requests. It is the decider's admission.Writer.
type server struct {
	random        *rand.Rand // arrivals and work; independent of the decisions
	decider       decider
	now           virtualTime
	cores         float64
	overloadRatio float64 // runs per core above which the total throughput falls
	classes       []Class
	tenants       int
	lastID        uint32
	requests      map[uint32]*attempt // open attempts by request ID
	runs          priorityQueue[run]
	hungRuns      int     // runs that never end
	servicePerRun float64 // core time that a run has received since the start, tenths of a ms
	retries       priorityQueue[retry]
	wakeAt        virtualTime // time of the decider's timer, -1 for none
	results       []classResults
	peakRuns      float64 // highest number of runs per core
	drained       bool
}

func newServer(seed int64, d decider, cores int, classes []Class, tenants int, span virtualTime) *server {
	s := &server{random: rand.New(rand.NewSource(seed)), decider: d, now: second, cores: float64(cores),
		overloadRatio: 5, tenants: tenants, requests: map[uint32]*attempt{}, wakeAt: -1}
	s.classes = append(s.classes, classes...)
	s.results = newClassResults(len(classes), span)
	for k := range s.classes {
		s.classes[k].nextArrival = s.now + s.drawInterarrival(k)
	}
	s.decide(&admission.Round{})
	return s
}

// drawInterarrival draws the time until the next request of a class. A rate of 0 counts as ten per second.
func (s *server) drawInterarrival(k int) virtualTime {
	c := &s.classes[k]
	rate := c.Rate
	if c.surgingTenant >= 0 {
		rate *= 1 + (c.surgeFactor-1)/float64(s.tenants)
	}
	if rate <= 0 {
		return second / 10
	}
	return max(1, virtualTime(s.random.ExpFloat64()/rate*float64(second)))
}

// runSpeed is the fraction of a core that each run receives.
func (s *server) runSpeed() float64 {
	n := float64(len(s.runs) + s.hungRuns)
	if n <= s.cores {
		return 1
	}
	v := s.cores / n
	if over := n / s.cores / s.overloadRatio; over > 1 {
		v /= over // overloaded: throughput falls as runs are added
	}
	return v
}

// advance moves the clock and adds the service that the runs receive until then.
func (s *server) advance(to virtualTime) {
	if dt := float64(to - s.now); dt > 0 {
		n := float64(len(s.runs) + s.hungRuns)
		s.servicePerRun += dt * s.runSpeed()
		s.peakRuns = max(s.peakRuns, n/s.cores)
		s.now = to
	}
}

// Kinds of the next event of a server; an index of a class stands for its next arrival.
const (
	noEvent = -1 - iota
	runEndEvent
	wakeUpEvent
	retryEvent
)

// runUntil runs all events before end.
func (s *server) runUntil(end virtualTime) {
	for {
		at, next := end, noEvent
		for k := range s.classes {
			if a := s.classes[k].nextArrival; a < at {
				at, next = a, k
			}
		}
		if len(s.runs) > 0 {
			left := (s.runs[0].endsAt - s.servicePerRun) / s.runSpeed()
			if a := s.now + virtualTime(math.Ceil(max(left, 0))); a < at {
				at, next = a, runEndEvent
			}
		}
		if s.wakeAt >= 0 && s.wakeAt < at {
			at, next = s.wakeAt, wakeUpEvent
		}
		if len(s.retries) > 0 && s.retries[0].at < at {
			at, next = s.retries[0].at, retryEvent
		}
		s.advance(max(at, s.now))
		switch {
		case next >= 0:
			s.arrive(next)
		case next == runEndEvent:
			s.endRun()
		case next == wakeUpEvent:
			s.wakeAt = -1
			s.decide(&admission.Round{TimerFired: true, HasGauges: true,
				Gauges: admission.Gauges{Runnable: float64(len(s.runs) + s.hungRuns), OpenConnections: 10}})
		case next == retryEvent:
			a := s.retries.take()
			s.sendAttempt(a.attempt)
		default:
			return
		}
	}
}

// arrive draws a new request of a class and the time of its next one.
func (s *server) arrive(k int) {
	c := &s.classes[k]
	tenant := s.random.Intn(s.tenants)
	if c.surgingTenant >= 0 && s.random.Float64() < (c.surgeFactor-1)/(float64(s.tenants)+c.surgeFactor-1) {
		tenant = c.surgingTenant
	}
	work := c.MeanWork
	if c.WorkSigma > 0 {
		work *= math.Exp(c.WorkSigma*s.random.NormFloat64() - c.WorkSigma*c.WorkSigma/2)
	}
	if s.random.Float64() < c.HeavyFraction {
		work *= c.HeavyFactor
	}
	hangs := s.random.Float64() < c.hangFraction
	o := &s.results[k]
	o.offered++
	if tenant != c.surgingTenant {
		o.withinQuota++
	}
	o.arrivedPerSecond[min(int(s.now/second), len(o.arrivedPerSecond)-1)]++
	s.sendAttempt(attempt{class: k, tenant: tenant, firstArrived: s.now, work: max(work, 1), hangs: hangs,
		caller: 1 + uint32(s.random.Intn(40))})
	c.nextArrival = s.now + s.drawInterarrival(k)
}

func (s *server) sendAttempt(q attempt) {
	s.lastID++
	q.arrived = s.now
	s.requests[s.lastID] = &q
	c := &s.classes[q.class]
	s.decide(&admission.Round{Arrived: []admission.Request{{ID: s.lastID, Handler: q.class, Tenant: q.tenant,
		ArrivedAt: s.now,
		Deadline:  q.firstArrived + c.Handler.Timeout, SizeKB: 8, IsRetry: q.number > 0, Caller: q.caller}}})
}

// endRun completes the run with the earliest end and counts its request, unless the caller was answered before.
func (s *server) endRun() {
	r := s.runs.take()
	q := s.requests[r.id]
	delete(s.requests, r.id)
	end := admission.RunEnd{ID: r.id, Outcome: admission.Succeeded, Elapsed: s.now - q.start}
	s.decide(&admission.Round{RunEnds: []admission.RunEnd{end}})
	if q.answered {
		return
	}
	o, latency := &s.results[q.class], s.now-q.firstArrived
	o.latencies.RecordValue(int64(latency))
	if latency <= s.classes[q.class].Handler.LatencyObjective {
		o.inTime++
		if q.tenant != s.classes[q.class].surgingTenant {
			o.withinQuotaInTime++
		}
		o.inTimePerSecond[min(int(q.firstArrived/second), len(o.inTimePerSecond)-1)]++
	}
}

func (s *server) decide(r *admission.Round) {
	r.Now = s.now
	s.decider.Decide(r, s)
}

func (s *server) Run(id uint32) {
	q := s.requests[id]
	q.start = s.now
	if q.hangs {
		s.hungRuns++
		return
	}
	s.runs.add(run{id, s.servicePerRun + q.work})
}

func (s *server) Shed(id uint32, _ admission.Reason, last bool, retryAfter admission.Time) {
	q := s.requests[id]
	delete(s.requests, id)
	c := &s.classes[q.class]
	wait := max(retryAfter, second/5<<q.number)
	if at := s.now + wait; !last && q.number < c.maxRetries && at < q.firstArrived+c.Handler.Timeout && !s.drained {
		n := *q
		n.number++
		s.lastID++
		s.retries.add(retry{at, s.lastID, n})
	}
}

func (s *server) Fail(id uint32, _ admission.Reason) {
	if q := s.requests[id]; !q.answered {
		q.answered = true
		if q.start == 0 {
			delete(s.requests, id)
		}
	}
}

func (s *server) WakeUp(at admission.Time)        { s.wakeAt = at }
func (s *server) Stop(uint32)                     {}
func (s *server) Call(uint32, admission.Time)     {}
func (s *server) SkipCall(uint32)                 {}
func (s *server) Remember(uint32, admission.Time) {}
func (s *server) Forget(uint32)                   {}
func (s *server) ReuseResult(uint32)              {}
func (s *server) Health(bool)                     {}
func (s *server) SignalOverload(float64)          {}
func (s *server) SetIdleTimeout(admission.Time)   {}
func (s *server) Log(string)                      {}

// plainQueue is the baseline decider: a fixed number of run slots before a FIFO queue that sheds requests after a
// tenth of a second.
type plainQueue struct {
	slots, running int
	queue          []admission.Request
	timerSet       bool
}

func (p *plainQueue) Decide(r *admission.Round, w admission.Writer) {
	p.running -= len(r.RunEnds)
	p.queue = append(p.queue, r.Arrived...)
	if r.TimerFired {
		p.timerSet = false
	}
	for len(p.queue) > 0 && (p.running < p.slots || r.Now-p.queue[0].ArrivedAt > second/10) {
		q := p.queue[0]
		p.queue = p.queue[1:]
		if r.Now-q.ArrivedAt > second/10 {
			w.Shed(q.ID, admission.ReasonQueueTimeout, false, 0)
			continue
		}
		p.running++
		w.Run(q.ID)
	}
	if len(p.queue) > 0 && !p.timerSet {
		p.timerSet = true
		w.WakeUp(r.Now + second/50)
	}
}
