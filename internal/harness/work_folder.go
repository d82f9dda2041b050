package harness

import (
	"context"
	"errors"
	"fmt"
	"os"

	"umberwinch/internal/report"
)

// withWorkFolder calls run with a temporary folder for the files, logs and data of processes. The folder is removed
// after a run without a violation. A run that failed, found a violation or was interrupted keeps it, and names it in
// its error or in the report's notes. An interrupted run always returns an error, as it has no verdict.
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

// errInterrupted is the error of an interrupted run, which is incomplete and has no verdict.
var errInterrupted = errors.New("interrupted, so there is no verdict")

// interrupted returns a run's error, or errInterrupted, with any other error wrapped, if the context has ended.
func interrupted(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case err == nil || errors.Is(err, ctx.Err()):
		return errInterrupted
	}
	return fmt.Errorf("%w: %w", errInterrupted, err)
}
