package config

import (
	"os"
	"strconv"
	"strings"
)

// ResultStore holds the [kept] section of the operator's file of a node. A node without it holds idempotency keys in
// memory only.
type ResultStore struct {
	Folder         string   // must survive a restart of the node
	MaxKeys        int      // maximum number of idempotency keys
	MaxMB          int      // maximum size of the records on disk, MiB
	MaxResultBytes int      // maximum size of one result
	KillAt         string   // point at which the node kills itself with SIGKILL; fault tests only
	KillCount      int      // pass of KillAt, counted from 1, at which the node kills itself; 0: never
	DisabledGuards []string // fault tests only
}

// killEnv is the environment variable with KillAt and KillCount, such as "durable:3"; fault tests only.
const killEnv = "UMBERWINCH_DIE_AT"

// defaultMaxResultBytes is twice the platform's largest result of 4 KiB.
const defaultMaxResultBytes = 8 << 10

func readResultStore(t *Text) *ResultStore {
	if !t.HasSection("kept") {
		return nil
	}
	s := &ResultStore{Folder: t.Required("kept", "folder", "a folder that survives a restart"),
		MaxKeys: t.Int("kept", "entries", 100_000, 16, 4_000_000), MaxMB: t.Int("kept", "mb", 512, 1, 1<<20),
		MaxResultBytes: t.Int("kept", "result", defaultMaxResultBytes, 0, 1<<20)}
	if s.Folder != "" {
		if info, err := os.Stat(s.Folder); err != nil || !info.IsDir() {
			t.AddFault("kept", "folder", strconv.Quote(truncate(s.Folder)), "an existing folder")
		}
	}
	if maxBytes := int64(s.MaxMB) << 20; 4*int64(s.MaxResultBytes+256) > maxBytes {
		t.AddFault("kept", "mb", strconv.Itoa(s.MaxMB), "room for at least two runs with their results")
	}
	s.KillAt, s.KillCount = os.Getenv(killEnv), 1
	if point, count, ok := strings.Cut(s.KillAt, ":"); ok {
		s.KillAt = point
		s.KillCount, _ = strconv.Atoi(count)
	}
	for _, guard := range strings.Split(os.Getenv(disabledGuardsEnv), ",") {
		if strings.HasPrefix(guard, "kept-") {
			s.DisabledGuards = append(s.DisabledGuards, strings.TrimPrefix(guard, "kept-"))
		}
	}
	return s
}

// EqualResultStores reports whether two [kept] sections are equal, apart from what fault tests set; nil is an absent
// section.
func EqualResultStores(a, b *ResultStore) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Folder == b.Folder && a.MaxKeys == b.MaxKeys && a.MaxMB == b.MaxMB && a.MaxResultBytes == b.MaxResultBytes
}
