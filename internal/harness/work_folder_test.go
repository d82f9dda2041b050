package harness

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberwinch/internal/report"
)

// A run on processes writes a log into its folder and ends. Only where all went well is the folder gone afterwards;
// else it is there with the log, and the error or the report says where. An interrupted run has an error in any case.
func TestWorkFolderIsRemovedOnlyAfterPassingRun(t *testing.T) {
	t.Parallel()
	failure := errors.New("the node ended by itself")
	for _, c := range []struct {
		name        string
		broken      string
		interrupted bool
		failed      error
		want        error
		stays       bool
	}{
		{name: "kept"},
		{name: "broken", broken: "a key ran twice", stays: true},
		{name: "failed", failed: failure, want: failure, stays: true},
		{name: "interrupted", interrupted: true, want: errInterrupted, stays: true},
		{name: "interrupted and failed", interrupted: true, failed: failure, want: failure, stays: true},
		{name: "interrupted and broken", interrupted: true, broken: "not in time", want: errInterrupted, stays: true},
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
				if c.broken != "" {
					rep.Break("%s", c.broken)
				}
				return errors.Join(os.WriteFile(filepath.Join(dir, "n1.log"), []byte("a line\n"), 0o600), c.failed)
			})
			t.Cleanup(func() { os.RemoveAll(folder) })
			if !errors.Is(err, c.want) || c.interrupted && !errors.Is(err, errInterrupted) {
				t.Errorf("error %v, expected %v", err, c.want)
			}
			said := strings.Join(rep.Notes, "\n")
			if err != nil {
				said = err.Error()
			}
			if strings.Contains(said, "logs are in "+folder) != c.stays {
				t.Errorf("says %q, folder %s, expected it to be named: %v", said, folder, c.stays)
			}
			if _, err := os.Stat(filepath.Join(folder, "n1.log")); (err == nil) != c.stays {
				t.Errorf("log: %v, expected it there: %v", err, c.stays)
			}
		})
	}
}

// A run in virtual time alone is interrupted: it ends with an error and prints no verdict, as most of it was not
// played.
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
				t.Errorf("report %v, error %v, printed %q; expected the error alone", rep, err, out.String())
			}
		})
	}
}
