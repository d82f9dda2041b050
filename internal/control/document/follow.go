package document

import "fmt"

// Follows returns why d may not come after the version before it, all reasons at once as UpdateErrors, and nil if it
// may. It protects what requests in flight were promised under the version before: a class that is not retired stays,
// with its kind, as whether an open request may be run again depends on it; and the window of an idempotency-keyed
// class never shrinks, as a retry within the window that its request came under would be run a second time.
func (d *Document) Follows(before *Document) error {
	if before == nil {
		return nil
	}
	var reasons UpdateErrors
	for _, previous := range before.Classes {
		if previous.Retired {
			continue
		}
		class, ok := d.Class(previous.Name)
		switch {
		case !ok:
			reasons = append(reasons, fmt.Sprintf("class %s: found no such section, expected it with retired = yes "+
				"for one version before it goes", previous.Name))
		case class.Kind != previous.Kind:
			reasons = append(reasons, fmt.Sprintf("class %s.kind: found %s, expected %s as before, or retired = yes "+
				"for one version before it changes", previous.Name, class.Kind, previous.Kind))
		case class.IdempotencyWindow < previous.IdempotencyWindow:
			reasons = append(reasons, fmt.Sprintf("class %s.window: found %s, expected %s at least, as reqs in "+
				"flight were promised", previous.Name, class.IdempotencyWindow, previous.IdempotencyWindow))
		}
	}
	if len(reasons) == 0 {
		return nil
	}
	return reasons
}
