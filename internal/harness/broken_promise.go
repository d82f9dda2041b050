package harness

import (
	"errors"

	"umberwinch/internal/report"
)

// brokenPromise is the error of a run that went to its end and found that a promise does not hold. Any other error says
// that the run itself failed.
type brokenPromise string

func (b brokenPromise) Error() string { return string(b) }

// breakOrReturn brings a broken promise into the report, and gives any other error.
func breakOrReturn(rep *report.Report, err error) error {
	var broken brokenPromise
	if errors.As(err, &broken) {
		rep.SetBroken("%s", string(broken))
		return nil
	}
	return err
}
