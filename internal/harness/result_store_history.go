package harness

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// resultHistory records the runs of keys and the responses to callers, and checks the invariants as they occur: no
// key runs twice within its window, a run makes its call at most once, a repeat gets the result of a run of its key,
// and an acknowledged result isn't lost.
type resultHistory struct {
	mu             sync.Mutex
	runs           map[string][]storedRun
	effects        map[string]int       // calls that the store executed, by key
	acknowledged   map[string]time.Time // time of the latest 200 response, by key
	responses      responseCounts
	firstViolation string
}

// storedRun is one run that the kernel started.
type storedRun struct {
	startedAt time.Time
	result    string
}

// responseCounts counts attempts by outcome.
type responseCounts struct {
	sent, done, repeatsDone, failed, rejected int
	interrupted                               int // the node was killed before it responded
}

func (a *responseCounts) add(b responseCounts) {
	a.sent += b.sent
	a.done += b.done
	a.repeatsDone += b.repeatsDone
	a.failed += b.failed
	a.rejected += b.rejected
	a.interrupted += b.interrupted
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome struct {
	key, body   string
	status      int  // 0: no response
	isRetry     bool // the key was sent before
	mayBeRead   bool // the node may have read the request
	nodeRunning bool // the node runs in the incarnation to which it was sent
	latency     time.Duration
}

func newResultHistory() *resultHistory {
	return &resultHistory{runs: map[string][]storedRun{}, effects: map[string]int{},
		acknowledged: map[string]time.Time{}}
}

// runStarted records the start of a run, as the kernel's onRunStart, and returns the run's result.
func (h *resultHistory) runStarted(body []byte) []byte {
	key, now := string(body), time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.runs[key]
	if n := len(previous); n > 0 && now.Sub(previous[n-1].startedAt) < resultWindow {
		h.recordViolation("key %s ran again %v after its last run, want at least %v", key,
			now.Sub(previous[n-1].startedAt), resultWindow)
	}
	result := fmt.Sprintf("%s#%d\x00\xff", key, len(previous)+1)
	h.runs[key] = append(previous, storedRun{now, result})
	return []byte(result)
}

// callExecuted records a call that the store executed. Its effect can't be undone, so a run may make one call at
// most.
func (h *resultHistory) callExecuted(body []byte) {
	key := string(body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.effects[key]++; h.effects[key] > len(h.runs[key]) {
		h.recordViolation("key %s: %d calls executed for %d runs, want at most one a run", key, h.effects[key],
			len(h.runs[key]))
	}
}

// recordAttempt records an attempt and checks its response against the runs of its key.
func (h *resultHistory) recordAttempt(a attemptOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.status != 0 || a.mayBeRead {
		h.responses.sent++
	}
	switch a.status {
	case 0:
		if a.mayBeRead {
			h.responses.interrupted++
		}
		if a.nodeRunning && a.mayBeRead {
			h.recordViolation("key %s: no response, but the node was not killed", a.key)
		}
	case http.StatusOK:
		h.responses.done++
		if a.isRetry {
			h.responses.repeatsDone++
		}
		if !slices.ContainsFunc(h.runs[a.key], func(r storedRun) bool { return r.result == a.body }) {
			h.recordViolation("key %s: response %q, want the result of one of its %d runs", a.key, a.body,
				len(h.runs[a.key]))
		}
		h.acknowledged[a.key] = time.Now()
	case http.StatusServiceUnavailable:
		h.responses.rejected++
	case http.StatusInternalServerError:
		h.responses.failed++
		// An attempt that waited for the disk until its deadline may fail in spite of a stored result.
		if since := time.Since(h.acknowledged[a.key]); since < resultWindow-windowMargin && a.latency < windowMargin {
			h.recordViolation("key %s: error %v after its result was acknowledged, want the result for %v", a.key,
				since, resultWindow)
		}
	default:
		h.recordViolation("key %s: unexpected status %d", a.key, a.status)
	}
}

// recordViolation records the first violation; the caller holds the lock.
func (h *resultHistory) recordViolation(format string, args ...any) {
	if h.firstViolation == "" {
		h.firstViolation = fmt.Sprintf(format, args...)
	}
}

// violation returns the first violation; empty if there is none.
func (h *resultHistory) violation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstViolation
}

// historyTotals sums up histories.
type historyTotals struct {
	responses           responseCounts
	keys, runs, effects int
}

func (t *historyTotals) add(h *resultHistory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.responses.add(h.responses)
	for _, runs := range h.runs {
		t.keys, t.runs = t.keys+1, t.runs+len(runs)
	}
	for _, n := range h.effects {
		t.effects += n
	}
}
