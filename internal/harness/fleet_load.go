package harness

// This file generates a fleet's load and records the results.

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

// CallResults counts callers' requests by outcome.
type CallResults struct {
	mu                                 sync.Mutex
	Requests, Done, Shed, Lost, Errors int
	Attempts                           int
	LatenciesMS                        []float64 // of completed requests
	Calls                              []CallResult
}

// CallResult is the outcome of one request.
type CallResult struct {
	EndedAt  time.Time
	Node     *nodeProcess
	Value    float64
	InTime   bool // completed within its latency objective
	Attempts int
}

// String formats the counts for a report: requests by outcome, and attempts.
func (c *CallResults) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("requests %d, done %d, shed %d, lost %d, errored %d, attempts %d", c.Requests, c.Done, c.Shed,
		c.Lost, c.Errors, c.Attempts)
}

// quantile returns a quantile of the latencies of completed requests, in ms.
func (c *CallResults) quantile(q float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.LatenciesMS) == 0 {
		return 0
	}
	sort.Float64s(c.LatenciesMS)
	return c.LatenciesMS[min(len(c.LatenciesMS)-1, int(q*float64(len(c.LatenciesMS))))]
}

// numCalls returns the number of recorded calls.
func (c *CallResults) numCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.Calls)
}

// inTimeValueShare returns the fraction of value completed in time, over the calls from index from on.
func (c *CallResults) inTimeValueShare(from int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	inTime, all := 0.0, 0.0
	for _, a := range c.Calls[from:] {
		if all += a.Value; a.InTime {
			inTime += a.Value
		}
	}
	return inTime / max(all, 1)
}

// Load sends requests at a rate, per second, until the context ends. Each goes to a ready node and is retried at
// others when it is rejected, so that it is lost only if no node responds before its deadline.
func (r *FleetProcesses) Load(ctx context.Context, rate float64) *CallResults {
	c := &CallResults{}
	s, _ := simulation.ReadScenario("fleet", fleetScenario)
	random := rand.New(rand.NewSource(r.Seed))
	r.loads.Add(1)
	go func() {
		defer r.loads.Done()
		var inFlight sync.WaitGroup
		defer inFlight.Wait()
		next := time.Now()
		for i := 0; ; i++ {
			next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			select {
			case <-ctx.Done():
				return
			case <-r.ctx.Done():
				return
			case <-time.After(time.Until(next)):
			}
			class, tenant, first := pickClass(s, random.Float64()), random.Intn(s.Tenants), random.Intn(len(r.nodes))
			inFlight.Add(1)
			go func() {
				defer inFlight.Done()
				r.sendRequest(c, &s.Classes[class], class == s.HighestValue, tenant, first)
			}()
		}
	}()
	return c
}

// pickClass returns the class that a draw in [0, 1) selects, in proportion to the classes' rates.
func pickClass(s *simulation.Scenario, draw float64) int {
	sum := 0.0
	for k := range s.Classes {
		sum += s.Classes[k].Rate
	}
	for k := range s.Classes {
		if draw -= s.Classes[k].Rate / sum; draw < 0 {
			return k
		}
	}
	return 0
}

// clientCall is one request with its attempts.
type clientCall struct {
	fleet               *FleetProcesses
	class               *simulation.Class
	key                 string // idempotency key; may be empty
	tenant, sender      int
	firstNode           int // index of the node for the first attempt
	startedAt, deadline time.Time
	backoff             time.Duration // before the next attempt, after the immediate ones
	status              int           // of the last attempt's response; 0: none
	attempts            int
	lastNode            *nodeProcess
}

// sendRequest sends one request with its retries and records the result.
func (r *FleetProcesses) sendRequest(results *CallResults, class *simulation.Class, keyed bool, tenant, first int) {
	startedAt := time.Now()
	q := &clientCall{fleet: r, class: class, tenant: tenant, firstNode: first, startedAt: startedAt,
		backoff: initialBackoff, deadline: startedAt.Add(time.Duration(class.Handler.Timeout) * 100 * time.Microsecond),
		sender: first*131 + tenant*17 + int(startedAt.UnixNano()>>10)%64}
	if keyed {
		q.key = randomKey()
	}
	q.run()
	results.record(q)
}

// run tries nodes in turn until the request completes, its deadline passes or a retry could execute it twice.
func (q *clientCall) run() {
	nodes := q.fleet.nodes
	for k := 0; q.attempts < maxAttempts && time.Now().Before(q.deadline) && q.status != http.StatusOK; k++ {
		if k > 0 && k%len(nodes) == 0 {
			time.Sleep(initialBackoff) // all nodes were tried
		}
		i := (q.firstNode + k) % len(nodes)
		if !q.fleet.readiness.isReady(nodes[i].name) || q.fleet.NodeWithoutFill == i+1 && q.class.Name == "fill" {
			continue
		}
		if q.mayHaveRun() || !q.waitBackoff() {
			return
		}
		q.sendTo(nodes[i])
	}
}

// mayHaveRun reports whether a request with an idempotency key may have been executed by the last node: another node
// would execute it again.
func (q *clientCall) mayHaveRun() bool {
	return q.key != "" && q.attempts > 0 && q.status != http.StatusServiceUnavailable
}

// waitBackoff waits before an attempt after the immediate ones. It returns false if the backoff exceeds the time to
// the deadline.
func (q *clientCall) waitBackoff() bool {
	if q.attempts < immediateAttempts || q.fleet.RetryImmediately {
		return true
	}
	if q.backoff > time.Until(q.deadline) {
		return false
	}
	time.Sleep(q.backoff)
	q.backoff *= 2
	return true
}

// sendTo sends one attempt to a node. A caller that honors Retry-After waits for it after a rejection.
func (q *clientCall) sendTo(n *nodeProcess) {
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	var retryAfter time.Duration
	q.status, retryAfter = sendAttempt(ctx, q.fleet.client, n.callerAddr, q.class.Name, q.tenant, q.sender, q.key,
		q.attempts > 0)
	q.attempts++
	q.lastNode = n
	if q.fleet.HonorRetryAfter && q.status == http.StatusServiceUnavailable {
		time.Sleep(min(retryAfter, time.Until(q.deadline)))
	}
}

// record counts a request by its outcome.
func (c *CallResults) record(q *clientCall) {
	latency := time.Since(q.startedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Requests++
	c.Attempts += q.attempts
	if q.fleet.WithStores {
		objective := time.Duration(q.class.Handler.LatencyObjective) * 100 * time.Microsecond
		c.Calls = append(c.Calls, CallResult{EndedAt: time.Now(), Node: q.lastNode, Value: q.class.Handler.Value,
			InTime: latency <= objective && q.status == http.StatusOK, Attempts: q.attempts})
	}
	switch q.status {
	case http.StatusOK:
		c.Done++
		c.LatenciesMS = append(c.LatenciesMS, float64(latency.Microseconds())/1000)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		c.Shed++
	case 0:
		if q.attempts == 0 { // no node was ready before the deadline
			c.Shed++
		} else {
			c.Lost++
		}
	default:
		c.Errors++
	}
}
