package config

import (
	"os"
	"strconv"
	"strings"
)

// ResultStore is the [kept] section of a node's file. Without one the node holds idempotency keys in memory alone.
type ResultStore struct {
	Folder         string // outlasts a restart
	MaxKeys        int    // idempotency keys
	MaxMB          int    // MiB of records on disk
	MaxResultBytes int    // of one result
	KillAt         string // for fault tests alone: the node ends itself with SIGKILL at this point
	KillCount      int    // the how-manieth time it gets there
	DisabledGuards []string
}

// killEnv names the environment variable with a point at which the node ends itself, as "durable:3", for fault tests
// alone.
const killEnv = "UMBERWINCH_DIE_AT"

// defaultMaxResultBytes is twice the platform's largest result, 4 KiB.
const defaultMaxResultBytes = 8 << 10

func readResultStore(t *Text) *ResultStore {
	if !t.Has("kept") {
		return nil
	}
	k := &ResultStore{Folder: t.Needed("kept", "folder", "a folder that outlasts a restart"),
		MaxKeys: t.Whole("kept", "entries", 100_000, 16, 4_000_000), MaxMB: t.Whole("kept", "mb", 512, 1, 1<<20),
		MaxResultBytes: t.Whole("kept", "result", defaultMaxResultBytes, 0, 1<<20)}
	if k.Folder != "" {
		if info, err := os.Stat(k.Folder); err != nil || !info.IsDir() {
			t.Note("kept", "folder", strconv.Quote(truncate(k.Folder)), "a folder that is there")
		}
	}
	if most := int64(k.MaxMB) << 20; 4*int64(k.MaxResultBytes+256) > most {
		t.Note("kept", "mb", strconv.Itoa(k.MaxMB), "room for two runs with their results at least")
	}
	k.KillAt, k.KillCount = os.Getenv(killEnv), 1
	if at, n, ok := strings.Cut(k.KillAt, ":"); ok {
		k.KillAt = at
		k.KillCount, _ = strconv.Atoi(n)
	}
	for _, word := range strings.Split(os.Getenv(disabledGuardsEnv), ",") {
		if strings.HasPrefix(word, "kept-") {
			k.DisabledGuards = append(k.DisabledGuards, strings.TrimPrefix(word, "kept-"))
		}
	}
	return k
}

// SameResultStore tells whether two files have the same [kept] section; one of them may have none.
func SameResultStore(a, b *ResultStore) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Folder == b.Folder && a.MaxKeys == b.MaxKeys && a.MaxMB == b.MaxMB && a.MaxResultBytes == b.MaxResultBytes
}
