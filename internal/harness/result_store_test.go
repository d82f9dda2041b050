package harness

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestKeptKills: a node killed at named points and at random ones runs no key twice within its window, and repeats get
// the first result; without a guard the checker finds it.
func TestKeptKills(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ without, at, broken string }{
		{},
		{"proof", "durable", "ran again"},
		{"intent", "sync", "ran again"},
		{"result", "sync", "after its result was told"},
	} {
		t.Run("without "+c.without, func(t *testing.T) {
			t.Parallel()
			r, err := newResultStoreNode(resultStoreSetUp{dir: t.TempDir(), program: built(t), seed: 7,
				window: resultWindow, own: killedStore, without: c.without})
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
			if err = r.play(ctx, kills); err != nil {
				t.Fatal(err, r.tail())
			}
			broken, answers := r.history.broken(), r.history.answers
			if c.broken == "" && (broken != "" || answers.repeatsDone == 0) || !strings.Contains(broken, c.broken) {
				t.Fatalf("after %d kills, %d done, %d repeats: broken %q, expected %q", r.kills.all, answers.done,
					answers.repeatsDone, broken, c.broken)
			}
		})
	}
}

// A checker that finds nothing would let every run pass: each kind of wrong history is found, and a right one is not.
func TestKeptChecker(t *testing.T) {
	key := []byte("a")
	for _, c := range []struct {
		name string
		play func(h *resultHistory)
	}{
		{"a second run", func(h *resultHistory) { h.runBegins(key); h.runBegins(key) }},
		{"a second effect", func(h *resultHistory) { h.runBegins(key); h.effectDone(key); h.effectDone(key) }},
		{"another's result", func(h *resultHistory) {
			h.runBegins(key)
			h.note(attemptOutcome{key: "b", code: 200, body: "a#1\x00\xff", again: true, read: true})
		}},
		{"a changed result", func(h *resultHistory) {
			h.runBegins(key)
			h.note(attemptOutcome{key: "a", code: 200, body: "a#1\x00", again: true, read: true})
		}},
		{"no answer", func(h *resultHistory) { h.note(attemptOutcome{key: "a", read: true, alive: true}) }},
		{"a result that is lost", func(h *resultHistory) {
			h.note(attemptOutcome{key: "a", code: 200, body: string(h.runBegins(key)), read: true})
			h.note(attemptOutcome{key: "a", code: 500, again: true, read: true})
		}},
		{"an answer of no kind", func(h *resultHistory) { h.note(attemptOutcome{key: "a", code: 404, read: true}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newResultHistory()
			if c.play(h); h.broken() == "" {
				t.Error("not found")
			}
		})
	}
	h := newResultHistory()
	h.note(attemptOutcome{key: "a", code: 200, body: string(h.runBegins(key)), read: true, alive: true})
	h.note(attemptOutcome{key: "b", alive: true})
	h.note(attemptOutcome{key: "c", read: true})
	if broken := h.broken(); broken != "" {
		t.Errorf("a right history: %s", broken)
	}
}

// A request that got no answer is a broken promise only while the node is in the life in which it was sent.
func TestNodeIsAliveInItsOwnLifeAlone(t *testing.T) {
	r := &resultStoreNode{life: nodeLife{client: newLifeClient()}}
	first := r.currentLife()
	if r.alive(first) {
		t.Error("alive before it began")
	}
	if r.beginLife(); !r.alive(first) {
		t.Error("not alive after it began")
	}
	if r.endLife(); r.alive(first) {
		t.Error("alive after its end")
	}
	if r.beginLife(); r.alive(first) {
		t.Error("alive in the life after it")
	}
}
