package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// knownFailure is an entry of the list of tests that fail for a known fault that is not yet fixed.
type knownFailure struct {
	Package string // folder of the package, such as internal/node/server
	Test    string // TestName or TestName/subtest
	Command string // command that reproduces the fault, with its seed if it takes one
	Seen    string // observed failure
	Issue   string // number of the open issue
	Line    int    // first line of the entry in the list
}

func (k knownFailure) String() string { return k.Package + "." + k.Test }

// pattern returns the pattern for go test's -run and -skip that matches only this test.
func (k knownFailure) pattern() string {
	parts := strings.Split(k.Test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// Fields of an entry, each on its own line as "name: value". All are required.
const (
	fieldTest    = "test"
	fieldCommand = "command"
	fieldSeen    = "seen"
	fieldIssue   = "issue"
)

var (
	fieldNames  = []string{fieldTest, fieldCommand, fieldSeen, fieldIssue}
	testName    = regexp.MustCompile(`^([\w./-]+)\.(Test\w*(/[\w.#=-]+)*)$`)
	issueNumber = regexp.MustCompile(`^[0-9]+$`)
)

// readKnownFailures reads the list. A missing file is an empty list.
func readKnownFailures(file string) ([]knownFailure, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnownFailures(file, string(text))
}

// parseKnownFailures parses entries separated by empty lines. Lines that begin with # are comments.
func parseKnownFailures(file, text string) ([]knownFailure, error) {
	var listed []knownFailure
	entry := newEntry()
	finish := func() error {
		known, err := entry.parse()
		if err == nil {
			err = checkNotListed(listed, known)
		}
		if err != nil {
			return fmt.Errorf("%s:%d: %w", file, entry.line, err)
		}
		listed = append(listed, known)
		entry = newEntry()
		return nil
	}
	for i, line := range strings.Split(text+"\n", "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "#"):
		case line == "" && entry.line == 0:
		case line == "":
			if err := finish(); err != nil {
				return nil, err
			}
		default:
			if err := entry.set(i+1, line); err != nil {
				return nil, fmt.Errorf("%s:%d: %w", file, i+1, err)
			}
		}
	}
	return listed, nil
}

// checkNotListed returns an error if a test already has an entry.
func checkNotListed(listed []knownFailure, known knownFailure) error {
	for _, other := range listed {
		if other.String() == known.String() {
			return fmt.Errorf("%s is listed twice, first in line %d", known, other.Line)
		}
	}
	return nil
}

// entry collects the fields of an entry while it is parsed.
type entry struct {
	line   int // line of the first field; 0 if there is none yet
	fields map[string]string
}

func newEntry() entry { return entry{fields: map[string]string{}} }

// set adds the field of a line of the form "name: value".
func (e *entry) set(number int, line string) error {
	name, value, ok := strings.Cut(line, ":")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	expected := strings.Join(fieldNames, ", ")
	switch {
	case !ok:
		return fmt.Errorf("found %q, expected \"name: value\" with one of %s", line, expected)
	case !isFieldName(name):
		return fmt.Errorf("found the field %q, expected one of %s", name, expected)
	case value == "":
		return fmt.Errorf("found no value for %q", name)
	case e.fields[name] != "":
		return fmt.Errorf("found %q a second time in one entry", name)
	}
	if e.line == 0 {
		e.line = number
	}
	e.fields[name] = value
	return nil
}

func isFieldName(name string) bool {
	for _, known := range fieldNames {
		if name == known {
			return true
		}
	}
	return false
}

// parse validates the entry and returns it as a knownFailure.
func (e *entry) parse() (knownFailure, error) {
	for _, name := range fieldNames {
		if e.fields[name] == "" {
			return knownFailure{}, fmt.Errorf("found an entry without %q, expected %s", name,
				strings.Join(fieldNames, ", "))
		}
	}
	parts := testName.FindStringSubmatch(e.fields[fieldTest])
	if parts == nil {
		return knownFailure{}, fmt.Errorf("found the test %q, expected a package's folder and a test, "+
			"such as internal/wal.TestTorn", e.fields[fieldTest])
	}
	if !issueNumber.MatchString(e.fields[fieldIssue]) {
		return knownFailure{}, fmt.Errorf("found the issue %q, expected its number", e.fields[fieldIssue])
	}
	return knownFailure{Package: parts[1], Test: parts[2], Command: e.fields[fieldCommand], Seen: e.fields[fieldSeen],
		Issue: e.fields[fieldIssue], Line: e.line}, nil
}
