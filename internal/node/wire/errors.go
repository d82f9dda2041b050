package wire

import "errors"

// Errors of the parsers. After any of them the connection can't be read further, as the begin of the next message is
// unknown.
var (
	// ErrHead is the error of a malformed HTTP head, or one of a version other than HTTP/1.0 and HTTP/1.1.
	ErrHead = errors.New("malformed HTTP head")
	// ErrTooLarge is the error of a message larger than its Bounds.
	ErrTooLarge = errors.New("message exceeds its size limit")
	// ErrField is the error of a field whose value is malformed, out of range or repeated.
	ErrField = errors.New("malformed field")
	// ErrLength is the error of a body whose length is malformed, ambiguous or encoded in an unsupported way.
	ErrLength = errors.New("body length is malformed, ambiguous or not supported")
	// ErrLine is the error of a malformed line of the kernel or the store.
	ErrLine = errors.New("malformed line")
)
