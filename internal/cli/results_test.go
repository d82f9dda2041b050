package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberwinch/internal/node/resultstore"
	"umberwinch/internal/wal"
)

// The results commands must reject a folder that is in use or damaged without modifying it, and otherwise count its
// keys by state: here two intents, a result and a failure.
func TestResultsReadsUnusedFolder(t *testing.T) {
	dir := t.TempDir()
	expect(t, 2, "found no log", "results", "stat", dir)
	if names, _ := os.ReadDir(dir); len(names) > 0 {
		t.Fatalf("the empty folder has %v, want it unchanged", names)
	}
	now, boot, err := resultstore.BootClock()
	if err != nil {
		t.Fatal(err)
	}
	s, _, _, err := resultstore.Open(wal.Dir(dir), wal.Sizes{SegmentBytes: 1 << 20, MaxBytes: 1 << 30},
		resultstore.Limits{Keys: 100, Bytes: 1 << 20, ResultBytes: 100}, now, boot)
	if err != nil {
		t.Fatal(err)
	}
	for i, kind := range []resultstore.RecordKind{resultstore.Intent, resultstore.Intent, resultstore.Result,
		resultstore.Failure} {
		done := make(chan error)
		s.Append(resultstore.Record{Kind: kind, Key: resultstore.Key{byte(i)}, BodyDigest: 1, At: now,
			Window: 100_000 + uint64(i)}, func(_ uint64, err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	expect(t, 1, "stop the node first", "results", "stat", dir)
	if err = s.Close(); err != nil {
		t.Fatal(err)
	}
	out := expect(t, 0, "windows continue", "results", "stat", dir)
	for _, line := range []string{"may have run  2", "done          1", "failed        1", "keys          4"} {
		if !strings.Contains(out, line) {
			t.Errorf("results stat printed\n%s, want the line %q", out, line)
		}
	}
	if out = expect(t, 0, "may have run", "results", "list", dir, "--most", "2"); strings.Count(out, "\n") != 3 {
		t.Errorf("results list --most 2 printed\n%s, want two keys", out)
	}
	expect(t, 0, `"states": {`, "results", "stat", dir, "--json")
	expect(t, 0, "valid: 5 records, 4 keys, 2 that may have run", "results", "verify", dir)
	expect(t, 0, "bytes", "results", "compact", dir)
	expect(t, 0, "valid: 5 records", "results", "verify", dir) // no window has expired
	logs, _ := filepath.Glob(filepath.Join(dir, "*.seg"))
	raw, err := os.ReadFile(logs[0])
	if err != nil {
		t.Fatal(err)
	}
	raw[60] ^= 1
	if err = os.WriteFile(logs[0], raw, 0o600); err != nil {
		t.Fatal(err)
	}
	expect(t, 1, "damaged", "results", "stat", dir)
	expect(t, 1, "damaged", "results", "verify", dir)
	expect(t, 1, "damaged", "results", "compact", dir)
	if is, _ := os.ReadFile(logs[0]); string(is) != string(raw) {
		t.Error("the damaged log was modified, want it unchanged")
	}
}
