package settings

import "errors"

// ErrNoClasses says that the settings name no class of requests: nothing could be served.
var ErrNoClasses = errors.New("settings: no classes, expected at least one")

// InvalidError is a key whose value can't be used.
type InvalidError struct {
	Key     string // as in the settings, such as family_info.cores; several where only together they are wrong
	Problem string // what was found, and what was expected
}

// Error names the key, what was found and what was expected.
func (e *InvalidError) Error() string { return "settings: " + e.Key + " " + e.Problem }
