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
	mu           sync.Mutex
	runs         map[string][]storedRun
	effects      map[string]int       // calls that the service below carried out, by key
	acknowledged map[string]time.Time // when a key's result was given last
	answers      answerCounts
	firstBroken  string
}

// storedRun is one run that the kernel began.
type storedRun struct {
	at     time.Time
	result string
}

// answerCounts are attempts by their outcome.
type answerCounts struct {
	sent, done, repeatsDone, failed, rejected int
	cut                                       int // the node was killed before it answered
}

func (a *answerCounts) add(b answerCounts) {
	a.sent += b.sent
	a.done += b.done
	a.repeatsDone += b.repeatsDone
	a.failed += b.failed
	a.rejected += b.rejected
	a.cut += b.cut
}

// attemptOutcome is what became of one attempt.
type attemptOutcome struct {
	key, body string
	code      int  // 0: no answer came
	again     bool // the key was sent before
	read      bool // the node may have read the request
	alive     bool // the node is in the life in which it was sent
	took      time.Duration
}

func newResultHistory() *resultHistory {
	return &resultHistory{runs: map[string][]storedRun{}, effects: map[string]int{},
		acknowledged: map[string]time.Time{}}
}

// runBegins is told each run by the kernel, and gives its result.
func (h *resultHistory) runBegins(body []byte) []byte {
	key, now := string(body), time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.runs[key]
	if n := len(before); n > 0 && now.Sub(before[n-1].at) < resultWindow {
		h.fail("%s ran again %v after its last run began, expected %v at least", key, now.Sub(before[n-1].at),
			resultWindow)
	}
	result := fmt.Sprintf("%s#%d\x00\xff", key, len(before)+1)
	h.runs[key] = append(before, storedRun{now, result})
	return []byte(result)
}

// effectDone is told each call that the service below carries out: an effect that nobody can take back, one a run at
// most.
func (h *resultHistory) effectDone(body []byte) {
	key := string(body)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.effects[key]++; h.effects[key] > len(h.runs[key]) {
		h.fail("%s had its effect %d times in %d runs", key, h.effects[key], len(h.runs[key]))
	}
}

// note holds an answer against what ran.
func (h *resultHistory) note(a attemptOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.code != 0 || a.read {
		h.answers.sent++
	}
	switch a.code {
	case 0:
		if a.read {
			h.answers.cut++
		}
		if a.alive && a.read {
			h.fail("%s got no answer, and its node was not killed", a.key)
		}
	case http.StatusOK:
		h.answers.done++
		if a.again {
			h.answers.repeatsDone++
		}
		if !slices.ContainsFunc(h.runs[a.key], func(r storedRun) bool { return r.result == a.body }) {
			h.fail("%s was answered by %q, which no run of it gave", a.key, a.body)
		}
		h.acknowledged[a.key] = time.Now()
	case http.StatusServiceUnavailable:
		h.answers.rejected++
	case http.StatusInternalServerError:
		h.answers.failed++
		// One that waited for the disk until its deadline fails too, whatever is known.
		if since := time.Since(h.acknowledged[a.key]); since < resultWindow-windowSlack && a.took < windowSlack {
			h.fail("%s was errored %v after its result was told", a.key, since)
		}
	default:
		h.fail("%s was answered %d", a.key, a.code)
	}
}

// fail notes the first broken promise; the caller holds the lock.
func (h *resultHistory) fail(format string, args ...any) {
	if h.firstBroken == "" {
		h.firstBroken = fmt.Sprintf(format, args...)
	}
}

// broken gives the first broken promise, empty where there is none.
func (h *resultHistory) broken() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.firstBroken
}

// historyTotals sums up what histories have.
type historyTotals struct {
	answers             answerCounts
	keys, runs, effects int
}

func (t *historyTotals) add(h *resultHistory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.answers.add(h.answers)
	for _, runs := range h.runs {
		t.keys, t.runs = t.keys+1, t.runs+len(runs)
	}
	for _, n := range h.effects {
		t.effects += n
	}
}
