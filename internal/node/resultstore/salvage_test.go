package resultstore

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"umberwinch/internal/wal"
)

// TestSalvageNeverRunsKeyTwice flips bits of a stored log and interrupts the salvage at random steps. Readable records
// must be recovered, a key must get its own result or none, and retries of unknown keys must get an error for a window,
// as their first attempt may be lost.
func TestSalvageNeverRunsKeyTwice(t *testing.T) {
	const window, keys = 5000, 120
	sizes := wal.Sizes{SegmentBytes: 2048, MaxBytes: 1 << 20}
	limits := Limits{Keys: 500, Bytes: 1 << 19, ResultBytes: 64, LongestWindow: window}
	lost, intact, interrupted := 0, 0, 0
	for seed := int64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, now := wal.NewMemFS(), uint64(1000)
		s, index, _, err := Open(disk, sizes, limits, now, "boot")
		if err != nil {
			t.Fatal(err)
		}
		appendRecord := func(rec Record) {
			done := make(chan error, 1)
			s.Append(rec, func(position uint64, err error) { index.MarkDurable(&rec, position); done <- err })
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		for k := range keys {
			now += uint64(r.Intn(10))
			appendRecord(index.Begin(now, testKey(k), 1, window))
			if k%10 == 0 {
				continue // without an end record
			}
			rec, _ := index.MarkExecuted(now, testKey(k), k%10 != 1, []byte(fmt.Sprint("result ", k)))
			appendRecord(rec)
		}
		s.Close()
		var segs []string
		names, _ := disk.List()
		for _, n := range names {
			if strings.HasSuffix(n, ".seg") {
				segs = append(segs, n)
			}
		}
		for range 1 + r.Intn(3) { // not in the last segment, where damage may be a torn tail
			disk.FlipBits(segs[r.Intn(len(segs)-1)], int64(r.Intn(1500)), byte(1<<r.Intn(8)))
		}
		for interruption := 0; r.Intn(3) > 0; interruption++ { // the start is interrupted at a random step
			stepsLeft := r.Intn(60)
			disk.OnStep = func(string, string) (int, error) {
				if stepsLeft--; stepsLeft < 0 {
					return 0, errors.New("killed")
				}
				return 0, nil
			}
			s, _, _, err = Open(disk, sizes, limits, now, "boot")
			disk.OnStep = nil
			if err == nil {
				s.Close()
				break
			}
			interrupted++
			disk = disk.PowerLoss(r.Intn)
		}
		bootIDs := [2]string{"boot", fmt.Sprint("boot ", seed%2)} // the second start is after a reboot
		for restart, boot := range bootIDs {
			if boot != "boot" {
				now = 10
			}
			s, index, _, err = Open(disk, sizes, limits, now, boot)
			if err != nil {
				t.Fatalf("seed %d, restart %d: Open(): %v", seed, restart, err)
			}
			if !index.KeysMayBeLost(now) || !index.KeysMayBeLost(now+window-1) && boot == "boot" ||
				index.KeysMayBeLost(now+window) {
				t.Fatalf("seed %d, restart %d: keys may be lost until %d, want %d after %d", seed, restart,
					index.damageUntil, window, now)
			}
			for k := range keys {
				v, position := index.Decide(now, testKey(k), 1)
				switch {
				case v == Execute:
					lost++ // a retry, which KeysMayBeLost keeps from running
				case v == ReturnResult:
					got, err := s.ReadResult(position)
					if err != nil || !bytes.Equal(got, []byte(fmt.Sprint("result ", k))) {
						t.Fatalf("seed %d: ReadResult() of key %d = %q, %v, want %q", seed, k, got, err,
							fmt.Sprint("result ", k))
					}
					intact++
				case v != ReturnError:
					t.Fatalf("seed %d: Decide() of key %d = %s, want an execution, a result or an error", seed, k, v)
				}
			}
			s.Close()
		}
	}
	t.Logf("results intact = %d, keys lost = %d, starts interrupted = %d", intact, lost, interrupted)
	if lost == 0 || lost > intact/20 || interrupted < 50 {
		t.Errorf(
			"results intact = %d, keys lost = %d, starts interrupted = %d, want some, at most 5%% lost, at least 50",
			intact, lost, interrupted)
	}
}
