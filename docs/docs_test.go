// Package docs has no code: its tests check that files, headings, identifiers and messages that the pages name exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// pages returns the paths of the repository's Markdown files, except those of the journal.
func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch name := entry.Name(); {
		case err != nil:
			return err
		case entry.IsDir() && (name == "journal" || name == "testdata" || name == "bin" || name != ".." &&
			strings.HasPrefix(name, ".")):
			return filepath.SkipDir
		case strings.HasSuffix(name, ".md"):
			out = append(out, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func readFile(t *testing.T, file string) string {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

var (
	markdownLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	codeSpan     = regexp.MustCompile("`([^`]+)`")
	// pathSpan is a code span that names a file or folder of the repository.
	pathSpan   = regexp.MustCompile(`^(admission|cmd|deploy|docs|internal|scripts|tools)/[\w./-]*$`)
	notInLinks = regexp.MustCompile(`[^\w\- ]`)
)

// anchors returns the link anchors of a page's headings.
func anchors(text string) map[string]bool {
	out := map[string]bool{}
	for _, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "#") {
			continue
		}
		heading := strings.ToLower(strings.TrimSpace(strings.TrimLeft(line, "#")))
		out[strings.ReplaceAll(notInLinks.ReplaceAllString(heading, ""), " ", "-")] = true
	}
	return out
}

// Links to files and headings must resolve.
func TestLinksResolve(t *testing.T) {
	for _, page := range pages(t) {
		text := readFile(t, page)
		for _, m := range markdownLink.FindAllStringSubmatch(text, -1) {
			target, heading, _ := strings.Cut(m[1], "#")
			if strings.Contains(target, "://") {
				continue
			}
			file := page
			if target != "" {
				file = filepath.Join(filepath.Dir(page), target)
			}
			info, err := os.Stat(file)
			if err != nil {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
				continue
			}
			if heading != "" && (info.IsDir() || !anchors(readFile(t, file))[heading]) {
				t.Errorf("%s links to the heading %s, which does not exist", page, m[1])
			}
		}
	}
}

// Files and folders of the repository that a page names in a code span must exist. The changelog, incidents,
// measurements and the page of figures are exempt because they describe earlier versions.
func TestNamedPathsExist(t *testing.T) {
	for _, page := range pages(t) {
		if strings.Contains(page, "CHANGELOG") || strings.Contains(page, "incidents") ||
			strings.Contains(page, "measured") || strings.HasSuffix(page, "standing.md") {
			continue
		}
		for _, m := range codeSpan.FindAllStringSubmatch(readFile(t, page), -1) {
			if !pathSpan.MatchString(m[1]) {
				continue
			}
			if _, err := os.Stat(filepath.Join(root, m[1])); err != nil {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
	}
}

var (
	testSpan = regexp.MustCompile(`^Test[A-Z]\w*$`)
	testFunc = regexp.MustCompile(`(?m)^func (Test[A-Z]\w*)\(`)
)

// Tests that a page names in a code span must exist.
func TestNamedTestsExist(t *testing.T) {
	known := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		for _, m := range testFunc.FindAllStringSubmatch(readFile(t, path), -1) {
			known[m[1]] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages(t) {
		if strings.Contains(page, "CHANGELOG") || strings.Contains(page, "incidents") ||
			strings.HasSuffix(page, "standing.md") {
			continue
		}
		for _, name := range codeSpans(readFile(t, page)) {
			if testSpan.MatchString(name) && !known[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

// declarations maps the identifiers of the module's packages, as package, package.Name and package.Type.Member, to the
// files that declare them.
type declarations map[string][]string

func (d declarations) add(file string, parts ...string) {
	name := strings.Join(parts, ".")
	d[name] = append(d[name], file)
}

// declared returns the declarations of the module's packages, without their test files.
func declared(t *testing.T) declarations {
	t.Helper()
	out := declarations{}
	set := token.NewFileSet()
	for _, folder := range []string{"admission", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			out.addFile(path, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

func (d declarations) addFile(path string, file *ast.File) {
	pkg := file.Name.Name
	d.add(path, pkg)
	for _, decl := range file.Decls {
		switch decl := decl.(type) {
		case *ast.FuncDecl:
			d.add(path, pkg, decl.Name.Name)
			if decl.Recv != nil {
				d.add(path, pkg, receiverName(decl.Recv.List[0].Type), decl.Name.Name)
			}
		case *ast.GenDecl:
			for _, spec := range decl.Specs {
				d.addSpec(path, pkg, spec)
			}
		}
	}
}

func receiverName(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.StarExpr:
		return receiverName(e.X)
	case *ast.IndexExpr:
		return receiverName(e.X)
	case *ast.Ident:
		return e.Name
	}
	return ""
}

func (d declarations) addSpec(path, pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			d.add(path, pkg, name.Name)
		}
	case *ast.TypeSpec:
		d.add(path, pkg, spec.Name.Name)
		var members *ast.FieldList
		switch typ := spec.Type.(type) {
		case *ast.StructType:
			members = typ.Fields
		case *ast.InterfaceType:
			members = typ.Methods
		default:
			return
		}
		for _, field := range members.List {
			for _, name := range field.Names {
				d.add(path, pkg, spec.Name.Name, name.Name)
				d.add(path, pkg, name.Name)
			}
		}
	}
}

// tableRows returns the rows of a page's tables with the given number of columns, including the rows of headings.
func tableRows(text string, columns int) [][]string {
	var out [][]string
	for _, line := range strings.Split(text, "\n") {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		if !strings.HasPrefix(line, "|") || len(cells) != columns || strings.HasPrefix(line, "| ---") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		out = append(out, cells)
	}
	return out
}

func codeSpans(cell string) []string {
	var out []string
	for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
		out = append(out, m[1])
	}
	return out
}

// Types, functions, fields and packages in the last column of the glossary must be declared.
func TestGlossaryNamesExist(t *testing.T) {
	known := declared(t)
	found := 0
	page := readFile(t, "glossary.md")
	if short := tableRows(page, 4); len(short) > 0 {
		t.Errorf("got rows with 4 columns, want 5: %v", short)
	}
	for _, row := range tableRows(page, 5) {
		for _, name := range codeSpans(row[4]) {
			found++
			if pathSpan.MatchString(name) {
				continue // TestNamedPathsExist
			}
			if known[name] == nil {
				t.Errorf("the row of %s names %s, which is not declared", row[0], name)
			}
		}
	}
	if found == 0 {
		t.Error("found no names in the glossary")
	}
}

// Each rule on the page of decisions must be declared in the file of its row, and its constants in that file's package.
func TestDecisionRulesExist(t *testing.T) {
	known := declared(t)
	found := 0
	for _, row := range tableRows(readFile(t, "decisions.md"), 7) {
		files := codeSpans(row[2])
		if len(files) == 0 {
			continue
		}
		found++
		for _, name := range codeSpans(row[1]) {
			if !declaredIn(known[packageOf(files[0])+"."+name], files) {
				t.Errorf("the row of %q names %s, which is not declared in %v", row[0], name, files)
			}
		}
		for _, name := range codeSpans(row[4]) {
			if pathSpan.MatchString(name) {
				continue // TestNamedPathsExist
			}
			if !declaredBeside(known, name, files) {
				t.Errorf("the row of %q names %s, which is not declared in the packages of %v", row[0], name, files)
			}
		}
	}
	if found == 0 {
		t.Error("found no rules on the page of decisions")
	}
}

func packageOf(file string) string { return filepath.Base(filepath.Dir(file)) }

func declaredIn(at, files []string) bool {
	for _, where := range at {
		for _, file := range files {
			if where == filepath.Join(root, file) {
				return true
			}
		}
	}
	return false
}

// declaredBeside reports whether a name, with or without its package, is declared in a package of the files.
func declaredBeside(known declarations, name string, files []string) bool {
	if known[name] != nil {
		return true
	}
	for _, file := range files {
		if known[packageOf(file)+"."+name] != nil {
			return true
		}
	}
	return false
}

var (
	// quotedMessage matches a code span after the word log: the message of a log line.
	quotedMessage = regexp.MustCompile("\\b[Ll]og `([^`]+)`")
	// placeholder matches the placeholder of a value in a quoted message: "..." or a word in capitals.
	placeholder = regexp.MustCompile(`\.\.\.|\b[A-Z]+\b`)
	// formatVerb matches the verb of a value in a format string.
	formatVerb = regexp.MustCompile(`%[-+ #0]*[\d.]*[a-z]`)
)

// minConstantPart is the minimum number of constant bytes in a quoted message. One with fewer would match any literal.
const minConstantPart = 4

// repeatsMessages reports whether a folder's string literals repeat messages of other packages, as fault tests do.
func repeatsMessages(folder string) bool {
	switch filepath.Base(folder) {
	case "harness", "simulation", "testdata":
		return true
	}
	return false
}

// stringLiterals returns the string literals of the programs without their tests. Literals joined by + are one literal,
// and format verbs are replaced by question marks.
func stringLiterals(t *testing.T) []string {
	t.Helper()
	var out []string
	set := token.NewFileSet()
	for _, folder := range []string{"admission", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, entry fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case entry.IsDir() && repeatsMessages(path):
				return filepath.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				e, ok := n.(ast.Expr)
				if !ok {
					return true
				}
				text, known := literalText(e)
				if known {
					out = append(out, formatVerb.ReplaceAllString(text, "?"))
				}
				return !known
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// literalText returns the text of a string literal, or of several joined by +.
func literalText(e ast.Expr) (text string, known bool) {
	switch e := e.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(e.Value)
		return text, e.Kind == token.STRING && err == nil
	case *ast.BinaryExpr:
		left, knownLeft := literalText(e.X)
		right, knownRight := literalText(e.Y)
		return left + right, e.Op == token.ADD && knownLeft && knownRight
	}
	return "", false
}

// messagePattern returns a pattern for the literals of a quoted message: they have the same constant parts in the same
// order, and any text in place of placeholders. It is nil if the message has fewer than minConstantPart constant bytes.
func messagePattern(quoted string) *regexp.Regexp {
	parts := placeholder.Split(quoted, -1)
	if len(strings.Join(parts, "")) < minConstantPart {
		return nil
	}
	for i := range parts {
		parts[i] = regexp.QuoteMeta(parts[i])
	}
	return regexp.MustCompile("^" + strings.Join(parts, ".*") + "$")
}

// isMessage reports whether a quoted message matches one of the literals.
func isMessage(literals []string, quoted string) bool {
	pattern := messagePattern(quoted)
	return pattern != nil && slices.ContainsFunc(literals, pattern.MatchString)
}

// Log messages that a page quotes, in a code span after the word log, must be string literals of the programs. In the
// quotation, "..." or a word in capitals stands for a value.
func TestQuotedLogMessagesExist(t *testing.T) {
	literals := stringLiterals(t)
	found := map[string]int{}
	for _, page := range pages(t) {
		if strings.Contains(page, "CHANGELOG") || strings.Contains(page, "incidents") ||
			strings.HasSuffix(page, "standing.md") {
			continue
		}
		for _, m := range quotedMessage.FindAllStringSubmatch(readFile(t, page), -1) {
			found[filepath.Base(page)]++
			if !isMessage(literals, m[1]) {
				t.Errorf("%s quotes the log message %q, which no program logs", page, m[1])
			}
		}
	}
	for _, page := range []string{"oncall.md", "decisions.md"} {
		if found[page] == 0 {
			t.Errorf("found no quoted log message in %s", page)
		}
	}
}

func TestIsMessage(t *testing.T) {
	tests := []struct {
		literal, quoted string
		want            bool
	}{
		{"node serves", "node serves", true},
		{"node serves", "node serve", false},
		{"node serves autonomously", "node serves", false},
		{"node serves autonomously", "node serves ...", true},
		{"drain: %d in hand", "drain: N in hand", true},
		{"drain: %d in hand", "drain: N taken", false},
		{"%s link: %v", "LINK link: ...", true},
		{"kernel link", "LINK link: ...", false},
		{"any", "...", false},
	}
	for _, test := range tests {
		literal := formatVerb.ReplaceAllString(test.literal, "?")
		if got := isMessage([]string{literal}, test.quoted); got != test.want {
			t.Errorf("isMessage(%q, %q) = %v, want %v", test.literal, test.quoted, got, test.want)
		}
	}
}

// nameInFile matches a code span with a name, followed by one with the Go file that declares it.
var nameInFile = regexp.MustCompile("`([A-Za-z][\\w.]*)`(?:, | in | \\()`((?:admission|internal)/[\\w./-]+\\.go)`")

// Names that a page gives together with a file must be declared in that file.
func TestNamesAreDeclaredInQuotedFiles(t *testing.T) {
	known := declared(t)
	found := 0
	for _, page := range pages(t) {
		if strings.Contains(page, "CHANGELOG") || strings.Contains(page, "incidents") ||
			strings.HasSuffix(page, "standing.md") {
			continue
		}
		for _, m := range nameInFile.FindAllStringSubmatch(readFile(t, page), -1) {
			name, file := m[1], m[2]
			if strings.HasSuffix(name, ".go") {
				continue
			}
			found++
			if !declaredIn(known[packageOf(file)+"."+name], []string{file}) {
				t.Errorf("%s names %s in %s, which does not declare it", page, name, file)
			}
		}
	}
	if found == 0 {
		t.Error("found no names with their files in the pages")
	}
}
