package config

import (
	"fmt"
	"net"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// maxFileBytes is the maximum size of an operator's file; configuration documents, the largest, have the same limit.
const maxFileBytes = 1 << 20

// Fault is an error in a file.
type Fault struct {
	File     string
	Line     int // from 1; 0 if the fault has no line, such as a missing section
	Key      string
	Found    string
	Expected string
}

// String returns file, line and key, and the value found and expected.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, expected %s", f.File, f.Line, f.Key, f.Found, f.Expected)
}

// Faults are all faults of a file, in the order of its lines.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

type keyName struct{ section, key string }

// Text is a parsed INI file. Its getters return the value of a key, or the default if it is absent or invalid. Faults
// are collected and returned by Finish.
type Text struct {
	name         string
	file         *ini.File
	order        []string // sections in the file's order
	lines        map[keyName]int
	secret       map[keyName]bool
	readKeys     map[keyName]bool
	readSections map[string]bool
	faults       Faults
}

// Open reads and parses a file.
func Open(path string) (*Text, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileBytes {
		return nil, Faults{{path, 0, "file", fmt.Sprintf("%d bytes", info.Size()), "1048576 at most"}}
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, raw), nil
}

// Parse parses the text of a file. name is the file's name in faults.
func Parse(name string, raw []byte) *Text {
	t := &Text{name: name, lines: map[keyName]int{}, readKeys: map[keyName]bool{}, readSections: map[string]bool{},
		secret: map[keyName]bool{}}
	if len(raw) > maxFileBytes {
		t.file = ini.Empty()
		t.addFault(0, "file", fmt.Sprintf("%d bytes", len(raw)), "1048576 at most")
		return t
	}
	validText := t.scan(string(raw))
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true,
		SpaceBeforeInlineComment: true, PreserveSurroundedQuote: true, ReaderBufferSize: 64 << 10}, []byte(validText))
	if err != nil {
		t.addFault(0, "file", strconv.Quote(err.Error()), "INI text")
		file = ini.Empty()
	}
	t.file = file
	return t
}

// scan records the line of each section and key, which the INI library does not keep. It returns the text without
// invalid lines, so that one of them does not hide the faults of the others.
func (t *Text) scan(raw string) string {
	section, out := "", make([]string, 0, 64)
	seen := map[string]int{}
	for index, line := range strings.Split(strings.ReplaceAll(raw, "\r\n", "\n"), "\n") {
		trimmed, number := strings.TrimSpace(line), index+1
		switch {
		case trimmed == "" || trimmed[0] == ';' || trimmed[0] == '#':
			trimmed = ""
		case strings.ContainsRune(trimmed, 0) || strings.ContainsAny(trimmed, "`\r"):
			t.addFault(number, "line", strconv.Quote(truncate(trimmed)),
				"text without control characters or back quotes")
			trimmed = ""
		case trimmed[0] == '[':
			name := strings.TrimSpace(strings.TrimSuffix(trimmed[1:], "]"))
			if trimmed[len(trimmed)-1] != ']' || name == "" || strings.ContainsAny(name, "[]") {
				t.addFault(number, "line", strconv.Quote(truncate(trimmed)), "[SECTION]")
				trimmed = ""
				break
			}
			if first, duplicate := seen[name]; duplicate {
				t.addFault(number, "["+name+"]", fmt.Sprintf("it again, first on line %d", first), "each section once")
			} else {
				seen[name] = number
				t.order = append(t.order, name)
				t.lines[keyName{name, ""}] = number
			}
			section, trimmed = name, "["+name+"]"
		default:
			key, _, ok := strings.Cut(trimmed, "=")
			key = strings.TrimSpace(key)
			if !ok || key == "" || section == "" {
				t.addFault(number, "line", strconv.Quote(truncate(trimmed)), "KEY = VALUE under a [SECTION]")
				trimmed = ""
				break
			}
			id := keyName{section, key}
			if first := t.lines[id]; first > 0 {
				t.addFault(number, section+"."+key, fmt.Sprintf("it again, first on line %d", first), "each key once")
				trimmed = ""
				break
			}
			t.lines[id] = number
		}
		out = append(out, trimmed)
	}
	return strings.Join(out, "\n")
}

func truncate(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}

func (t *Text) addFault(line int, key, found, expected string) {
	t.faults = append(t.faults, Fault{t.name, line, key, found, expected})
}

// AddFault adds a fault found by the caller. An empty key stands for the section. The values of secrets are not shown.
func (t *Text) AddFault(section, key, found, expected string) {
	line := t.lines[keyName{section, key}]
	if line == 0 {
		line = t.lines[keyName{section, ""}]
	}
	name := section
	if key != "" {
		name += "." + key
	}
	if t.secret[keyName{section, key}] {
		found = "a value that is not shown"
	}
	t.addFault(line, name, found, expected)
}

// SectionNames returns the names of the sections with a prefix, in the file's order: x for [class x] and the prefix "class".
// Their sections count as known to Finish.
func (t *Text) SectionNames(prefix string) []string {
	var out []string
	for _, s := range t.order {
		if head, name, ok := strings.Cut(s, " "); ok && head == prefix {
			t.readSections[s] = true
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

// HasSection reports whether the file has a section, which counts as known to Finish.
func (t *Text) HasSection(section string) bool {
	t.readSections[section] = true
	return t.lines[keyName{section, ""}] > 0
}

func (t *Text) value(section, key string) (string, bool) {
	t.readSections[section] = true
	t.readKeys[keyName{section, key}] = true
	s, err := t.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	return strings.TrimSpace(s.Key(key).String()), true
}

// String returns a text.
func (t *Text) String(section, key, def string) string {
	if v, ok := t.value(section, key); ok {
		return v
	}
	return def
}

// Required returns a text that must be present and not empty.
func (t *Text) Required(section, key, expected string) string {
	v, ok := t.value(section, key)
	if !ok || v == "" {
		t.AddFault(section, key, "nothing", expected)
	}
	return v
}

// Secret returns a text that is never shown in faults.
func (t *Text) Secret(section, key string) string {
	t.secret[keyName{section, key}] = true
	return t.String(section, key, "")
}

// Choice returns one of several words.
func (t *Text) Choice(section, key, def string, words ...string) string {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	for _, w := range words {
		if v == w {
			return v
		}
	}
	t.AddFault(section, key, strconv.Quote(truncate(v)), "one of "+strings.Join(words, ", "))
	return def
}

// Bool returns whether the value is yes rather than no.
func (t *Text) Bool(section, key string, def bool) bool {
	word := map[bool]string{true: "yes", false: "no"}
	return t.Choice(section, key, word[def], "yes", "no") == "yes"
}

// Int returns an integer from least to most.
func (t *Text) Int(section, key string, def, least, most int) int {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		t.AddFault(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a whole number from %d to %d", least, most))
		return def
	}
	return n
}

// Float returns a number from least to most.
func (t *Text) Float(section, key string, def, least, most float64) float64 {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least && n <= most) {
		t.AddFault(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return n
}

// Duration returns a duration, such as 250ms or 2s, from least to most.
func (t *Text) Duration(section, key string, def, least, most time.Duration) time.Duration {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least || d > most {
		t.AddFault(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a time from %s to %s", least, most))
		return def
	}
	return d
}

// Address returns IP:PORT. Host names are rejected, as they are never resolved.
func (t *Text) Address(section, key, def string) string {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	if !IsIPPort(v) {
		t.AddFault(section, key, strconv.Quote(truncate(v)), "IP:PORT")
		return def
	}
	return v
}

// IsIPPort reports whether s is IP:PORT.
func IsIPPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, portErr := strconv.Atoi(port)
	return err == nil && portErr == nil && n >= 0 && n < 65536 && net.ParseIP(host) != nil
}

// IsLoopback reports whether s is IP:PORT with a loopback address.
func IsLoopback(s string) bool {
	host, _, err := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// List returns comma-separated words.
func (t *Text) List(section, key string) []string {
	v, ok := t.value(section, key)
	if !ok || v == "" {
		return nil
	}
	out := strings.Split(v, ",")
	for i := range out {
		out[i] = strings.TrimSpace(out[i])
		if out[i] == "" {
			t.AddFault(section, key, strconv.Quote(truncate(v)), "words parted by single commas")
			return nil
		}
	}
	return out
}

// Finish adds a fault for each section and key that no getter has read, and returns all faults as Faults, or nil if there
// are none.
func (t *Text) Finish() error {
	for _, s := range t.order {
		if !t.readSections[s] {
			t.AddFault(s, "", "a section that is not known", "one of those in the commented file under deploy")
			continue
		}
		section, err := t.file.GetSection(s)
		if err != nil {
			continue
		}
		for _, key := range section.KeyStrings() {
			if !t.readKeys[keyName{s, key}] {
				t.AddFault(s, key, "a key that is not known", "one of this section's keys")
			}
		}
	}
	if len(t.faults) == 0 {
		return nil
	}
	sort.SliceStable(t.faults, func(i, k int) bool { return t.faults[i].Line < t.faults[k].Line })
	return t.faults
}
