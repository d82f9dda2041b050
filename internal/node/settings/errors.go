package settings

import "errors"

// ErrNoClasses is returned for settings without classes, under which no request could be served.
var ErrNoClasses = errors.New("settings: no classes, expected at least one")

// InvalidError is returned for a key with an invalid value.
type InvalidError struct {
	Key     string // path of the key, such as family_info.cores, or of several keys
	Problem string // the value found and those expected
}

// Error returns the key, the value found and those expected.
func (e *InvalidError) Error() string { return "settings: " + e.Key + " " + e.Problem }
