package wire

import "errors"

// Errors of the parsers. After any of them the connection can't be read further: where the next message begins is
// unknown.
var (
	// ErrHead says that a head isn't HTTP/1.0 or 1.1 as expected.
	ErrHead = errors.New("head is not as expected")
	// ErrTooLarge says that a message is past its Bounds.
	ErrTooLarge = errors.New("message is larger than allowed")
	// ErrField says that a field's value is malformed, out of range or repeated.
	ErrField = errors.New("field is malformed")
	// ErrLength says that a body's length can't be told for certain.
	ErrLength = errors.New("body length is missing, repeated or not supported")
	// ErrLine says that a line of the kernel or the store isn't as expected.
	ErrLine = errors.New("line is not as expected")
)
