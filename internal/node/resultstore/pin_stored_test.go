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
const pinnedFolder = "testdata/folder"

var (
	pinnedSizes  = wal.Sizes{SegmentBytes: 1024, MaxBytes: 1 << 20}
	pinnedBounds = Limits{Keys: 64, Bytes: 1 << 18, ResultBytes: 128, LongestWindow: 60_000}
)

const (
	pinnedBoot = "pinned boot"
	pinnedNow  = uint64(10_000)
)

// pinnedWrites writes the fixed state, one record a sync.
func pinnedWrites(t *testing.T, folder string) {
	t.Helper()
	s, b, _, err := Open(wal.Dir(folder), pinnedSizes, pinnedBounds, pinnedNow, pinnedBoot)
	if err != nil {
		t.Fatal(err)
	}
	s.SyncEachRecord = true
	put := func(r Record) {
		done := make(chan error, 1)
		if !s.Append(r, func(place uint64, err error) { b.MarkDurable(&r, place); done <- err }) {
			t.Fatal("the queue is full")
		}
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	for k := range 24 {
		now := pinnedNow + uint64(k)*100
		put(b.Begin(now, key(k), uint64(1000+k), 60_000+uint64(k)))
		switch k % 6 {
		case 3: // killed while it ran
		case 4:
			r, _ := b.MarkExecuted(now+10, key(k), false, nil)
			put(r)
		case 5:
			r, _ := b.MarkNotExecuted(now+10, key(k))
			put(r)
		default:
			r, _ := b.MarkExecuted(now+10, key(k), true, bytes.Repeat([]byte(fmt.Sprint("result ", k, " ")), 1+k%4))
			put(r)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// pinnedFiles gives a folder's files but for the lock, which is empty.
func pinnedFiles(t *testing.T, folder string) map[string][]byte {
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

// pinnedCopy gives a copy of the folder, with one file changed if change is not nil.
func pinnedCopy(t *testing.T, change func(name string, raw []byte) []byte) string {
	t.Helper()
	to := t.TempDir()
	for name, raw := range pinnedFiles(t, pinnedFolder) {
		if change != nil {
			raw = change(name, raw)
		}
		if err := os.WriteFile(filepath.Join(to, name), raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return to
}

// pinnedState is what is known of each key, a line a key.
func pinnedState(b *Index, now uint64) string {
	var lines []string
	b.ForEach(now, func(k Key, s State, left uint64) { lines = append(lines, fmt.Sprintf("%x %d %d\n", k, s, left)) })
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// TestPinnedWrites: the fixed state is written to the same bytes. With PIN_WRITE set it writes the folder, for
// version 2a0a97e.
func TestPinnedWrites(t *testing.T) {
	if os.Getenv("PIN_WRITE") != "" {
		if err := os.MkdirAll(pinnedFolder, 0o755); err != nil {
			t.Fatal(err)
		}
		pinnedWrites(t, pinnedFolder)
		return
	}
	folder := t.TempDir()
	pinnedWrites(t, folder)
	got, want := pinnedFiles(t, folder), pinnedFiles(t, pinnedFolder)
	if len(got) != len(want) || len(want) < 3 {
		t.Fatalf("%d files, expected %d, and three at least", len(got), len(want))
	}
	for name, raw := range want {
		if !bytes.Equal(got[name], raw) {
			t.Errorf("%s is written as\n%x, expected\n%x", name, got[name], raw)
		}
	}
}

// TestPinnedReads: the folder is read to the state that it had, in the same boot and in another.
func TestPinnedReads(t *testing.T) {
	for _, boot := range []string{pinnedBoot, "another boot"} {
		now := pinnedNow + 3000
		if boot != pinnedBoot {
			now = 40
		}
		folder := pinnedCopy(t, nil)
		s, b, found, err := Open(wal.Dir(folder), pinnedSizes, pinnedBounds, now, boot)
		if err != nil {
			t.Fatal(err)
		}
		if found.Records != 45 || found.Keys != 20 || found.Indeterminate != 4 ||
			found.SameBoot != (boot == pinnedBoot) || found.TornTail != "" || found.Gaps != 0 {
			t.Errorf("%s: found %+v", boot, found)
		}
		var want []string
		last := pinnedNow + 23*100 + 10
		for k := range 24 {
			began := pinnedNow + uint64(k)*100
			until, state := began+10+60_000+uint64(k), Completed
			switch k % 6 {
			case 3:
				until, state = began+60_000+uint64(k), Indeterminate
			case 4:
				state = Failed
			case 5:
				continue
			}
			left := until - now
			if boot != pinnedBoot {
				left = until - last
			}
			want = append(want, fmt.Sprintf("%x %d %d\n", key(k), state, left))
			v, place := b.Decide(now, key(k), uint64(1000+k))
			if state == Completed {
				if got, err := s.ReadResult(place); v != ReturnResult || err != nil ||
					!bytes.Equal(got, bytes.Repeat([]byte(fmt.Sprint("result ", k, " ")), 1+k%4)) {
					t.Errorf("%s: key %d gets %d, %q, %v", boot, k, v, got, err)
				}
			} else if v != ReturnError {
				t.Errorf("%s: key %d gets %d, expected an error", boot, k, v)
			}
			if v, _ = b.Decide(now, key(k), 7); v != RejectMismatch {
				t.Errorf("%s: key %d with another body gets %d, expected that it is refused", boot, k, v)
			}
		}
		slices.Sort(want)
		if got := pinnedState(b, now); got != strings.Join(want, "") {
			t.Errorf("%s: read as\n%sexpected\n%s", boot, got, strings.Join(want, ""))
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}
}

// pinnedSegments are the names of the folder's segments, in order.
func pinnedSegments(t *testing.T) (names []string) {
	t.Helper()
	for name := range pinnedFiles(t, pinnedFolder) {
		if strings.HasSuffix(name, ".seg") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// TestPinnedTornAndSpoilt: a tail that was never synced is cut off, and the keys before it are there; a byte that
// turned over before the tail is an error offline, and a start writes anew what can be read.
func TestPinnedTornAndSpoilt(t *testing.T) {
	segments := pinnedSegments(t)
	last, first := segments[len(segments)-1], segments[0]
	torn := pinnedCopy(t, func(name string, raw []byte) []byte {
		if name == last {
			return append(raw, []byte("half of a record that was not syn")...)
		}
		return raw
	})
	b, found, _, err := Inspect(wal.Dir(torn), pinnedSizes, pinnedBounds, pinnedNow+3000, pinnedBoot)
	if err != nil || found.TornTail == "" || found.Keys != 20 || b.Len() != 20 {
		t.Errorf("torn: %+v, %v", found, err)
	}
	spoil := func(name string, raw []byte) []byte {
		if name == first {
			raw[len(raw)/2] ^= 4
		}
		return raw
	}
	_, _, _, err = Inspect(wal.Dir(pinnedCopy(t, spoil)), pinnedSizes, pinnedBounds, pinnedNow+3000, pinnedBoot)
	if damage := (*wal.Damage)(nil); !errors.As(err, &damage) || !strings.HasPrefix(err.Error(), pinnedSpoilt) {
		t.Errorf("spoilt: found %v, expected %s", err, pinnedSpoilt)
	}
	s, b, found, err := Open(wal.Dir(pinnedCopy(t, spoil)), pinnedSizes, pinnedBounds, pinnedNow+3000, pinnedBoot)
	if err != nil {
		t.Fatal(err)
	}
	if found.Gaps != 1 || found.Keys != 20 || !b.KeysMayBeLost(pinnedNow+3000+59_999) ||
		b.KeysMayBeLost(pinnedNow+3000+60_000) {
		t.Errorf("spoilt, and written anew: %+v", found)
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}

// TestPinnedRecordErrors: records that are none give the errors that they gave.
func TestPinnedRecordErrors(t *testing.T) {
	intent := Record{Kind: Intent, Key: key(1), BodyDigest: 2, At: 3, Window: 4}
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
	b := NewIndex(pinnedBounds)
	if err := b.Replay(&intent, 1); err != nil {
		t.Fatal(err)
	}
	other := Record{Kind: Result, Key: key(1), BodyDigest: 3}
	if err := b.Replay(&other, 2); err == nil || !strings.HasSuffix(err.Error(),
		"a result of another body than its intent") {
		t.Errorf("found %v", err)
	}
}

// pinnedSpoilt is what the log says of the first segment with a byte turned over, before what to do about it.
const pinnedSpoilt = "0000000000000001.seg at byte 439, the record of entry 7 or a mark before it: " +
	"its sum does not fit. "
