package document

import "fmt"

// ValidateUpdate returns all reasons why d may not replace the previous version, as UpdateErrors, nil if it may.
//
// It guards against executing a request in flight twice: a class keeps its kind, which decides on retries, until it is
// retired, and the window of an idempotency-keyed class never shrinks, so that retries within the old window still
// match.
func (d *Document) ValidateUpdate(before *Document) error {
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
