package resultstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"umberwinch/internal/wal"
)

// fixtureFolder is a folder written by version 2a0a97e, with results, failures, keys that did not run, and intents
// without an end. Stored forms are stable, so it never changes.
const fixtureFolder = "testdata/folder"

var (
	fixtureSizes  = wal.Sizes{SegmentBytes: 1024, MaxBytes: 1 << 20}
	fixtureLimits = Limits{Keys: 64, Bytes: 1 << 18, ResultBytes: 128, LongestWindow: 60_000}
)

const (
	fixtureBootID = "pinned boot"
	fixtureNow    = uint64(10_000)
)

// writeFixture writes the records of the fixture, each with its own sync.
func writeFixture(t *testing.T, folder string) {
	t.Helper()
	s, index, _, err := Open(wal.Dir(folder), fixtureSizes, fixtureLimits, fixtureNow, fixtureBootID)
	if err != nil {
		t.Fatal(err)
	}
	s.SyncEachRecord = true
	appendRecord := func(r Record) {
		done := make(chan error, 1)
		if !s.Append(r, func(position uint64, err error) { index.MarkDurable(&r, position); done <- err }) {
			t.Fatal("Append() = false, want true")
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	for k := range 24 {
		now := fixtureNow + uint64(k)*100
		appendRecord(index.Begin(now, testKey(k), uint64(1000+k), 60_000+uint64(k)))
		switch k % 6 {
		case 3: // no end record, as after a kill
		case 4:
			r, _ := index.MarkExecuted(now+10, testKey(k), false, nil)
			appendRecord(r)
		case 5:
			r, _ := index.MarkNotExecuted(now+10, testKey(k))
			appendRecord(r)
		default:
			r, _ := index.MarkExecuted(now+10, testKey(k), true, bytes.Repeat([]byte(fmt.Sprint("result ", k, " ")), 1+k%4))
			appendRecord(r)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// folderFiles returns the files of a folder except empty ones, such as the lock.
func folderFiles(t *testing.T, folder string) map[string][]byte {
	t.Helper()
	names, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string][]byte{}
	for _, n := range names {
		raw, err := os.ReadFile(filepath.Join(folder, n.Name()))
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > 0 {
			out[n.Name()] = raw
		}
	}
	return out
}

// copyFixture returns the path of a copy of the fixture; change, if not nil, is applied to each file.
func copyFixture(t *testing.T, change func(name string, raw []byte) []byte) string {
	t.Helper()
	to := t.TempDir()
	for name, raw := range folderFiles(t, fixtureFolder) {
		if change != nil {
			raw = change(name, raw)
		}
		if err := os.WriteFile(filepath.Join(to, name), raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// describeIndex returns a sorted list of the keys with state and remaining window.
func describeIndex(index *Index, now uint64) string {
	var lines []string
	index.ForEach(now, func(k Key, s State, remaining uint64) {
		lines = append(lines, fmt.Sprintf("%x %d %d\n", k, s, remaining))
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestStoredFilesAreStable: the same calls must write the same bytes as version 2a0a97e. With PIN_WRITE set, it
// rewrites the fixture.
func TestStoredFilesAreStable(t *testing.T) {
	if os.Getenv("PIN_WRITE") != "" {
		if err := os.MkdirAll(fixtureFolder, 0o755); err != nil {
			t.Fatal(err)
		}
		writeFixture(t, fixtureFolder)
		return
	}
	folder := t.TempDir()
	writeFixture(t, folder)
	got, want := folderFiles(t, folder), folderFiles(t, fixtureFolder)
	if len(got) != len(want) || len(want) < 3 {
		t.Fatalf("files = %d, want %d and at least 3", len(got), len(want))
	}
	for name, raw := range want {
		if !bytes.Equal(got[name], raw) {
			t.Errorf("%s: got\n%x\nwant\n%x", name, got[name], raw)
		}
	}
}

// TestStoredFilesReadBack: the fixture must be read as it was written, in the same boot and in another.
func TestStoredFilesReadBack(t *testing.T) {
	for _, boot := range []string{fixtureBootID, "another boot"} {
		now := fixtureNow + 3000
		if boot != fixtureBootID {
			now = 40
		}
		folder := copyFixture(t, nil)
		s, index, recovery, err := Open(wal.Dir(folder), fixtureSizes, fixtureLimits, now, boot)
		if err != nil {
			t.Fatal(err)
		}
		if recovery.Records != 45 || recovery.Keys != 20 || recovery.Indeterminate != 4 ||
			recovery.SameBoot != (boot == fixtureBootID) || recovery.TornTail != "" || recovery.Gaps != 0 {
			t.Errorf("%s: Open() = %+v, want 45 records, 20 keys, 4 indeterminate", boot, recovery)
		}
		var want []string
		lastRecordAt := fixtureNow + 23*100 + 10
		for k := range 24 {
			intentAt := fixtureNow + uint64(k)*100
			expiresAt, state := intentAt+10+60_000+uint64(k), Completed
			switch k % 6 {
			case 3:
				expiresAt, state = intentAt+60_000+uint64(k), Indeterminate
			case 4:
				state = Failed
			case 5:
				continue
			}
			remaining := expiresAt - now
			if boot != fixtureBootID {
				remaining = expiresAt - lastRecordAt
			}
			want = append(want, fmt.Sprintf("%x %d %d\n", testKey(k), state, remaining))
			v, position := index.Decide(now, testKey(k), uint64(1000+k))
			if state == Completed {
				if got, err := s.ReadResult(position); v != ReturnResult || err != nil ||
					!bytes.Equal(got, bytes.Repeat([]byte(fmt.Sprint("result ", k, " ")), 1+k%4)) {
					t.Errorf("%s: key %d: Decide() = %s, ReadResult() = %q, %v, want its result", boot, k, v, got, err)
				}
			} else if v != ReturnError {
				t.Errorf("%s: key %d: Decide() = %s, want %s", boot, k, v, ReturnError)
			}
			if v, _ = index.Decide(now, testKey(k), 7); v != RejectMismatch {
				t.Errorf("%s: key %d with another body: Decide() = %s, want %s", boot, k, v, RejectMismatch)
			}
		}
		slices.Sort(want)
		if got := describeIndex(index, now); got != strings.Join(want, "") {
			t.Errorf("%s: got\n%swant\n%s", boot, got, strings.Join(want, ""))
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// fixtureSegments returns the names of the fixture's segments, in order.
func fixtureSegments(t *testing.T) (names []string) {
	t.Helper()
	for name := range folderFiles(t, fixtureFolder) {
		if strings.HasSuffix(name, ".seg") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestTornAndDamagedFixture: a torn tail must be truncated without losing keys. Damage before it must be an error of
// Inspect, and Open must salvage the readable records.
func TestTornAndDamagedFixture(t *testing.T) {
	segments := fixtureSegments(t)
	last, first := segments[len(segments)-1], segments[0]
	tornFolder := copyFixture(t, func(name string, raw []byte) []byte {
		if name == last {
			return append(raw, []byte("half of a record that was not syn")...)
		}
		return raw
	})
	index, recovery, _, err := Inspect(wal.Dir(tornFolder), fixtureSizes, fixtureLimits, fixtureNow+3000, fixtureBootID)
	if err != nil || recovery.TornTail == "" || recovery.Keys != 20 || index.Len() != 20 {
		t.Errorf("torn tail: Inspect() = %+v, %v, want a torn tail and 20 keys", recovery, err)
	}
	flipBit := func(name string, raw []byte) []byte {
		if name == first {
			raw[len(raw)/2] ^= 4
		}
		return raw
	}
	_, _, _, err = Inspect(wal.Dir(copyFixture(t, flipBit)), fixtureSizes, fixtureLimits, fixtureNow+3000, fixtureBootID)
	if damage := (*wal.Damage)(nil); !errors.As(err, &damage) || !strings.HasPrefix(err.Error(), fixtureDamageText) {
		t.Errorf("flipped bit: Inspect() = %v, want %s", err, fixtureDamageText)
	}
	s, index, recovery, err := Open(wal.Dir(copyFixture(t, flipBit)), fixtureSizes, fixtureLimits, fixtureNow+3000,
		fixtureBootID)
	if err != nil {
		t.Fatal(err)
	}
	if recovery.Gaps != 1 || recovery.Keys != 20 || !index.KeysMayBeLost(fixtureNow+3000+59_999) ||
		index.KeysMayBeLost(fixtureNow+3000+60_000) {
		t.Errorf("flipped bit: Open() = %+v, want 1 gap, 20 keys, and lost keys suspected for a window", recovery)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestRecordErrorTextsAreStable: malformed records must give the error texts of version 2a0a97e.
func TestRecordErrorTextsAreStable(t *testing.T) {
	intent := Record{Kind: Intent, Key: testKey(1), BodyDigest: 2, At: 3, Window: 4}
	raw := intent.Append(nil)
	for _, c := range []struct {
		raw  []byte
		text string
	}{
		{raw[:20], "a record of 20 bytes, expected 41 at least"},
		{append([]byte{9}, raw[1:]...), "a record of kind 9, expected 1 to 6"},
		{append(bytes.Clone(raw), 1), "a record of an intent with 1 bytes behind it, expected none"},
	} {
		if _, err := ParseRecord(c.raw); err == nil || !strings.HasSuffix(err.Error(), c.text) {
			t.Errorf("ParseRecord() = %v, want %s", err, c.text)
		}
	}
	index := NewIndex(fixtureLimits)
	if err := index.Replay(&intent, 1); err != nil {
		t.Fatal(err)
	}
	other := Record{Kind: Result, Key: testKey(1), BodyDigest: 3}
	if err := index.Replay(&other, 2); err == nil || !strings.HasSuffix(err.Error(),
		"a result of another body than its intent") {
		t.Errorf("Replay() = %v, want a body mismatch", err)
	}
}

// fixtureDamageText is the beginning of the log's error for the first segment with a flipped bit.
const fixtureDamageText = "0000000000000001.seg at byte 439, the record of entry 7 or a mark before it: " +
	"its sum does not fit. "
