package api

import "fmt"

// FieldError says what was found in a field of a message and what was expected. It is told to the sender, who has to
// change the message: sent again as it is, it is refused again.
type FieldError struct {
	Field    string // its JSON key
	Found    string
	Expected string
}

// Error has the form of all errors of input: the field, what was found, what was expected.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}
