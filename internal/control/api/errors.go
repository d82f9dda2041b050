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

// FieldsError is a FieldError for several fields together.
type FieldsError struct {
	Fields   string // their JSON keys, with what was found where that is short
	Expected string
}

// Error says what was expected of the fields.
func (e *FieldsError) Error() string { return e.Fields + ": expected " + e.Expected }
