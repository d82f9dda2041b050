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

// CallResults is what became of callers' reqs.
type CallResults struct {
	mu                              sync.Mutex
	Asked, Done, Shed, Lost, Errors int
	Tries                           int
	Times                           []float64 // ms of those done
	Each                            []CallResult
}

// CallResult is one req that a node answered.
type CallResult struct {
	At    time.Time
	Node  *nodeProcess
	Code  int // 0: it had no answer
	Value float64
	Good  bool // done within its target
	Tries int
}

// String is the line of a report: calls by outcome, and their attempts.
func (c *CallResults) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("asked %d, done %d, shed %d, lost %d, errored %d, tries %d", c.Asked, c.Done, c.Shed, c.Lost, c.Errors,
		c.Tries)
}

// quantile gives a time that a share of reqs was done within.
func (c *CallResults) quantile(q float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Times) == 0 {
		return 0
	}
	sort.Float64s(c.Times)
	return c.Times[min(len(c.Times)-1, int(q*float64(len(c.Times))))]
}

// count gives how many reqs were noted one by one so far.
func (c *CallResults) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.Each)
}

// valueInTime gives the share of value that was done in time, of the reqs after the first from.
func (c *CallResults) valueInTime(from int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	good, all := 0.0, 0.0
	for _, a := range c.Each[from:] {
		if all += a.Value; a.Good {
			good += a.Value
		}
	}
	return good / max(all, 1)
}

// Load sends reqs at a rate until the context ends, each to a node that the list says is ready, and elsewhere when it
// is turned away: so a req is lost only if nobody answered it in its time.
func (r *FleetProcesses) Load(ctx context.Context, rate float64) *CallResults {
	c := &CallResults{}
	s, _ := simulation.ReadScenario("fleet", rigClasses)
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

// call is one req with its tries.
func (r *FleetProcesses) call(c *CallResults, class *simulation.Class, keyed bool, tenant, first int) {
	began := time.Now()
	end := began.Add(time.Duration(class.Handler.Timeout) * 100 * time.Microsecond)
	key := ""
	if keyed {
		key = newKey()
	}
	code, tries := 0, 0
	var last *nodeProcess
	sender := first*131 + tenant*17 + int(began.UnixNano()>>10)%64
	gap := firstGap
	for k := 0; tries < maxTries && time.Now().Before(end) && code != http.StatusOK; k++ {
		if k > 0 && k%len(r.nodes) == 0 {
			time.Sleep(firstGap) // the list was gone through once
		}
		n := r.nodes[(first+k)%len(r.nodes)]
		if !r.ready.is(n.name) || r.Odd == (first+k)%len(r.nodes)+1 && class.Name == "fill" {
			continue
		}
		if keyed && tries > 0 && code != http.StatusServiceUnavailable {
			break // it may have run: elsewhere it would run again
		}
		if tries >= atOnce && !r.Eager {
			if gap > time.Until(end) {
				break // the next try would be for nobody
			}
			time.Sleep(gap)
			gap *= 2
		}
		ctx, cancel := context.WithDeadline(context.Background(), end)
		var told time.Duration
		code, told = sendAttempt(ctx, r.client, n.front, class.Name, tenant, sender, key, tries > 0)
		cancel()
		tries++
		last = n
		if r.Patient && code == http.StatusServiceUnavailable {
			time.Sleep(min(told, time.Until(end)))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Asked++
	c.Tries += tries
	if r.Below {
		good := time.Since(began) <= time.Duration(class.Handler.LatencyObjective)*100*time.Microsecond && code == http.StatusOK
		c.Each = append(c.Each, CallResult{time.Now(), last, code, class.Handler.Value, good, tries})
	}
	switch {
	case code == 0 && tries == 0: // nobody was ready in all its time
		c.Shed++
	}
	switch code {
	case http.StatusOK:
		c.Done++
		c.Times = append(c.Times, float64(time.Since(began).Microseconds())/1000)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Shed++
	case 0:
		c.Lost += min(tries, 1)
	default:
		c.Errors++
	}
}
