package overlay

import "strings"

// ConflictError is a document that does not fit the platform's settings.
type ConflictError struct {
	Conflicts []string // each names the key, what was found and what was expected
}

// Error gives all conflicts in one line.
func (e *ConflictError) Error() string { return strings.Join(e.Conflicts, "; ") }
