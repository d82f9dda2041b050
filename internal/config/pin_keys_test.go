package config

import (
	"slices"
	"sort"
	"strings"
	"testing"
)

// keysOf returns the keys that were read from a file, as "section.key".
func keysOf(t *Text) []string {
	var keys []string
	for key := range t.readKeys {
		keys = append(keys, strings.ReplaceAll(key.section, " ", "_")+"."+key.key)
	}
	sort.Strings(keys)
	return keys
}

// Operators' files must stay valid: the keys are those of version 2a0a97e.
func TestKeysStay(t *testing.T) {
	control := Parse("f", []byte(validControl))
	if _, err := readControl(control); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	node := Parse("f", []byte("[fleet]\ncontrol = 127.0.0.1:1\nzone = z\n[kept]\nfolder = "+dir+"\n[pool view]\n"))
	if _, err := readNode(node); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		file string
		got  []string
		want string
	}{
		{"control.ini", keysOf(control),
			`clients.token disk.limit_mb disk.snapshot_mb disk.snapshot_rate_mb group.election_ticks group.out_of_touch
group.tick instance.bind instance.data instance.listen instance.name instance.peer
instance.start log.form log.from tls.authority tls.certificate tls.key`},
		{"node.ini", keysOf(node), `fleet.at fleet.control fleet.folder fleet.name fleet.zone kept.entries
kept.folder kept.mb kept.result log.form log.from pool_view.cap
pool_view.floor pool_view.limit pools.reserve`},
	} {
		if want := strings.Fields(c.want); !slices.Equal(c.got, want) {
			t.Errorf("%s has the keys\n%s\nwant\n%s", c.file, strings.Join(c.got, "\n"), strings.Join(want, "\n"))
		}
	}
}
