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

// TestSalvage: bits of a log on disk turn over, and the start that writes it anew is interrupted at any step. What
// can be read is known as before, a key's result is its own or none, and no retry of any key runs for a window, as
// its first attempt may be what is missing.
func TestSalvage(t *testing.T) {
	const window, keys = 5000, 120
	sizes := wal.Sizes{SegmentBytes: 2048, MaxBytes: 1 << 20}
	room := Limits{Keys: 500, Bytes: 1 << 19, ResultBytes: 64, LongestWindow: window}
	lost, whole, cuts := 0, 0, 0
	for seed := int64(1); seed <= 200; seed++ {
		r := rand.New(rand.NewSource(seed))
		disk, now := wal.NewMemFS(), uint64(1000)
		s, b, _, err := Open(disk, sizes, room, now, "boot")
		if err != nil {
			t.Fatal(err)
		}
		put := func(rec Record) {
			done := make(chan error, 1)
			s.Append(rec, func(place uint64, err error) { b.MarkDurable(&rec, place); done <- err })
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		for k := range keys {
			now += uint64(r.Intn(10))
			put(b.Begin(now, key(k), 1, window))
			if k%10 == 0 {
				continue // it may have run
			}
			rec, _ := b.MarkExecuted(now, key(k), k%10 != 1, []byte(fmt.Sprint("result ", k)))
			put(rec)
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
		for cut := 0; r.Intn(3) > 0; cut++ { // its start dies at some step
			left := r.Intn(60)
			disk.OnStep = func(string, string) (int, error) {
				if left--; left < 0 {
					return 0, errors.New("killed")
				}
				return 0, nil
			}
			s, _, _, err = Open(disk, sizes, room, now, "boot")
			disk.OnStep = nil
			if err == nil {
				s.Close()
				break
			}
			cuts++
			disk = disk.PowerLoss(r.Intn)
		}
		boots := [2]string{"boot", fmt.Sprint("boot ", seed%2)} // the machine may have been restarted, too
		for life, boot := range boots {
			if boot != "boot" {
				now = 10
			}
			s, b, _, err = Open(disk, sizes, room, now, boot)
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			if !b.KeysMayBeLost(now) || !b.KeysMayBeLost(now+window-1) && boot == "boot" ||
				b.KeysMayBeLost(now+window) {
				t.Fatalf("seed %d, life %d: retries of unknown keys get no error for a window: %d at %d", seed, life,
					b.lossSuspicionEnd, now)
			}
			for k := range keys {
				v, place := b.Decide(now, key(k), 1)
				switch {
				case v == Execute:
					lost++ // no first try comes of what was one before
				case v == ReturnResult:
					got, err := s.ReadResult(place)
					if err != nil || !bytes.Equal(got, []byte(fmt.Sprint("result ", k))) {
						t.Fatalf("seed %d: key %d has %q, %v", seed, k, got, err)
					}
					whole++
				case v != ReturnError:
					t.Fatalf("seed %d: key %d gets %s", seed, k, v)
				}
			}
			s.Close()
		}
	}
	t.Logf("%d results complete, %d keys lost, %d starts interrupted", whole, lost, cuts)
	if lost == 0 || lost > whole/20 || cuts < 50 {
		t.Errorf("%d results complete, %d keys lost, %d starts interrupted: too little was damaged, or too much lost",
			whole, lost, cuts)
	}
}
