package document

import "strings"

// FollowErrors are why a version may not follow another. What is wrong with a document alone is config.Faults.
type FollowErrors []string

// Error gives a line for each reason.
func (r FollowErrors) Error() string { return strings.Join(r, "\n") }
