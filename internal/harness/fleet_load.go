package harness

// This file is the load on a fleet of processes and what became of it.

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sort"
	"sync"
	"time"

	"umberwinch/internal/simulation"
)

// CallResults is what became of callers' requests.
type CallResults struct {
	mu                                 sync.Mutex
	Requests, Done, Shed, Lost, Errors int
	Attempts                           int
	Times                              []float64 // ms of those done
	Each                               []CallResult
}

// CallResult is one request that a node answered.
type CallResult struct {
	At       time.Time
	Node     *nodeProcess
	Value    float64
	InTime   bool // done within its target
	Attempts int
}

// String is the line of a report: calls by outcome, and their attempts.
func (c *CallResults) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("asked %d, done %d, shed %d, lost %d, errored %d, tries %d", c.Requests, c.Done, c.Shed,
		c.Lost, c.Errors, c.Attempts)
}

// quantile gives a time that a share of requests was done within.
func (c *CallResults) quantile(q float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Times) == 0 {
		return 0
	}
	sort.Float64s(c.Times)
	return c.Times[min(len(c.Times)-1, int(q*float64(len(c.Times))))]
}

// count gives how many requests were noted one by one so far.
func (c *CallResults) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.Each)
}

// valueInTime gives the share of value that was done in time, of the requests after the first from.
func (c *CallResults) valueInTime(from int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	good, all := 0.0, 0.0
	for _, a := range c.Each[from:] {
		if all += a.Value; a.InTime {
			good += a.Value
		}
	}
	return good / max(all, 1)
}

// Load sends requests at a rate until the context ends, each to a node that the list says is ready, and elsewhere when
// it is turned away: so a request is lost only if nobody answered it in its time.
func (r *FleetProcesses) Load(ctx context.Context, rate float64) *CallResults {
	c := &CallResults{}
	s, _ := simulation.ReadScenario("fleet", fleetClasses)
	chance := rand.New(rand.NewSource(r.Seed))
	r.loads.Add(1)
	go func() {
		defer r.loads.Done()
		var open sync.WaitGroup
		defer open.Wait()
		next := time.Now()
		for i := 0; ; i++ {
			next = next.Add(time.Duration(chance.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-r.ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			class, tenant, first := pickClass(s, chance.Float64()), chance.Intn(s.Tenants), chance.Intn(len(r.nodes))
			open.Add(1)
			go func() { defer open.Done(); r.call(c, &s.Classes[class], class == s.Dearest, tenant, first) }()
		}
	}()
	return c
}

func pickClass(s *simulation.Scenario, at float64) int {
	sum := 0.0
	for k := range s.Classes {
		sum += s.Classes[k].Rate
	}
	for k := range s.Classes {
		if at -= s.Classes[k].Rate / sum; at < 0 {
			return k
		}
	}
	return 0
}

// clientCall is one request with its attempts.
type clientCall struct {
	r               *FleetProcesses
	class           *simulation.Class
	key             string // empty: it has none
	tenant, sender  int
	first           int // the node that is asked first
	began, deadline time.Time
	backoff         time.Duration // before the next attempt, once there were some
	code            int           // of the last answer, 0: there was none
	attempts        int
	last            *nodeProcess
}

// call sends one request and notes what became of it.
func (r *FleetProcesses) call(c *CallResults, class *simulation.Class, keyed bool, tenant, first int) {
	began := time.Now()
	q := &clientCall{r: r, class: class, tenant: tenant, first: first, began: began, backoff: firstGap,
		deadline: began.Add(time.Duration(class.Handler.Timeout) * 100 * time.Microsecond),
		sender:   first*131 + tenant*17 + int(began.UnixNano()>>10)%64}
	if keyed {
		q.key = newKey()
	}
	q.run()
	c.note(q)
}

// run asks one node after the other until one is done with it, its time is over, or asking on would be wrong.
func (q *clientCall) run() {
	nodes := q.r.nodes
	for k := 0; q.attempts < maxTries && time.Now().Before(q.deadline) && q.code != http.StatusOK; k++ {
		if k > 0 && k%len(nodes) == 0 {
			time.Sleep(firstGap) // the list was gone through once
		}
		i := (q.first + k) % len(nodes)
		if !q.r.ready.ready(nodes[i].name) || q.r.OddNode == i+1 && q.class.Name == "fill" {
			continue
		}
		if q.mayHaveRun() || !q.pause() {
			return
		}
		q.attempt(nodes[i])
	}
}

// mayHaveRun tells whether a keyed request may have run at the last node: elsewhere it would run again.
func (q *clientCall) mayHaveRun() bool {
	return q.key != "" && q.attempts > 0 && q.code != http.StatusServiceUnavailable
}

// pause waits before an attempt after the first ones, unless that would be for nobody: then it gives false.
func (q *clientCall) pause() bool {
	if q.attempts < triesWithoutPause || q.r.RetryAtOnce {
		return true
	}
	if q.backoff > time.Until(q.deadline) {
		return false
	}
	time.Sleep(q.backoff)
	q.backoff *= 2
	return true
}

// attempt asks one node; a patient caller that is turned away waits for as long as it is told to.
func (q *clientCall) attempt(n *nodeProcess) {
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	var retryAfter time.Duration
	q.code, retryAfter = sendAttempt(ctx, q.r.client, n.front, q.class.Name, q.tenant, q.sender, q.key, q.attempts > 0)
	q.attempts++
	q.last = n
	if q.r.HonorRetryAfter && q.code == http.StatusServiceUnavailable {
		time.Sleep(min(retryAfter, time.Until(q.deadline)))
	}
}

// note counts what became of a request.
func (c *CallResults) note(q *clientCall) {
	took := time.Since(q.began)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Requests++
	c.Attempts += q.attempts
	if q.r.WithStores {
		objective := time.Duration(q.class.Handler.LatencyObjective) * 100 * time.Microsecond
		c.Each = append(c.Each, CallResult{At: time.Now(), Node: q.last, Value: q.class.Handler.Value,
			InTime: took <= objective && q.code == http.StatusOK, Attempts: q.attempts})
	}
	switch q.code {
	case http.StatusOK:
		c.Done++
		c.Times = append(c.Times, float64(took.Microseconds())/1000)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Shed++
	case 0:
		if q.attempts == 0 { // nobody was ready in all its time
			c.Shed++
		} else {
			c.Lost++
		}
	default:
		c.Errors++
	}
}
