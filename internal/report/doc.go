// Package report holds the results of a fault test or simulation: a table, figures, plots, and the first broken
// promise. Reports are printed as text and saved as report.html and result.json.
package report
