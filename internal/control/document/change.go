package document

import (
	"fmt"
	"strings"
)

// Follows tells why d may not come after the version before it, all reasons at once; nil if it may. What is
// checked is what reqs in flight were promised under the version before:
//
//   - a class that is not retired stays, with its kind: reqs of it are open, and whether one may run again hangs on it;
//   - a uniqued class's window never shrinks: a first try that ran is remembered for the window it came under, and
//     under a shorter one its repeat would run.
func (d *Document) Follows(before *Document) error {
	if before == nil {
		return nil
	}
	var reasons FollowErrors
	for _, was := range before.Classes {
		if was.Retired {
			continue
		}
		is, ok := d.Class(was.Name)
		switch {
		case !ok:
			reasons = append(reasons, fmt.Sprintf("class %s: found no such section, expected it with retired = yes "+
				"for one version before it goes", was.Name))
		case is.Kind != was.Kind:
			reasons = append(reasons, fmt.Sprintf("class %s.kind: found %s, expected %s as before, or retired = yes "+
				"for one version before it changes", was.Name, is.Kind, was.Kind))
		case is.IdempotencyWindow < was.IdempotencyWindow:
			reasons = append(reasons, fmt.Sprintf("class %s.window: found %s, expected %s at least, as reqs in "+
				"flight were promised", was.Name, is.IdempotencyWindow, was.IdempotencyWindow))
		}
	}
	if len(reasons) == 0 {
		return nil
	}
	return reasons
}

// FollowErrors are why a version may not follow another.
type FollowErrors []string

func (r FollowErrors) Error() string { return strings.Join(r, "\n") }

// Change is one key, or a whole section, that differs.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Before  string `json:"was"` // empty and Added where it is new
	After   string `json:"is"`
	Added   bool   `json:"added,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Added:
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.After)
	case c.Removed:
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Before)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.After, c.Before)
}

// Diff gives what changes from one document to another, in the order of the later one's canonical form, with
// what was removed at the end. Either may be nil.
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
