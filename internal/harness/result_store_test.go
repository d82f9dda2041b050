package harness

import (
	"context"
	"strings"
	"testing"
	"time"
)

// A node that crashes at named points and at random runs no key twice within its window, and repeats get the stored
// result. With a guard disabled the check has to find the violation that the guard prevents.
func TestResultStoreKills(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ disabledGuard, crashPoint, violation string }{
		{},
		{"proof", "durable", "ran again"},
		{"intent", "sync", "ran again"},
		{"result", "sync", "after its result was acknowledged"},
	} {
		t.Run("without "+c.disabledGuard, func(t *testing.T) {
			t.Parallel()
			r, err := newResultStoreNode(resultStoreConfig{dir: t.TempDir(), program: builtProgram(t), seed: 7,
				window: resultWindow, operatorConfig: killTestConfig, disabledGuard: c.disabledGuard})
			if err != nil {
				t.Fatal(err)
			}
			defer r.close()
			r.crashPoint = c.crashPoint
			ctx, end := context.WithTimeout(context.Background(), 40*time.Second)
			defer end()
			kills := 25
			if c.violation != "" {
				kills = 400 // stops at the violation
			}
			if err = r.killRepeatedly(ctx, kills); err != nil {
				t.Fatal(err, r.logTail())
			}
			violation, responses := r.history.violation(), r.history.responses
			if c.violation == "" && (violation != "" || responses.repeatsDone == 0) || !strings.Contains(violation,
				c.violation) {
				t.Fatalf("after %d kills, %d requests done, %d repeats done: violation %q, want %q", r.kills.total,
					responses.done, responses.repeatsDone, violation, c.violation)
			}
		})
	}
}

// The history check detects each kind of violation, and accepts a correct history.
func TestResultHistoryDetectsViolations(t *testing.T) {
	key := []byte("a")
	for _, c := range []struct {
		name string
		play func(h *resultHistory)
	}{
		{"second run within the window", func(h *resultHistory) { h.runStarted(key); h.runStarted(key) }},
		{"two calls in one run",
			func(h *resultHistory) { h.runStarted(key); h.callExecuted(key); h.callExecuted(key) }},
		{"result of another key", func(h *resultHistory) {
			h.runStarted(key)
			h.recordAttempt(attemptOutcome{key: "b", status: 200, body: "a#1\x00\xff", isRetry: true, mayBeRead: true})
		}},
		{"changed result", func(h *resultHistory) {
			h.runStarted(key)
			h.recordAttempt(attemptOutcome{key: "a", status: 200, body: "a#1\x00", isRetry: true, mayBeRead: true})
		}},
		{"no response", func(h *resultHistory) {
			h.recordAttempt(attemptOutcome{key: "a", mayBeRead: true, nodeRunning: true})
		}},
		{"lost result", func(h *resultHistory) {
			h.recordAttempt(attemptOutcome{key: "a", status: 200, body: string(h.runStarted(key)), mayBeRead: true})
			h.recordAttempt(attemptOutcome{key: "a", status: 500, isRetry: true, mayBeRead: true})
		}},
		{"unexpected status", func(h *resultHistory) {
			h.recordAttempt(attemptOutcome{key: "a", status: 404, mayBeRead: true})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newResultHistory()
			if c.play(h); h.violation() == "" {
				t.Error("violation() is empty, want a violation")
			}
		})
	}
	h := newResultHistory()
	h.recordAttempt(attemptOutcome{key: "a", status: 200, body: string(h.runStarted(key)), mayBeRead: true,
		nodeRunning: true})
	h.recordAttempt(attemptOutcome{key: "b", nodeRunning: true})
	h.recordAttempt(attemptOutcome{key: "c", mayBeRead: true})
	if violation := h.violation(); violation != "" {
		t.Errorf("correct history: violation %q, want none", violation)
	}
}

// A request without a response is a violation only while the node runs in the incarnation to which it was sent.
func TestNodeRunsOnlyInItsCurrentIncarnation(t *testing.T) {
	r := &resultStoreNode{incarnation: nodeIncarnation{client: newIncarnationClient()}}
	first := r.currentIncarnation()
	if r.isRunning(first) {
		t.Error("isRunning() = true before the start, want false")
	}
	if r.beginIncarnation(); !r.isRunning(first) {
		t.Error("isRunning() = false after the start, want true")
	}
	if r.endIncarnation(); r.isRunning(first) {
		t.Error("isRunning() = true after the end, want false")
	}
	if r.beginIncarnation(); r.isRunning(first) {
		t.Error("isRunning() = true in the next incarnation, want false")
	}
}
