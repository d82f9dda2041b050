package harness

import (
	"context"
	"strings"
	"testing"
	"time"
)

// TestKeptKills: a node killed at named points and at random ones runs no key twice within its window, and repeats get the
// first result; without a guard the checker finds it.
func TestKeptKills(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ without, at, broken string }{{}, {"proof", "durable", "ran again"}, {"intent", "sync", "ran again"},
		{"result", "sync", "after its result was told"}} {
		t.Run("without "+c.without, func(t *testing.T) {
			t.Parallel()
			r, err := newResultStoreNode(t.TempDir(), built(t), 7, resultWindow, "[kept]\nfolder = DIR\nentries = 4000\nmb = 8\n", c.without)
			if err != nil {
				t.Fatal(err)
			}
			defer r.close()
			r.at = c.at
			ctx, end := context.WithTimeout(context.Background(), 40*time.Second)
			defer end()
			kills := 25
			if c.broken != "" {
				kills = 400 // or until it is found
			}
			if err = r.play(ctx, kills); err != nil {
				t.Fatal(err, r.tail())
			}
			if c.broken == "" && (r.broken != "" || r.repeats == 0) || c.broken != "" && !strings.Contains(r.broken, c.broken) {
				t.Fatalf("after %d kills, %d done, %d repeats: broken %q, expected %q", r.kills, r.done, r.repeats, r.broken, c.broken)
			}
		})
	}
}

// TestKeptChecker: wrong histories are found.
func TestKeptChecker(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(r *resultStoreNode)
	}{
		{"a second run", func(r *resultStoreNode) { r.begins([]byte("a")); r.begins([]byte("a")) }},
		{"a second effect", func(r *resultStoreNode) { r.begins([]byte("a")); r.acts([]byte("a")); r.acts([]byte("a")) }},
		{"another's result", func(r *resultStoreNode) {
			r.begins([]byte("a"))
			r.note(0, "b", 200, "a#1\x00\xff", true, true, 0)
		}},
		{"a changed result", func(r *resultStoreNode) { r.begins([]byte("a")); r.note(0, "a", 200, "a#1\x00", true, true, 0) }},
		{"no answer", func(r *resultStoreNode) { r.up = true; r.note(0, "a", 0, "", false, true, 0) }},
		{"a result that is lost", func(r *resultStoreNode) {
			r.note(0, "a", 200, string(r.begins([]byte("a"))), false, true, 0)
			r.note(0, "a", 500, "", true, true, 0)
		}},
		{"an answer of no kind", func(r *resultStoreNode) { r.note(0, "a", 404, "", false, true, 0) }},
	} {
		r := &resultStoreNode{runs: map[string][]callResult{}, told: map[string]time.Time{}, effects: map[string]int{}}
		if c.play(r); r.broken == "" {
			t.Errorf("%s: not found", c.name)
		}
	}
	r := &resultStoreNode{runs: map[string][]callResult{}, told: map[string]time.Time{}, effects: map[string]int{}, up: true}
	r.note(0, "a", 200, string(r.begins([]byte("a"))), false, true, 0)
	r.note(0, "b", 0, "", false, false, 0)
	r.life++
	r.note(0, "c", 0, "", false, true, 0)
	if r.broken != "" {
		t.Errorf("a right history: %s", r.broken)
	}
}
