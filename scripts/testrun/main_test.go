package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const sources = `package a

import "testing"

func TestGood(t *testing.T) {}

func TestBad(t *testing.T) { t.Error("wrong") }

func TestParts(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("wrong") })
}
`

const others = `package b

import "testing"

func TestBad(t *testing.T) { t.Log("this one of the same name is run") }
`

// module is a module with tests that fail, and a list.
func module(t *testing.T, list string) *runner {
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module example\n\ngo 1.24\n", "a/a_test.go": sources, "b/b_test.go": others,
		knownRedFile: list} {
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

// Tests that fail as they are listed are passed over and printed; all others have to pass.
func TestListed(t *testing.T) {
	r := module(t, "# known\n\na.TestBad; it is wrong; 7\na.TestParts/bad; so is this; 8\n")
	err := r.run([]string{"./..."})
	out := r.out.(*bytes.Buffer).String()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, want := range []string{"known red: a.TestBad fails as listed: it is wrong (issue 7)",
		"known red: a.TestParts/bad fails as listed: so is this (issue 8)", "ok  \texample/a", "ok  \texample/b"} {
		if !strings.Contains(out, want) {
			t.Errorf("never printed: %s\n%s", want, out)
		}
	}
}

// A list that is wrong fails the run, and the message says how.
func TestWrongLists(t *testing.T) {
	good := "a.TestBad; it is wrong; 7\na.TestParts/bad; so is this; 8\n"
	for list, want := range map[string]string{
		"":                                             "go test",
		"a.TestBad; it is wrong; 7\n":                  "go test",
		good + "a.TestGood; no; 9\n":                   "KNOWN-RED.txt: a.TestGood passes, expected it to fail",
		good + "a.TestGone; no; 9\n":                   "a.TestGone matches no test",
		good + "c.TestBad; no; 9\n":                    "c.TestBad matches no test",
		good + "a.TestParts/x; n; 9\n":                 "a.TestParts/x neither passes nor fails",
		good + "a.TestBad; twice; 9\n":                 "KNOWN-RED.txt:3: a.TestBad is listed twice",
		good + "TestBad; no; 9\n":                      "KNOWN-RED.txt:3: found the test \"TestBad\"",
		good + "a.TestBad; no\n":                       "KNOWN-RED.txt:3: found 2 fields",
		good + "a.TestGood; ; 9\n":                     "KNOWN-RED.txt:3: found no cause",
		good + "a.TestGood; no; x\n":                   "KNOWN-RED.txt:3: found the issue \"x\"",
		good + "a.TestGood; no; 9\nb.TestBad; no; 9\n": "KNOWN-RED.txt:4: found a test more than the 3 that may be listed",
	} {
		t.Run(list, func(t *testing.T) {
			t.Parallel()
			r := module(t, list)
			if err := r.run([]string{"./..."}); err == nil || !strings.Contains(err.Error(), want) {
				t.Errorf("%v, expected %s", err, want)
			}
		})
	}
}
