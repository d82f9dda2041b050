package document

import (
	"fmt"
)

// Change is a key in which two documents differ.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"was"` // empty if Added
	After   string `json:"is"`  // empty if Removed
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// String formats the change as a line of a diff.
func (c Change) String() string {
	switch {
	case c.Added:
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.After)
	case c.Removed:
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Before)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.After, c.Before)
}

// Diff returns the changes from one document to another in the order of the latter's canonical form, with removed keys
// at the end. Either document may be nil.
func Diff(from, to *Document) []Change {
	var fromLines, toLines []Line
	if from != nil {
		fromLines = from.Lines()
	}
	if to != nil {
		toLines = to.Lines()
	}
	type path struct{ section, key string }
	before := make(map[path]string, len(fromLines))
	for _, l := range fromLines {
		before[path{l.Section, l.Key}] = l.Value
	}
	var changes []Change
	present := make(map[path]bool, len(toLines))
	for _, l := range toLines {
		p := path{l.Section, l.Key}
		present[p] = true
		if value, ok := before[p]; !ok {
			changes = append(changes, Change{Section: l.Section, Key: l.Key, After: l.Value, Added: true})
		} else if value != l.Value {
			changes = append(changes, Change{Section: l.Section, Key: l.Key, Before: value, After: l.Value})
		}
	}
	for _, l := range fromLines {
		if !present[path{l.Section, l.Key}] {
			changes = append(changes, Change{Section: l.Section, Key: l.Key, Before: l.Value, Removed: true})
		}
	}
	return changes
}
