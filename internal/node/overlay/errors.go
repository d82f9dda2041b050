package overlay

import "strings"

// ConflictError is returned for a document that contradicts the platform's settings.
type ConflictError struct {
	Conflicts []string // each with the key, the value found and those expected
}

// Error returns all conflicts on one line.
func (e *ConflictError) Error() string { return strings.Join(e.Conflicts, "; ") }
