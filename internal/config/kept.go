package config

import (
	"os"
	"strconv"
	"strings"
)

// Kept is what a node is told of results that outlast it. Without a [kept] section it remembers uniqued reqs in memory alone.
type Kept struct {
	Folder  string // outlasts a restart
	Entries int    // keys at most
	MB      int    // of records on disk at most
	Result  int    // bytes of one result at most
	DieAt   string // for the laboratory alone: the node ends itself with SIGKILL as it comes to this point
	DieOn   int    // for the so-manieth time
	Without []string
}

// dieEnv names a point at which the node ends itself, as "durable:3", for the laboratory alone.
const dieEnv = "UMBERWINCH_DIE_AT"

// keptMost is a result of the platform, 4 KiB, with room.
const keptMost = 8 << 10

func readKept(t *Text) *Kept {
	if !t.Has("kept") {
		return nil
	}
	k := &Kept{Folder: t.Needed("kept", "folder", "a folder that outlasts a restart"),
		Entries: t.Whole("kept", "entries", 100_000, 16, 4_000_000), MB: t.Whole("kept", "mb", 512, 1, 1<<20),
		Result: t.Whole("kept", "result", keptMost, 0, 1<<20)}
	if k.Folder != "" {
		if info, err := os.Stat(k.Folder); err != nil || !info.IsDir() {
			t.Note("kept", "folder", strconv.Quote(clip(k.Folder)), "a folder that is there")
		}
	}
	if most := int64(k.MB) << 20; 4*int64(k.Result+256) > most {
		t.Note("kept", "mb", strconv.Itoa(k.MB), "room for two runs with their results at least")
	}
	k.DieAt, k.DieOn = os.Getenv(dieEnv), 1
	if at, n, ok := strings.Cut(k.DieAt, ":"); ok {
		k.DieAt = at
		k.DieOn, _ = strconv.Atoi(n)
	}
	for _, word := range strings.Split(os.Getenv(withoutEnv), ",") {
		if strings.HasPrefix(word, "kept-") {
			k.Without = append(k.Without, strings.TrimPrefix(word, "kept-"))
		}
	}
	return k
}

// SameKept tells whether two files say the same of kept results.
func SameKept(a, b *Kept) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Folder == b.Folder && a.Entries == b.Entries && a.MB == b.MB && a.Result == b.Result
}
