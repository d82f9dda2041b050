// Package logging configures logrus once for every program and owns the names of the fields of log lines.
//
// A line is a constant message in plain words with its values as fields (fields.go). Writer keeps a program from
// waiting for whoever reads its log: lines that find its queue full are dropped and counted.
//
// The package never decides what is logged, and callers never hand it a secret.
package logging
