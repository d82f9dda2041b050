package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"umberwinch/internal/report"
)

// The work folder is removed only after a run without a violation; otherwise it keeps the log, and the error or the
// report names it. An interrupted run returns errInterrupted in any case.
func TestWorkFolderIsRemovedOnlyAfterPassingRun(t *testing.T) {
	t.Parallel()
	failure := errors.New("the node ended by itself")
	for _, c := range []struct {
		name        string
		violation   string
		interrupted bool
		failed      error
		want        error
		wantKept    bool
	}{
		{name: "kept"},
		{name: "broken", violation: "a key ran twice", wantKept: true},
		{name: "failed", failed: failure, want: failure, wantKept: true},
		{name: "interrupted", interrupted: true, want: errInterrupted, wantKept: true},
		{name: "interrupted and failed", interrupted: true, failed: failure, want: failure, wantKept: true},
		{name: "interrupted and broken", interrupted: true, violation: "not in time", want: errInterrupted,
			wantKept: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			rep, folder := &report.Report{}, ""
			err := withWorkFolder(ctx, rep, func(dir string) error {
				folder = dir
				if c.interrupted {
					cancel()
				}
				if c.violation != "" {
					rep.SetBroken("%s", c.violation)
				}
				return errors.Join(os.WriteFile(filepath.Join(dir, "n1.log"), []byte("a line\n"), 0o600), c.failed)
			})
			t.Cleanup(func() { os.RemoveAll(folder) })
			if !errors.Is(err, c.want) || c.interrupted && !errors.Is(err, errInterrupted) {
				t.Errorf("withWorkFolder() error = %v, want %v", err, c.want)
			}
			text := strings.Join(rep.Notes, "\n")
			if err != nil {
				text = err.Error()
			}
			if strings.Contains(text, "logs are in "+folder) != c.wantKept {
				t.Errorf("got text %q, want it to name folder %s: %v", text, folder, c.wantKept)
			}
			if _, err := os.Stat(filepath.Join(folder, "n1.log")); (err == nil) != c.wantKept {
				t.Errorf("Stat(n1.log) error = %v, want the file kept: %v", err, c.wantKept)
			}
		})
	}
}

// After a violation the report has the last warnings of all logs in order, as CI keeps no logs, and the machine's delays.
func TestViolationReportHasWarningsAndDelays(t *testing.T) {
	t.Parallel()
	const fenced = `{"level":"warning","msg":"node is fenced","time":"2026-12-04T08:31:26.58%dZ"}` + "\n"
	rep, folder := &report.Report{}, ""
	err := withWorkFolder(context.Background(), rep, func(dir string) error {
		folder = dir
		rep.SetBroken("a request was lost")
		return errors.Join(
			os.WriteFile(filepath.Join(dir, "n1.log"), []byte(fmt.Sprintf(fenced, 3)+
				`{"level":"info","msg":"node serves","time":"2026-12-04T08:31:26.590Z"}`+"\nnot a record\n"), 0o600),
			os.WriteFile(filepath.Join(dir, "n2.log"), []byte(strings.Repeat(fmt.Sprintf(fenced, 1), maxWarningNotes)),
				0o600))
	})
	t.Cleanup(func() { os.RemoveAll(folder) })
	if err != nil {
		t.Fatal(err)
	}
	warnings := slices.DeleteFunc(slices.Clone(rep.Notes), func(s string) bool { return !strings.Contains(s, ".log: ") })
	if len(warnings) != maxWarningNotes || !strings.HasPrefix(warnings[0], "n2.log: ") ||
		warnings[maxWarningNotes-1] != `n1.log: {"level":"warning","msg":"node is fenced",`+
			`"time":"2026-12-04T08:31:26.583Z"}` {
		t.Errorf("got warnings %q, want the last %d, that of n1 at the end", warnings, maxWarningNotes)
	}
	if !slices.ContainsFunc(rep.Notes, func(s string) bool { return strings.HasPrefix(s, "machine: a timer") }) {
		t.Errorf("got notes %q, want the machine's delays among them", rep.Notes)
	}
}

// An interrupted run in virtual time returns an error and prints no verdict, as most schedules were not run.
func TestInterruptedVirtualRunHasNoVerdict(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for name, run := range map[string]func(out *strings.Builder) (*report.Report, error){
		"raft": func(out *strings.Builder) (*report.Report, error) {
			return (&RaftTest{Seed: 1, Mode: "virtual"}).Run(ctx, out)
		},
		"policy": func(out *strings.Builder) (*report.Report, error) {
			return (&PolicyTest{Seed: 1, Mode: "virtual"}).Run(ctx, out)
		},
		"zones": func(out *strings.Builder) (*report.Report, error) {
			return (&ZonesTest{Seed: 1, Mode: "virtual"}).Run(ctx, out)
		},
		"recovery": func(out *strings.Builder) (*report.Report, error) {
			return (&RecoveryTest{Seed: 1, Mode: "virtual"}).Run(ctx, out)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out strings.Builder
			if rep, err := run(&out); rep != nil || !errors.Is(err, errInterrupted) || out.Len() > 0 {
				t.Errorf("Run() = %v, error %v, printed %q; want only error %v", rep, err, out.String(), errInterrupted)
			}
		})
	}
}
