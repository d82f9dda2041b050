package wal

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"
)

// BenchmarkLogFileAndBbolt compares the log with a plain file and with bbolt: 200-byte records, synced one by one and
// in batches of sixteen.
func BenchmarkLogFileAndBbolt(b *testing.B) {
	record := make([]byte, 200)
	for _, batch := range []int{1, 16} {
		name := map[int]string{1: "/one", 16: "/sixteen"}[batch]
		b.Run("log"+name, func(b *testing.B) {
			dir, err := MakeDir(b.TempDir())
			if err != nil {
				b.Fatal(err)
			}
			l := open(b, dir, Sizes{SegmentBytes: 4 << 20, MaxBytes: 8 << 30})
			defer l.Close()
			records := make([][]byte, batch)
			for i := range records {
				records[i] = record
			}
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				commit(b, l, Batch{Entries: records})
			}
		})
		b.Run("file"+name, func(b *testing.B) {
			f, err := os.Create(filepath.Join(b.TempDir(), "plain"))
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			raw := make([]byte, 0, 200*batch)
			for i := 0; i < batch; i++ {
				raw = append(raw, record...)
			}
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				if _, err := f.Write(raw); err != nil {
					b.Fatal(err)
				}
				if err := f.Sync(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run("bbolt"+name, func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "bolt"), 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			defer db.Close()
			bucket := []byte("log")
			if err := db.Update(func(tx *bbolt.Tx) error {
				_, err := tx.CreateBucket(bucket)
				return err
			}); err != nil {
				b.Fatal(err)
			}
			n := uint64(0)
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				if err := db.Update(func(tx *bbolt.Tx) error {
					for k := 0; k < batch; k++ {
						n++
						if err := tx.Bucket(bucket).Put(binary.BigEndian.AppendUint64(nil, n), record); err != nil {
							return err
						}
					}
					return nil
				}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
