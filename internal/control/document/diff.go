package document

import (
	"fmt"
)

// Change is a key, or a whole section, in which two documents differ.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"was"` // empty and Added where it is new
	After   string `json:"is"`
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// String gives the change as a line of a diff.
func (c Change) String() string {
	switch {
	case c.Added:
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.After)
	case c.Removed:
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Before)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.After, c.Before)
}

// Diff returns what changes from one document to another, in the order of the later one's canonical form, with what
// was removed at the end. Either may be nil.
func Diff(from, to *Document) []Change {
	var was, is []Line
	if from != nil {
		was = from.Lines()
	}
	if to != nil {
		is = to.Lines()
	}
	type at struct{ section, key string }
	old := make(map[at]string, len(was))
	for _, l := range was {
		old[at{l.Section, l.Key}] = l.Value
	}
	var out []Change
	kept := make(map[at]bool, len(is))
	for _, l := range is {
		k := at{l.Section, l.Key}
		kept[k] = true
		if v, ok := old[k]; !ok {
			out = append(out, Change{Section: l.Section, Key: l.Key, After: l.Value, Added: true})
		} else if v != l.Value {
			out = append(out, Change{Section: l.Section, Key: l.Key, Before: v, After: l.Value})
		}
	}
	for _, l := range was {
		if !kept[at{l.Section, l.Key}] {
			out = append(out, Change{Section: l.Section, Key: l.Key, Before: l.Value, Removed: true})
		}
	}
	return out
}
