// Package logging configures logrus for all programs and defines the names of log fields.
//
// A log line has a constant message, and its values are fields (fields.go). Writer keeps a program from blocking on the
// reader of its log: lines that don't fit its queue are dropped and counted.
//
// Callers must not log secrets; the package does not filter them.
package logging
