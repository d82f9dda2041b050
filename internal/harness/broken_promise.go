package harness

import (
	"errors"

	"umberwinch/internal/report"
)

// invariantError is the error of a run that went to its end and found that a promise does not hold. Any other error says
// that the run itself failed.
type invariantError string

func (e invariantError) Error() string { return string(e) }

// recordViolation brings a broken promise into the report, and gives any other error.
func recordViolation(rep *report.Report, err error) error {
	var violation invariantError
	if errors.As(err, &violation) {
		rep.Break("%s", string(violation))
		return nil
	}
	return err
}
