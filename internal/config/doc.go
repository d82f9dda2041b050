// Package config parses and validates operators' INI files. All faults of a file are reported together, each with its
// line; a file with a fault is rejected as a whole.
//
// Durations are time.Duration; sizes have their unit in the name.
package config
