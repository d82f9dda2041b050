package harness

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestResultStoreKills: a node killed at named points and at random ones runs no key twice within its window, and repeats get
// the first result; without a guard the checker finds it.
func TestResultStoreKills(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ without, at, broken string }{
		{},
		{"proof", "durable", "ran again"},
		{"intent", "sync", "ran again"},
		{"result", "sync", "after its result was told"},
	} {
		t.Run("without "+c.without, func(t *testing.T) {
			t.Parallel()
			r, err := newResultStoreNode(resultStoreConfig{dir: t.TempDir(), program: builtProgram(t), seed: 7,
				window: resultWindow, operatorConfig: killTestConfig, disabledGuard: c.without})
			if err != nil {
				t.Fatal(err)
			}
			defer r.close()
			r.crashPoint = c.at
			ctx, end := context.WithTimeout(context.Background(), 40*time.Second)
			defer end()
			kills := 25
			if c.broken != "" {
				kills = 400 // or until it is found
			}
			if err = r.killRepeatedly(ctx, kills); err != nil {
				t.Fatal(err, r.logTail())
			}
			broken, answers := r.history.violation(), r.history.responses
			if c.broken == "" && (broken != "" || answers.repeatsDone == 0) || !strings.Contains(broken, c.broken) {
				t.Fatalf("after %d kills, %d done, %d repeats: broken %q, expected %q", r.kills.total, answers.done,
					answers.repeatsDone, broken, c.broken)
			}
		})
	}
}

// A checker that finds nothing would let every run pass: each kind of wrong history is found, and a right one is not.
func TestResultHistoryDetectsViolations(t *testing.T) {
	key := []byte("a")
	for _, c := range []struct {
		name string
		play func(h *resultHistory)
	}{
		{"a second run", func(h *resultHistory) { h.runStarted(key); h.runStarted(key) }},
		{"a second effect", func(h *resultHistory) { h.runStarted(key); h.callExecuted(key); h.callExecuted(key) }},
		{"another's result", func(h *resultHistory) {
			h.runStarted(key)
			h.recordAttempt(attemptOutcome{key: "b", status: 200, body: "a#1\x00\xff", isRetry: true, mayBeRead: true})
		}},
		{"a changed result", func(h *resultHistory) {
			h.runStarted(key)
			h.recordAttempt(attemptOutcome{key: "a", status: 200, body: "a#1\x00", isRetry: true, mayBeRead: true})
		}},
		{"no answer", func(h *resultHistory) { h.recordAttempt(attemptOutcome{key: "a", mayBeRead: true, nodeRunning: true}) }},
		{"a result that is lost", func(h *resultHistory) {
			h.recordAttempt(attemptOutcome{key: "a", status: 200, body: string(h.runStarted(key)), mayBeRead: true})
			h.recordAttempt(attemptOutcome{key: "a", status: 500, isRetry: true, mayBeRead: true})
		}},
		{"an answer of no kind", func(h *resultHistory) { h.recordAttempt(attemptOutcome{key: "a", status: 404, mayBeRead: true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newResultHistory()
			if c.play(h); h.violation() == "" {
				t.Error("not found")
			}
		})
	}
	h := newResultHistory()
	h.recordAttempt(attemptOutcome{key: "a", status: 200, body: string(h.runStarted(key)), mayBeRead: true, nodeRunning: true})
	h.recordAttempt(attemptOutcome{key: "b", nodeRunning: true})
	h.recordAttempt(attemptOutcome{key: "c", mayBeRead: true})
	if broken := h.violation(); broken != "" {
		t.Errorf("a right history: %s", broken)
	}
}

// A request that got no answer is a broken promise only while the node is in the life in which it was sent.
func TestNodeRunsOnlyInItsCurrentIncarnation(t *testing.T) {
	r := &resultStoreNode{incarnation: nodeIncarnation{client: newIncarnationClient()}}
	first := r.currentIncarnation()
	if r.isRunning(first) {
		t.Error("alive before it began")
	}
	if r.beginIncarnation(); !r.isRunning(first) {
		t.Error("not alive after it began")
	}
	if r.endIncarnation(); r.isRunning(first) {
		t.Error("alive after its end")
	}
	if r.beginIncarnation(); r.isRunning(first) {
		t.Error("alive in the life after it")
	}
}
