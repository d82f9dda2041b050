package harness

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// resultHistory is what a node did with keys and what callers got, held to the promises as it happens: no key runs
// twice within its window, a run has its effect once at most, a repeat gets the result of a run of its key, and a
// result that was acknowledged is not lost.
type resultHistory struct {
	mu             sync.Mutex
	runs           map[string][]storedRun
	effects        map[string]int       // calls that the service below carried out, by key
	acknowledged   map[string]time.Time // when a key's result was given last
	responses      responseCounts
	firstViolation string
}

// storedRun is one run that the kernel began.
type storedRun struct {
	startedAt time.Time
	result    string
}

// responseCounts are attempts by their outcome.
type responseCounts struct {
	sent, done, repeatsDone, failed, rejected int
	interrupted                               int // the node was killed before it answered
}

func (a *responseCounts) add(b responseCounts) {
	a.sent += b.sent
	a.done += b.done
	a.repeatsDone += b.repeatsDone
	a.failed += b.failed
	a.rejected += b.rejected
	a.interrupted += b.interrupted
}

// attemptOutcome is what became of one attempt.
type attemptOutcome struct {
	key, body   string
	status      int  // 0: no answer came
	isRetry     bool // the key was sent before
	mayBeRead   bool // the node may have read the request
	nodeRunning bool // the node is in the life in which it was sent
	latency     time.Duration
}

func newResultHistory() *resultHistory {
	return &resultHistory{runs: map[string][]storedRun{}, effects: map[string]int{},
		acknowledged: map[string]time.Time{}}
}

// runStarted is told each run by the kernel, and gives its result.
func (h *resultHistory) runStarted(body []byte) []byte {
	key, now := string(body), time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.runs[key]
	if n := len(previous); n > 0 && now.Sub(previous[n-1].startedAt) < resultWindow {
		h.recordViolation("%s ran again %v after its last run began, expected %v at least", key, now.Sub(previous[n-1].startedAt),
			resultWindow)
	}
	result := fmt.Sprintf("%s#%d\x00\xff", key, len(previous)+1)
	h.runs[key] = append(previous, storedRun{now, result})
	return []byte(result)
}

// callExecuted is told each call that the service below carries out: an effect that nobody can take back, one a run at
// most.
func (h *resultHistory) callExecuted(body []byte) {
	key := string(body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.effects[key]++; h.effects[key] > len(h.runs[key]) {
		h.recordViolation("%s had its effect %d times in %d runs", key, h.effects[key], len(h.runs[key]))
	}
}

// recordAttempt holds an answer against what ran.
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
			h.recordViolation("%s got no answer, and its node was not killed", a.key)
		}
	case http.StatusOK:
		h.responses.done++
		if a.isRetry {
			h.responses.repeatsDone++
		}
		if !slices.ContainsFunc(h.runs[a.key], func(r storedRun) bool { return r.result == a.body }) {
			h.recordViolation("%s was answered by %q, which no run of it gave", a.key, a.body)
		}
		h.acknowledged[a.key] = time.Now()
	case http.StatusServiceUnavailable:
		h.responses.rejected++
	case http.StatusInternalServerError:
		h.responses.failed++
		// One that waited for the disk until its deadline fails too, whatever is known.
		if since := time.Since(h.acknowledged[a.key]); since < resultWindow-windowMargin && a.latency < windowMargin {
			h.recordViolation("%s was errored %v after its result was told", a.key, since)
		}
	default:
		h.recordViolation("%s was answered %d", a.key, a.status)
	}
}

// recordViolation notes the first broken promise; the caller holds the lock.
func (h *resultHistory) recordViolation(format string, args ...any) {
	if h.firstViolation == "" {
		h.firstViolation = fmt.Sprintf(format, args...)
	}
}

// violation gives the first broken promise, empty where there is none.
func (h *resultHistory) violation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstViolation
}

// historyTotals sums up what histories have.
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
