package document

import "strings"

// UpdateErrors are the reasons why a document may not replace another. Errors in a single document are config.Faults.
type UpdateErrors []string

// Error returns one line for each reason.
func (e UpdateErrors) Error() string { return strings.Join(e, "\n") }
