package server

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const (
	failuresPage = "docs/design/failures.md"
	shutdownPage = "docs/design/shutdown.md"
)

var (
	// namedRows matches `row "X" in PAGE`, or several rows separated by "and" or commas.
	namedRows = regexp.MustCompile(`rows? ((?:"[^"]+"(?:, | and )?)+) in (docs/design/[a-z]+\.md)`)
	quoted    = regexp.MustCompile(`"([^"]+)"`)
	// commentBreak matches a line break within a comment.
	commentBreak = regexp.MustCompile(`\n\s*// `)
)

// tableRows returns the names of a page's table rows: the first cell, in the table of system calls with the second cell
// after a colon.
func tableRows(t *testing.T, page string) map[string]bool {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("../../..", page))
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, line := range strings.Split(string(text), "\n") {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| ") || len(cells) < 4 || strings.HasPrefix(line, "| ---") {
			continue
		}
		name := strings.TrimPrefix(cells[0], "| ")
		if page == failuresPage {
			name += ": " + cells[1]
		}
		rows[name] = true
	}
	delete(rows, "call: error") // the table headings
	delete(rows, "end")
	if len(rows) == 0 {
		t.Fatalf("%s has no table rows", page)
	}
	return rows
}

// Comments on guards refer to rows of the design pages about failures. Each row referred to has to exist, and each row
// needs a comment that refers to it, so that an operator finds the code of a row and the row of a guard.
func TestGuardCommentsMatchDesignPages(t *testing.T) {
	rows := map[string]map[string]bool{}
	for _, page := range []string{failuresPage, shutdownPage} {
		rows[page] = tableRows(t, page)
	}
	named := map[string]bool{}
	for _, pattern := range []string{"*.go", "../../logging/*.go", "../../../cmd/umberwinch/*.go"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v", pattern, err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range namedRows.FindAllStringSubmatch(commentBreak.ReplaceAllString(string(text), " "), -1) {
				for _, name := range quoted.FindAllStringSubmatch(m[1], -1) {
					named[m[2]+" "+name[1]] = true
					if !rows[m[2]][name[1]] {
						t.Errorf("%s refers to row %q of %s, which does not exist", file, name[1], m[2])
					}
				}
			}
		}
	}
	// Rows handled by netpoll itself or by package admission.
	elsewhere := map[string]bool{
		failuresPage + " read: EINTR, EAGAIN":                     true,
		failuresPage + " epoll_wait: EINTR":                       true,
		shutdownPage + " warm-up, also a second within the first": true,
		shutdownPage + " request with a few ms left":              true,
	}
	for page := range rows {
		for name := range rows[page] {
			if key := page + " " + name; !named[key] && !elsewhere[key] {
				t.Errorf("no comment refers to row %q of %s", name, page)
			}
		}
	}
}
