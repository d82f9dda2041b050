package document

import "strings"

// UpdateErrors are why a version may not follow another. What is wrong with a document alone is config.Faults.
type UpdateErrors []string

// Error gives a line for each reason.
func (r UpdateErrors) Error() string { return strings.Join(r, "\n") }
