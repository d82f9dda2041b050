// Package report is what a run of the fault harness or of a simulation found: a table, figures, plots, and whether
// a promise was broken. It prints itself and writes report.html and result.json. It decides nothing about what is
// measured.
package report
