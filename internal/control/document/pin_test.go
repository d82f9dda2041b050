package document

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The fixtures in testdata/pin are the results of version 2a0a97e; -write-pins is for use at that version only.
var writePins = flag.Bool("write-pins", false, "rewrite the fixtures in testdata/pin")

// checkFixture compares got with a file of testdata/pin.
func checkFixture(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "pin", name)
	if *writePins {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

const everyKey = `
[class view]
kind = replayable
value = 1.5
response_target = 400ms
client_timeout = 9s
pool = heavy
retired = no

[class old]
kind = non-replayable
retired = yes

[class submit]
kind = uniqued
value = 40
window = 20s

[tenant city]
share = 0.25
rate = 1e3

[pool heavy]
floor = 0.2
cap = 0.5
reserve = yes

[pool light]

[level 1]
enter = 1.0
leave = 0.9
hold = 90s
sheds = view

[level 2]
enter = 1.2
leave = 1.1
sheds = view, old

[rollout]
stages = 5, 100
hold = 2m
max_shed = 0.1
max_late = 0.2

[fleet]
lease = 4s
when_alone = fence

[zones]
decide = auto
first = 0.125
hold = 3s
keep = 2m
max_wait = 10m
small_start = yes
`

// TestRecordedCanonicalForms compares the canonical forms and hashes of three documents under each version of the rules
// with those of version 2a0a97e. Instances and nodes of both builds compare the hashes.
func TestRecordedCanonicalForms(t *testing.T) {
	for name, text := range map[string]string{"every-key": everyKey,
		"defaults": "[class a]\nkind = replayable\n[tenant b]\n[pool c]\n[level 1]\nenter = 2\nleave = 1\n[rollout]\n[fleet]\n[zones]\n",
		"empty":    ""} {
		for rules := 1; rules <= 3; rules++ {
			var out strings.Builder
			d, err := ParseWithRules(rules, "f", []byte(text))
			if err != nil {
				fmt.Fprintf(&out, "error: %v\n", err)
			} else {
				fmt.Fprintf(&out, "%s\n%s\n", Hash(d.Canonical()), d.Canonical())
			}
			checkFixture(t, fmt.Sprintf("%s.%d.txt", name, rules), []byte(out.String()))
		}
	}
}

// TestRecordedErrors compares the errors of Parse and Follows and the output of Diff with those of version 2a0a97e.
// All instances of a group, of either build, must give the same result for a proposal.
func TestRecordedErrors(t *testing.T) {
	var out strings.Builder
	for _, c := range [][2]string{{"kind = uniqued", "kind = x"}, {"kind = uniqued", ""}, {"window = 20s", ""},
		{"window = 20s", "window = 25h"},
		{"value = 40", "value = -1"}, {"value = 40", "value = NaN"}, {"response_target = 400ms",
			"response_target = 10s"},
		{"pool = heavy", "pool = none"}, {"retired = no", "retired = maybe"}, {"share = 0.25", "share = 2"},
		{"rate = 1e3", "rates = 1"},
		{"cap = 0.5", "cap = 0.1"}, {"cap = 0.5", "cap = 0"}, {"[pool light]",
			"[pool light]\nreserve = yes\nfloor = 0.9"},
		{"[tenant city]", "[tenant town]\nshare = 0.9\n[tenant city]"}, {"[tenant city]",
			"[tenant a b]\n[tenant city]"},
		{"leave = 0.9", "leave = 1"}, {"enter = 1.2", "enter = 0.95"}, {"[level 2]", "[level 3]"}, {"[level 2]",
			"[level 02]"},
		{"sheds = view, old", "sheds = submit"}, {"sheds = view, old", "sheds = old"}, {"sheds = view, old",
			"sheds = none"},
		{"sheds = view, old", "sheds = view, view"}, {"stages = 5, 100", "stages = 5, 50"}, {"stages = 5, 100",
			"stages = 5, 4"},
		{"lease = 4s", "lease = 0s"}, {"when_alone = fence", "when_alone = no"}, {"decide = auto", "decide = yes"},
		{"first = 0.125", "first = 0"}, {"hold = 3s", "hold = 11m"}, {"keep = 2m", "keep = 0s"},
		{"small_start = yes", "small = yes"},
		{"[zones]", "[zone]"}, {"[zones]", "zones"}} {
		text := strings.Replace(everyKey, c[0], c[1], 1)
		if text == everyKey {
			t.Fatalf("%q is not in the text", c[0])
		}
		for rules := 1; rules <= 3; rules++ {
			_, err := ParseWithRules(rules, "f", []byte(text))
			fmt.Fprintf(&out, "%q for %q under %d: %v\n", c[1], c[0], rules, err)
		}
	}
	_, err := Parse("f", make([]byte, 1<<20+1))
	fmt.Fprintf(&out, "too long: %v\n", err)
	var manyClasses strings.Builder
	for i := range 300 {
		fmt.Fprintf(&manyClasses, "[class c%d]\nkind = replayable\n", i)
	}
	_, err = Parse("f", []byte(manyClasses.String()))
	fmt.Fprintf(&out, "many classes: %v\n", err)
	before, err := Parse("f", []byte(everyKey))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range [][2]string{{"window = 20s", "window = 19s"}, {"window = 20s", "window = 21s"},
		{"kind = replayable", "kind = non-replayable"},
		{"[class submit]\nkind = uniqued\nvalue = 40\nwindow = 20s\n", ""},
		{"[class old]\nkind = non-replayable", "[class old]\nkind = replayable"}, {"cap = 0.5", "cap = 0.6"},
		{"[pool light]", "[pool lights]"}, {"[zones]", "[rollout]"}} {
		after, err := Parse("f", []byte(strings.Replace(everyKey, c[0], c[1], 1)))
		if err != nil {
			fmt.Fprintf(&out, "%q for %q: %v\n", c[1], c[0], err)
			continue
		}
		fmt.Fprintf(&out, "%q for %q: follows %v\n", c[1], c[0], after.ValidateUpdate(before))
		for _, change := range Diff(before, after) {
			fmt.Fprintln(&out, " ", change.String())
		}
	}
	checkFixture(t, "findings.txt", []byte(out.String()))
}
