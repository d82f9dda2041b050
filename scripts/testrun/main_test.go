package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const packageA = `package a

import "testing"

func TestGood(t *testing.T) {}

func TestBad(t *testing.T) { t.Error("wrong") }

func TestParts(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("wrong") })
}
`

const packageB = `package b

import "testing"

func TestBad(t *testing.T) { t.Log("has the name of a listed test of another package") }
`

// newModule writes a module with failing tests and a list of known failures.
func newModule(t *testing.T, list string) *runner {
	t.Helper()
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module example\n\ngo 1.24\n", "a/a_test.go": packageA,
		"b/b_test.go":     packageB,
		knownFailuresFile: list} {
		file := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return &runner{folder: folder, out: &bytes.Buffer{}}
}

// listEntry returns an entry of the list.
func listEntry(test, seen, issue string) string {
	return "test: " + test + "\ncommand: go test ./a -seed 7\nseen: " + seen + "\nissue: " + issue + "\n\n"
}

// Listed tests that fail must be reported without failing the run, and all other tests must run.
func TestListedFailuresAreTolerated(t *testing.T) {
	r := newModule(t, "# known\n\n"+listEntry("a.TestBad", "it is wrong", "7")+
		listEntry("a.TestParts/bad", "so is this", "8"))
	err := r.run([]string{"./..."})
	out := r.out.(*bytes.Buffer).String()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{
		"known red: a.TestBad fails as listed: it is wrong (issue 7; go test ./a -seed 7)",
		"known red: a.TestParts/bad fails as listed: so is this (issue 8; go test ./a -seed 7)",
		"ok  \texample/a", "ok  \texample/b"} {
		if !strings.Contains(out, want) {
			t.Errorf("printed\n%s\nwant %q in it", out, want)
		}
	}
}

// The length of the list must not be limited.
func TestListLengthIsUnlimited(t *testing.T) {
	list := ""
	for _, name := range []string{"a.TestA", "a.TestB", "b.TestA", "b.TestB"} {
		list += listEntry(name, "it is wrong", "7")
	}
	listed, err := parseKnownFailures(knownFailuresFile, strings.TrimRight(list, "\n"))
	if err != nil || len(listed) != 4 || listed[3].String() != "b.TestB" || listed[1].Line != 6 {
		t.Errorf("parseKnownFailures() = %v, %v, want 4 entries", listed, err)
	}
}

// An invalid or outdated list must fail the run with an error that names file, line and fault.
func TestInvalidListFailsRun(t *testing.T) {
	good := listEntry("a.TestBad", "it is wrong", "7") + listEntry("a.TestParts/bad", "so is this", "8")
	for _, c := range []struct{ name, list, want string }{
		{"none listed", "", "go test"},
		{"one not listed", listEntry("a.TestBad", "it is wrong", "7"), "go test"},
		{"listed test passes", good + listEntry("a.TestGood", "no", "9"),
			"KNOWN-RED.txt:11: a.TestGood passes, expected it to fail"},
		{"test gone", good + listEntry("a.TestGone", "no", "9"), "KNOWN-RED.txt:11: a.TestGone matches no test"},
		{"package gone", good + listEntry("c.TestBad", "no", "9"), "KNOWN-RED.txt:11: c.TestBad matches no test"},
		{"subtest gone", good + listEntry("a.TestParts/x", "no", "9"),
			"KNOWN-RED.txt:11: a.TestParts/x neither passes nor fails"},
		{"listed twice", good + listEntry("a.TestBad", "twice", "9"),
			"KNOWN-RED.txt:11: a.TestBad is listed twice, first in line 1"},
		{"test without package", good + listEntry("TestBad", "no", "9"),
			"KNOWN-RED.txt:11: found the test \"TestBad\""},
		{"issue without number", good + listEntry("a.TestGood", "no", "x"), "KNOWN-RED.txt:11: found the issue \"x\""},
		{"nothing seen", good + listEntry("a.TestGood", "", "9"), "KNOWN-RED.txt:13: found no value for \"seen\""},
		{"field missing", good + "test: a.TestGood\nseen: no\nissue: 9\n",
			"KNOWN-RED.txt:11: found an entry without \"command\", expected test, command, seen, issue"},
		{"field twice", good + "test: a.TestGood\ntest: a.TestBad\n", "KNOWN-RED.txt:12: found \"test\" a second time"},
		{"unknown field", good + "cause: no\n", "KNOWN-RED.txt:11: found the field \"cause\""},
		{"earlier form", good + "a.TestBad; it is wrong; 7\n", "KNOWN-RED.txt:11: found \"a.TestBad; it is wrong; 7\""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newModule(t, c.list)
			if err := r.run([]string{"./..."}); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("run() = %v, want an error with %q", err, c.want)
			}
		})
	}
}
