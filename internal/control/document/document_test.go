package document

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"umberwinch/internal/config"
)

const exampleDocument = `
[class view]
kind = replayable
value = 1
response_target = 400ms

[class save]
kind = non-replayable
value = 5
pool = heavy

[class submit]
kind = uniqued
value = 40
window = 20s

[pool heavy]
floor = 0.2
cap = 0.5

[level 1]
enter = 1.0
leave = 0.9
sheds = view

[level 2]
enter = 1.2
leave = 1.1
sheds = view, save
`

func parse(t *testing.T, raw string) *Document {
	t.Helper()
	d, err := Parse("f", []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestCanonicalFormIsAFixedPoint: a version is read, written canonically and read again, and another operator writes
// the same content otherwise. All of them must have one hash: nodes would take equal versions for different ones.
func TestCanonicalFormIsAFixedPoint(t *testing.T) {
	d := parse(t, exampleDocument)
	text := d.Canonical()
	again := parse(t, string(text))
	if !bytes.Equal(text, again.Canonical()) {
		t.Fatalf("canonical form moves:\n%s\n%s", text, again.Canonical())
	}
	other := parse(t, "# the same, told otherwise\n"+strings.ReplaceAll(exampleDocument, "400ms", "0.4s"))
	if Hash(other.Canonical()) != Hash(text) {
		t.Fatal("the same content has two hashes")
	}
	if got := Diff(d, other); got != nil {
		t.Fatalf("differences %v, expected none", got)
	}
}

// TestFaultsOfADocument: an operator's document has a slip. It must be refused before nodes serve under it, with the
// section, the key, what was found and what was expected.
func TestFaultsOfADocument(t *testing.T) {
	for _, c := range []struct{ was, is, want string }{
		{"kind = uniqued", "", "class submit.kind: found none of them"},
		{"window = 20s", "", "class submit.window: found 0s, expected above 0 for uniqued"},
		{"pool = heavy", "pool = light", `class save.pool: found "light"`},
		{"cap = 0.5", "cap = 0.1", "pool heavy.cap: found 0.1"},
		{"leave = 0.9", "leave = 1.0", "level 1.enter: found 1 and leave 1"},
		{"enter = 1.2", "enter = 0.99\n", "level 2.enter"},
		{"sheds = view, save", "sheds = save, submit", `a class of value 40 while "view" of 1 is served`},
		{"sheds = view, save", "sheds =", `no "view", expected all that the level before sheds`},
		{"sheds = view, save", "sheds = view, view", `"view" twice`},
		{"[level 2]", "[level 3]", "level 2, none left out"},
		{"[pool heavy]", "[pool heavy]\nflor = 1", "pool heavy.flor: found a key that is not known"},
		{"[pool heavy]", "[pool x]\nfloor = 0.9\n[pool heavy]", "floors of 1.1 up to here"},
		{"[pool heavy]", "[rollout]\nstages = 5, 50\n[pool heavy]", "found 50 at the end, expected 100"},
		{"[pool heavy]", "[tenant a b]\n[pool heavy]", `found "a b"`},
		{"response_target = 400ms", "response_target = 20s", "no less than response_target, 20s"},
	} {
		raw := strings.Replace(exampleDocument, c.was, c.is, 1)
		if raw == exampleDocument {
			t.Fatalf("%q is not in the document", c.was)
		}
		var faults config.Faults
		if _, err := Parse("f", []byte(raw)); !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q for %q: got %v, expected %q", c.is, c.was, err, c.want)
		}
	}
	if _, err := Parse("f", make([]byte, MaxBytes+1)); err == nil {
		t.Error("a document past its bound was taken")
	}
}

// TestWhatMayNotChangeInFlight: a version takes away what requests in flight were promised under the one before. A
// retry could run a second time, so the version may not follow; with the class retired in between it may.
func TestWhatMayNotChangeInFlight(t *testing.T) {
	before := parse(t, exampleDocument)
	retired := parse(t, strings.Replace(exampleDocument, "window = 20s", "window = 20s\nretired = yes", 1))
	less := strings.Replace(exampleDocument, "[class submit]\nkind = uniqued\nvalue = 40\nwindow = 20s\n", "", 1)
	for _, c := range []struct {
		name string
		from *Document
		to   string
		want string
	}{
		{"the same", before, exampleDocument, ""},
		{"a class goes", before, less, "class submit: found no such section"},
		{"a retired class goes", retired, less, ""},
		{"a kind changes", before, strings.Replace(exampleDocument, "kind = non-replayable", "kind = replayable", 1),
			"class save.kind: found replayable"},
		{"a window shrinks", before, strings.Replace(exampleDocument, "20s", "19s", 1), "class submit.window: found 19s"},
		{"a window grows", before, strings.Replace(exampleDocument, "20s", "30s", 1), ""},
		{"the first version", nil, exampleDocument, ""},
	} {
		err := parse(t, c.to).Follows(c.from)
		var reasons UpdateErrors
		refused := errors.As(err, &reasons) && strings.Contains(err.Error(), c.want)
		if c.want == "" && err != nil || c.want != "" && !refused {
			t.Errorf("%s: got %v, expected %q", c.name, err, c.want)
		}
	}
}

// TestDiffReads: an operator looks at what a new version changes. Each key that differs has to be one line, and nothing
// else may show.
func TestDiffReads(t *testing.T) {
	is := strings.Replace(strings.Replace(exampleDocument, "cap = 0.5", "cap = 0.6", 1), "[pool heavy]",
		"[tenant t]\nshare = 0.1\n[pool heavy]", 1)
	var got []string
	for _, c := range Diff(parse(t, exampleDocument), parse(t, is)) {
		got = append(got, c.String())
	}
	want := []string{"+ [tenant t] share = 0.1", "+ [tenant t] rate = 0", "~ [pool heavy] cap = 0.6 (was 0.5)"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("got %q, expected %q", got, want)
	}
}

// The same draws each time, so that a run has the same verdict as the one before.
func init() { flag.Set("rapid.seed", "7") }

// TestAnyTextHasOneAnswer feeds lines put together by chance: never a panic, the same answer twice, and what
// is taken has a canonical form that is taken as the same document.
func TestAnyTextHasOneAnswer(t *testing.T) {
	pieces := strings.Split(exampleDocument, "\n")
	pieces = append(pieces, "[", "=", "x", "[class]", "[class \x00]", "value = 1e9", "`", "a = \"", "sheds = ,",
		"window = -1s", "[rollout]", "stages = 100", "\\", "kind = replayable ; c", "value = NaN")
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "lines"), "\n"))
		d, err := Parse("f", raw)
		d2, err2 := Parse("f", raw)
		if fmt.Sprint(err) != fmt.Sprint(err2) {
			t.Fatalf("two answers: %v and %v", err, err2)
		}
		if err != nil {
			return
		}
		if !bytes.Equal(d.Canonical(), d2.Canonical()) {
			t.Fatal("two documents from one text")
		}
		again, err := Parse("f", d.Canonical())
		if err != nil || !bytes.Equal(again.Canonical(), d.Canonical()) {
			t.Fatalf("canonical form not taken: %v\n%s", err, d.Canonical())
		}
	})
}
