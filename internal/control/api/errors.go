package api

import "fmt"

// FieldError is an invalid field of a message. It is returned to the sender and is permanent: the same message is
// rejected again.
type FieldError struct {
	Field    string // its JSON key
	Found    string
	Expected string
}

// Error returns the field, the value found and the values expected, in the format of all input errors.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: found %s, expected %s", e.Field, e.Found, e.Expected)
}

// FieldsError is a FieldError for a group of fields.
type FieldsError struct {
	Fields   string // their JSON keys, with the value found if it is short
	Expected string
}

// Error returns the fields and the values expected.
func (e *FieldsError) Error() string { return e.Fields + ": expected " + e.Expected }
