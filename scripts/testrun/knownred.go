package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"strings"
)

// knownRedMost is how many tests may be listed at one time.
const knownRedMost = 3

// knownRed is a test that fails for a known fault which is not mended yet.
type knownRed struct {
	Package string // the folder of its package, such as internal/node/server
	Test    string // TestName, or TestName/subtest
	Cause   string
	Issue   string
}

func (k knownRed) String() string { return k.Package + "." + k.Test }

// pattern matches this test alone, as go test's -run and -skip take it.
func (k knownRed) pattern() string {
	parts := strings.Split(k.Test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

var (
	testName    = regexp.MustCompile(`^([\w./-]+)\.(Test\w*(/[\w.#=-]+)*)$`)
	issueNumber = regexp.MustCompile(`^[0-9]+$`)
)

// readKnownRed reads the list; without a file nothing is listed.
func readKnownRed(file string) ([]knownRed, error) {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnownRed(file, string(text))
}

// parseKnownRed reads lines of the form "package.Test; cause; issue". Empty lines and those that begin with # are
// passed over.
func parseKnownRed(file, text string) (out []knownRed, err error) {
	seen := map[string]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		k, err := parseKnownRedLine(line)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", file, i+1, err)
		}
		if seen[k.String()] {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", file, i+1, k)
		}
		seen[k.String()] = true
		out = append(out, k)
		if len(out) > knownRedMost {
			return nil, fmt.Errorf("%s:%d: found a test more than the %d that may be listed", file, i+1, knownRedMost)
		}
	}
	return out, nil
}

func parseKnownRedLine(line string) (k knownRed, err error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 {
		return k, fmt.Errorf("found %d fields, expected \"package.Test; cause; issue\"", len(fields))
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	name := testName.FindStringSubmatch(fields[0])
	switch {
	case name == nil:
		return k, fmt.Errorf("found the test %q, expected a package's folder and a test, such as internal/wal.TestTorn", fields[0])
	case fields[1] == "":
		return k, errors.New("found no cause, expected why the test fails")
	case !issueNumber.MatchString(fields[2]):
		return k, fmt.Errorf("found the issue %q, expected its number", fields[2])
	}
	return knownRed{Package: name[1], Test: name[2], Cause: fields[1], Issue: fields[2]}, nil
}
