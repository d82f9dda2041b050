package harness

import (
	"errors"

	"umberwinch/internal/report"
)

// invariantError is the error of a run that completed and found an invariant violated. Any other error means that
// the run itself failed.
type invariantError string

func (e invariantError) Error() string { return string(e) }

// recordViolation records an invariantError in the report and returns nil; it returns any other error.
func recordViolation(rep *report.Report, err error) error {
	var violation invariantError
	if errors.As(err, &violation) {
		rep.Break("%s", string(violation))
		return nil
	}
	return err
}
