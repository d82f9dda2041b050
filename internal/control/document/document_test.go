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

// TestCanonicalForm checks that a parsed canonical text has the same canonical text, and that documents with the same
// content have the same hash. Otherwise nodes would treat equal versions as different.
func TestCanonicalForm(t *testing.T) {
	d := parse(t, exampleDocument)
	text := d.Canonical()
	reparsed := parse(t, string(text))
	if !bytes.Equal(text, reparsed.Canonical()) {
		t.Fatalf("canonical form of the canonical text:\ngot\n%s\nwant\n%s", reparsed.Canonical(), text)
	}
	other := parse(t, "# the same content in another form\n"+strings.ReplaceAll(exampleDocument, "400ms", "0.4s"))
	if Hash(other.Canonical()) != Hash(text) {
		t.Fatalf("hash of the same content = %s, want %s", Hash(other.Canonical()), Hash(text))
	}
	if got := Diff(d, other); got != nil {
		t.Fatalf("Diff() of the same content = %v, want none", got)
	}
}

// TestParseErrors guards against accepting an operator's mistake, and checks that the error names the section, the key,
// the value found and the values expected.
func TestParseErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
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
		raw := strings.Replace(exampleDocument, c.old, c.new, 1)
		if raw == exampleDocument {
			t.Fatalf("%q is not in the document", c.old)
		}
		var faults config.Faults
		if _, err := Parse("f", []byte(raw)); !errors.As(err, &faults) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q replaced by %q: Parse() error = %v, want %q in it", c.old, c.new, err, c.want)
		}
	}
	if _, err := Parse("f", make([]byte, MaxBytes+1)); err == nil {
		t.Error("Parse() of a document above MaxBytes gave no error")
	}
}

// TestFollows guards against a version under which a retry of a request in flight is executed a second time. The change
// is allowed if the class was retired before.
func TestFollows(t *testing.T) {
	before := parse(t, exampleDocument)
	retired := parse(t, strings.Replace(exampleDocument, "window = 20s", "window = 20s\nretired = yes", 1))
	withoutClass := strings.Replace(exampleDocument,
		"[class submit]\nkind = uniqued\nvalue = 40\nwindow = 20s\n", "", 1)
	for _, c := range []struct {
		name string
		from *Document
		to   string
		want string
	}{
		{"no change", before, exampleDocument, ""},
		{"class removed", before, withoutClass, "class submit: found no such section"},
		{"retired class removed", retired, withoutClass, ""},
		{"kind changed", before, strings.Replace(exampleDocument, "kind = non-replayable", "kind = replayable", 1),
			"class save.kind: found replayable"},
		{"window shortened", before, strings.Replace(exampleDocument, "20s", "19s", 1),
			"class submit.window: found 19s"},
		{"window extended", before, strings.Replace(exampleDocument, "20s", "30s", 1), ""},
		{"first version", nil, exampleDocument, ""},
	} {
		err := parse(t, c.to).ValidateUpdate(c.from)
		var reasons UpdateErrors
		matches := errors.As(err, &reasons) && strings.Contains(err.Error(), c.want)
		if c.want == "" && err != nil || c.want != "" && !matches {
			t.Errorf("%s: Follows() = %v, want %q", c.name, err, c.want)
		}
	}
}

// TestDiff checks that each key that differs gives one line, and that no other key does.
func TestDiff(t *testing.T) {
	changed := strings.Replace(strings.Replace(exampleDocument, "cap = 0.5", "cap = 0.6", 1), "[pool heavy]",
		"[tenant t]\nshare = 0.1\n[pool heavy]", 1)
	var got []string
	for _, c := range Diff(parse(t, exampleDocument), parse(t, changed)) {
		got = append(got, c.String())
	}
	want := []string{"+ [tenant t] share = 0.1", "+ [tenant t] rate = 0", "~ [pool heavy] cap = 0.6 (was 0.5)"}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Fatalf("Diff() = %q, want %q", got, want)
	}
}

// A fixed seed makes the property test reproducible.
func init() { flag.Set("rapid.seed", "7") }

// TestParseRandomText checks that random combinations of lines never cause a panic, give the same result twice and, if
// they are valid, have a canonical form that parses to the same document.
func TestParseRandomText(t *testing.T) {
	pieces := strings.Split(exampleDocument, "\n")
	pieces = append(pieces, "[", "=", "x", "[class]", "[class \x00]", "value = 1e9", "`", "a = \"", "sheds = ,",
		"window = -1s", "[rollout]", "stages = 100", "\\", "kind = replayable ; c", "value = NaN")
	rapid.Check(t, func(t *rapid.T) {
		raw := []byte(strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 40).Draw(t, "lines"), "\n"))
		d, err := Parse("f", raw)
		d2, err2 := Parse("f", raw)
		if fmt.Sprint(err) != fmt.Sprint(err2) {
			t.Fatalf("second Parse() error = %v, want %v", err2, err)
		}
		if err != nil {
			return
		}
		if !bytes.Equal(d.Canonical(), d2.Canonical()) {
			t.Fatalf("second Parse() gave\n%s\nwant\n%s", d2.Canonical(), d.Canonical())
		}
		reparsed, err := Parse("f", d.Canonical())
		if err != nil || !bytes.Equal(reparsed.Canonical(), d.Canonical()) {
			t.Fatalf("canonical form does not parse to the same document: %v\n%s", err, d.Canonical())
		}
	})
}
