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

// TestSalvageNeverRunsKeyTwice: bits of a log on disk turn over, and the start that writes it anew is interrupted at
// any step. What can be read is known as before, a key's result is its own or none, and no retry of any key runs for a
// window, as its first attempt may be what is missing.
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
				continue // it may have run
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
		for range 1 + r.Intn(3) { // not in the last one: what stands there may be a torn tail
			disk.FlipBits(segs[r.Intn(len(segs)-1)], int64(r.Intn(1500)), byte(1<<r.Intn(8)))
		}
		for interruption := 0; r.Intn(3) > 0; interruption++ { // its start dies at some step
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
		bootIDs := [2]string{"boot", fmt.Sprint("boot ", seed%2)} // the machine may have been restarted, too
		for restart, boot := range bootIDs {
			if boot != "boot" {
				now = 10
			}
			s, index, _, err = Open(disk, sizes, limits, now, boot)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, restart, err)
			}
			if !index.KeysMayBeLost(now) || !index.KeysMayBeLost(now+window-1) && boot == "boot" ||
				index.KeysMayBeLost(now+window) {
				t.Fatalf("seed %d, life %d: retries of unknown keys get no error for a window: %d at %d", seed, restart,
					index.lossSuspicionEnd, now)
			}
			for k := range keys {
				v, position := index.Decide(now, testKey(k), 1)
				switch {
				case v == Execute:
					lost++ // no first try comes of what was one before
				case v == ReturnResult:
					got, err := s.ReadResult(position)
					if err != nil || !bytes.Equal(got, []byte(fmt.Sprint("result ", k))) {
						t.Fatalf("seed %d: key %d has %q, %v", seed, k, got, err)
					}
					intact++
				case v != ReturnError:
					t.Fatalf("seed %d: key %d gets %s", seed, k, v)
				}
			}
			s.Close()
		}
	}
	t.Logf("%d results complete, %d keys lost, %d starts interrupted", intact, lost, interrupted)
	if lost == 0 || lost > intact/20 || interrupted < 50 {
		t.Errorf("%d results complete, %d keys lost, %d starts interrupted: too little was damaged, or too much lost",
			intact, lost, interrupted)
	}
}
