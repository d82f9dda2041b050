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

// A folder as version 2a0a97e wrote it lies in testdata/folder: results, an error, a key that did not run after all,
// and intents of runs that a kill ended. It stays byte for byte.
const fixtureFolder = "testdata/folder"

var (
	fixtureSizes  = wal.Sizes{SegmentBytes: 1024, MaxBytes: 1 << 20}
	fixtureLimits = Limits{Keys: 64, Bytes: 1 << 18, ResultBytes: 128, LongestWindow: 60_000}
)

const (
	fixtureBootID = "pinned boot"
	fixtureNow    = uint64(10_000)
)

// writeFixture writes the fixed state, one record a sync.
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
			t.Fatal("the queue is full")
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	for k := range 24 {
		now := fixtureNow + uint64(k)*100
		appendRecord(index.Begin(now, testKey(k), uint64(1000+k), 60_000+uint64(k)))
		switch k % 6 {
		case 3: // killed while it ran
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

// folderFiles gives a folder's files but for the lock, which is empty.
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

// copyFixture gives a copy of the folder, with one file changed if change is not nil.
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

// describeIndex is what is known of each key, a line a key.
func describeIndex(index *Index, now uint64) string {
	var lines []string
	index.ForEach(now, func(k Key, s State, remaining uint64) {
		lines = append(lines, fmt.Sprintf("%x %d %d\n", k, s, remaining))
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestStoredFilesAreStable: the fixed state is written to the same bytes. With PIN_WRITE set it writes the folder, for
// version 2a0a97e.
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
		t.Fatalf("%d files, expected %d, and three at least", len(got), len(want))
	}
	for name, raw := range want {
		if !bytes.Equal(got[name], raw) {
			t.Errorf("%s is written as\n%x, expected\n%x", name, got[name], raw)
		}
	}
}

// TestStoredFilesReadBack: the folder is read to the state that it had, in the same boot and in another.
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
			t.Errorf("%s: found %+v", boot, recovery)
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
					t.Errorf("%s: key %d gets %d, %q, %v", boot, k, v, got, err)
				}
			} else if v != ReturnError {
				t.Errorf("%s: key %d gets %d, expected an error", boot, k, v)
			}
			if v, _ = index.Decide(now, testKey(k), 7); v != RejectMismatch {
				t.Errorf("%s: key %d with another body gets %d, expected that it is refused", boot, k, v)
			}
		}
		slices.Sort(want)
		if got := describeIndex(index, now); got != strings.Join(want, "") {
			t.Errorf("%s: read as\n%sexpected\n%s", boot, got, strings.Join(want, ""))
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// fixtureSegments are the names of the folder's segments, in order.
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

// TestTornAndDamagedFixture: a tail that was never synced is cut off, and the keys before it are there; a byte that
// turned over before the tail is an error offline, and a start writes anew what can be read.
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
		t.Errorf("torn: %+v, %v", recovery, err)
	}
	flipBit := func(name string, raw []byte) []byte {
		if name == first {
			raw[len(raw)/2] ^= 4
		}
		return raw
	}
	_, _, _, err = Inspect(wal.Dir(copyFixture(t, flipBit)), fixtureSizes, fixtureLimits, fixtureNow+3000, fixtureBootID)
	if damage := (*wal.Damage)(nil); !errors.As(err, &damage) || !strings.HasPrefix(err.Error(), fixtureDamageText) {
		t.Errorf("spoilt: found %v, expected %s", err, fixtureDamageText)
	}
	s, index, recovery, err := Open(wal.Dir(copyFixture(t, flipBit)), fixtureSizes, fixtureLimits, fixtureNow+3000, fixtureBootID)
	if err != nil {
		t.Fatal(err)
	}
	if recovery.Gaps != 1 || recovery.Keys != 20 || !index.KeysMayBeLost(fixtureNow+3000+59_999) ||
		index.KeysMayBeLost(fixtureNow+3000+60_000) {
		t.Errorf("spoilt, and written anew: %+v", recovery)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestRecordErrorTextsAreStable: records that are none give the errors that they gave.
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
			t.Errorf("found %v, expected %s", err, c.text)
		}
	}
	index := NewIndex(fixtureLimits)
	if err := index.Replay(&intent, 1); err != nil {
		t.Fatal(err)
	}
	other := Record{Kind: Result, Key: testKey(1), BodyDigest: 3}
	if err := index.Replay(&other, 2); err == nil || !strings.HasSuffix(err.Error(),
		"a result of another body than its intent") {
		t.Errorf("found %v", err)
	}
}

// fixtureDamageText is what the log says of the first segment with a byte turned over, before what to do about it.
const fixtureDamageText = "0000000000000001.seg at byte 439, the record of entry 7 or a mark before it: " +
	"its sum does not fit. "
