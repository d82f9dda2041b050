// Package config reads the files that operators write: INI text, typed and checked completely, with the line of every
// fault. It owns the form of such files and how faults are told.
//
// Durations are time.Duration; sizes carry their unit in the name. No part of a file with a fault counts. The package
// never acts on what it read.
package config
