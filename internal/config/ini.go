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

// maxFileBytes bounds an operator's file; a document of the replicated configuration is the largest, at 1 MiB.
const maxFileBytes = 1 << 20

// Fault is one thing wrong in a file.
type Fault struct {
	File     string
	Line     int // 1 on; 0 where the fault is that something is missing
	Key      string
	Found    string
	Expected string
}

// String names file, line and key, and says what was found and expected.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: found %s, expected %s", f.File, f.Line, f.Key, f.Found, f.Expected)
}

// Faults are all that is wrong in a file, in the order of its lines.
type Faults []Fault

// Error gives a line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

type keyName struct{ section, key string }

// Text is one file as read. Its getters answer with the value, or with the default and a fault noted.
type Text struct {
	name         string
	file         *ini.File
	order        []string // sections as they come
	lines        map[keyName]int
	secret       map[keyName]bool
	readKeys     map[keyName]bool
	readSections map[string]bool
	faults       Faults
}

// Open reads a file.
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

// Parse takes text at hand; name stands in the faults.
func Parse(name string, raw []byte) *Text {
	t := &Text{name: name, lines: map[keyName]int{}, readKeys: map[keyName]bool{}, readSections: map[string]bool{},
		secret: map[keyName]bool{}}
	if len(raw) > maxFileBytes {
		t.file = ini.Empty()
		t.addFault(0, "file", fmt.Sprintf("%d bytes", len(raw)), "1048576 at most")
		return t
	}
	kept := t.scan(string(raw))
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreContinuation: true,
		SpaceBeforeInlineComment: true, PreserveSurroundedQuote: true, ReaderBufferSize: 64 << 10}, []byte(kept))
	if err != nil {
		t.addFault(0, "file", strconv.Quote(err.Error()), "INI text")
		file = ini.Empty()
	}
	t.file = file
	return t
}

// scan notes on which line each key stands, since the library keeps none, and answers with the text less the
// lines that are faults, so that one bad line does not hide the faults of the others.
func (t *Text) scan(raw string) string {
	section, out := "", make([]string, 0, 64)
	seen := map[string]int{}
	for n, line := range strings.Split(strings.ReplaceAll(raw, "\r\n", "\n"), "\n") {
		bare, at := strings.TrimSpace(line), n+1
		switch {
		case bare == "" || bare[0] == ';' || bare[0] == '#':
			bare = ""
		case strings.ContainsRune(bare, 0) || strings.ContainsAny(bare, "`\r"):
			t.addFault(at, "line", strconv.Quote(truncate(bare)), "text without control characters or back quotes")
			bare = ""
		case bare[0] == '[':
			name := strings.TrimSpace(strings.TrimSuffix(bare[1:], "]"))
			if bare[len(bare)-1] != ']' || name == "" || strings.ContainsAny(name, "[]") {
				t.addFault(at, "line", strconv.Quote(truncate(bare)), "[SECTION]")
				bare = ""
				break
			}
			if first, twice := seen[name]; twice {
				t.addFault(at, "["+name+"]", fmt.Sprintf("it again, first on line %d", first), "each section once")
			} else {
				seen[name] = at
				t.order = append(t.order, name)
				t.lines[keyName{name, ""}] = at
			}
			section, bare = name, "["+name+"]"
		default:
			key, _, ok := strings.Cut(bare, "=")
			key = strings.TrimSpace(key)
			if !ok || key == "" || section == "" {
				t.addFault(at, "line", strconv.Quote(truncate(bare)), "KEY = VALUE under a [SECTION]")
				bare = ""
				break
			}
			p := keyName{section, key}
			if first := t.lines[p]; first > 0 {
				t.addFault(at, section+"."+key, fmt.Sprintf("it again, first on line %d", first), "each key once")
				bare = ""
				break
			}
			t.lines[p] = at
		}
		out = append(out, bare)
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

// Note adds a fault found by the user of the file; an empty key means the section.
func (t *Text) Note(section, key, found, expected string) {
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

// Names gives what follows the prefix in the names of its sections, in the file's order: of [class x] with "class"
// it is x. What is asked for is known from then on.
func (t *Text) Names(prefix string) []string {
	var out []string
	for _, s := range t.order {
		if head, name, ok := strings.Cut(s, " "); ok && head == prefix {
			t.readSections[s] = true
			out = append(out, strings.TrimSpace(name))
		}
	}
	return out
}

// Has tells whether a section stands in the file.
func (t *Text) Has(section string) bool {
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

// String gives a text, or the default where the key is not there.
func (t *Text) String(section, key, def string) string {
	if v, ok := t.value(section, key); ok {
		return v
	}
	return def
}

// Needed gives a text that must be there.
func (t *Text) Needed(section, key, expected string) string {
	v, ok := t.value(section, key)
	if !ok || v == "" {
		t.Note(section, key, "nothing", expected)
	}
	return v
}

// Secret is a text that is never shown.
func (t *Text) Secret(section, key string) string {
	t.secret[keyName{section, key}] = true
	return t.String(section, key, "")
}

// Choice gives one of some words.
func (t *Text) Choice(section, key, def string, of ...string) string {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	for _, w := range of {
		if v == w {
			return v
		}
	}
	t.Note(section, key, strconv.Quote(truncate(v)), "one of "+strings.Join(of, ", "))
	return def
}

// Flag gives yes or no.
func (t *Text) Flag(section, key string, def bool) bool {
	word := map[bool]string{true: "yes", false: "no"}
	return t.Choice(section, key, word[def], "yes", "no") == "yes"
}

// Whole gives a whole number within bounds.
func (t *Text) Whole(section, key string, def, least, most int) int {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		t.Note(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a whole number from %d to %d", least, most))
		return def
	}
	return n
}

// Number gives a number within bounds.
func (t *Text) Number(section, key string, def, least, most float64) float64 {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= least && n <= most) {
		t.Note(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a number from %g to %g", least, most))
		return def
	}
	return n
}

// Time gives a span such as 250ms or 2s, within bounds.
func (t *Text) Time(section, key string, def, least, most time.Duration) time.Duration {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < least || d > most {
		t.Note(section, key, strconv.Quote(truncate(v)), fmt.Sprintf("a time from %s to %s", least, most))
		return def
	}
	return d
}

// Address gives HOST:PORT with the host as an IP address, as there are no name look-ups.
func (t *Text) Address(section, key, def string) string {
	v, ok := t.value(section, key)
	if !ok {
		return def
	}
	if !IsAddress(v) {
		t.Note(section, key, strconv.Quote(truncate(v)), "IP:PORT")
		return def
	}
	return v
}

// IsAddress tells whether s is IP:PORT.
func IsAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	n, perr := strconv.Atoi(port)
	return err == nil && perr == nil && n >= 0 && n < 65536 && net.ParseIP(host) != nil
}

// Loopback tells whether an IP:PORT stays on this machine.
func Loopback(s string) bool {
	host, _, err := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// List gives words parted by commas.
func (t *Text) List(section, key string) []string {
	v, ok := t.value(section, key)
	if !ok || v == "" {
		return nil
	}
	out := strings.Split(v, ",")
	for i := range out {
		out[i] = strings.TrimSpace(out[i])
		if out[i] == "" {
			t.Note(section, key, strconv.Quote(truncate(v)), "words parted by single commas")
			return nil
		}
	}
	return out
}

// Done ends the reading: whatever nobody asked for is a fault. It gives Faults, or nil where there is none.
func (t *Text) Done() error {
	for _, s := range t.order {
		if !t.readSections[s] {
			t.Note(s, "", "a section that is not known", "one of those in the commented file under deploy")
			continue
		}
		section, err := t.file.GetSection(s)
		if err != nil {
			continue
		}
		for _, key := range section.KeyStrings() {
			if !t.readKeys[keyName{s, key}] {
				t.Note(s, key, "a key that is not known", "one of this section's keys")
			}
		}
	}
	if len(t.faults) == 0 {
		return nil
	}
	sort.SliceStable(t.faults, func(i, k int) bool { return t.faults[i].Line < t.faults[k].Line })
	return t.faults
}
