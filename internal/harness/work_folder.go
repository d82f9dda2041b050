package harness

import (
	"context"
	"errors"
	"fmt"
	"os"

	"umberwinch/internal/report"
)

// withWorkFolder runs processes whose files, logs and data are in a temporary folder of their own. The folder is
// removed after a run that kept its promises. One that failed, broke a promise or was interrupted leaves it, and says
// where it is: in its error, or in the report's notes. An interrupted run always has an error, as it has no verdict.
func withWorkFolder(ctx context.Context, rep *report.Report, run func(dir string) error) error {
	dir, err := os.MkdirTemp("", "umberctl-faulttest-")
	if err != nil {
		return err
	}
	if err = interrupted(ctx, run(dir)); err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	if rep.Broken != "" {
		rep.Notes = append(rep.Notes, "logs are in "+dir)
		return nil
	}
	return os.RemoveAll(dir)
}

// errInterrupted is the error of a run that was interrupted: a part of it was not played, so it has no verdict.
var errInterrupted = errors.New("interrupted, so there is no verdict")

// interrupted gives a run's error, or that it was interrupted where its context has ended.
func interrupted(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case err == nil || errors.Is(err, ctx.Err()):
		return errInterrupted
	}
	return fmt.Errorf("%w: %w", errInterrupted, err)
}
