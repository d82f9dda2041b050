package harness

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"umberwinch/internal/report"
)

// withWorkFolder calls run with a temporary folder for the files, logs and data of processes. The folder is removed
// after a run without a violation. A run that failed, found a violation or was interrupted keeps it, and names it in
// its error or in the report's notes. After a violation the notes also have the last warnings in the logs and how long
// the machine delayed processes. An interrupted run always returns an error, as it has no verdict.
func withWorkFolder(ctx context.Context, rep *report.Report, run func(dir string) error) error {
	dir, err := os.MkdirTemp("", "umberctl-faulttest-")
	if err != nil {
		return err
	}
	monitor := startMachineMonitor()
	err = interrupted(ctx, run(dir))
	delays := monitor.stop()
	if err != nil {
		return fmt.Errorf("%w; logs are in %s", err, dir)
	}
	if rep.Broken != "" {
		rep.Notes = append(append(rep.Notes, "logs are in "+dir), delays...)
		rep.Notes = append(rep.Notes, lastWarnings(dir, maxWarningNotes)...)
		return nil
	}
	return os.RemoveAll(dir)
}

// maxWarningNotes is the maximum number of warnings from the logs in a report.
const maxWarningNotes = 30

// lastWarnings returns the last warnings and errors in the logs of a work folder, oldest first, each after the name of
// its file. It skips a log that can't be read.
func lastWarnings(dir string, limit int) []string {
	type warning struct {
		at   int64
		text string
	}
	var warnings []warning
	files, _ := filepath.Glob(filepath.Join(dir, "*.log")) // the pattern is valid
	for _, file := range files {
		name := filepath.Base(file)
		_ = readLog(file, func(l *logRecord) {
			if level := l.stringField("level"); level != "warning" && level != "error" {
				return
			}
			text, _ := json.Marshal(l.fields) // was decoded from JSON
			warnings = append(warnings, warning{l.at, name + ": " + string(text)})
		})
	}
	slices.SortStableFunc(warnings, func(a, b warning) int { return cmp.Compare(a.at, b.at) })
	var texts []string
	for _, w := range warnings[max(0, len(warnings)-limit):] {
		texts = append(texts, w.text)
	}
	return texts
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
