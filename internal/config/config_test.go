package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// controlFaults returns the faults of a control file.
func controlFaults(t *testing.T, raw string) []string {
	t.Helper()
	_, err := readControl(Parse("f", []byte(raw)))
	if err == nil {
		return nil
	}
	return strings.Split(err.Error(), "\n")
}

const validControl = "[instance]\nname = a\ndata = d\n"

func TestShippedFilesAreValid(t *testing.T) {
	c, err := ReadControl(filepath.Join("..", "..", "deploy", "control.ini"))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := ReadNode(filepath.Join("..", "..", "deploy", "node.ini")); err != nil || n.LogLevel != "info" {
		t.Fatalf("ReadNode(deploy/node.ini) = %+v, %v, want log level info", n, err)
	}
	if !IsLoopback(c.Peer) || !IsLoopback(c.Listen) || c.Start != "new" {
		t.Fatalf("ReadControl(deploy/control.ini) = %+v, want a new group on loopback", c)
	}
}

func TestAllFaultsAreReportedWithTheirLines(t *testing.T) {
	got := controlFaults(t, "[instance]\nname = a b\ndata =\nstart = maybe\npeer = host:1\nsize = 3\n\n[group]\n"+
		"tick = 2\nelection_ticks = 2\nelection_ticks = 9\nnonsense\n[other]\nx = 1\n[disk]\nlimit_mb = 20\n")
	want := []string{
		`f:2: instance.name: found "a b", expected`,
		`f:3: instance.data: found nothing, expected`,
		`f:4: instance.start: found "maybe", expected one of new, join`,
		`f:5: instance.peer: found "host:1", expected IP:PORT`,
		`f:6: instance.size: found a key that is not known`,
		`f:9: group.tick: found "2", expected a time from 5ms to 1s`,
		`f:10: group.election_ticks: found "2", expected a whole number from 3 to 1000`,
		`f:11: group.election_ticks: found it again, first on line 10`,
		`f:12: line: found "nonsense", expected KEY = VALUE`,
		`f:13: other: found a section that is not known`,
		`f:16: disk.limit_mb: found 20, expected at least six times`,
	}
	if len(got) != len(want) {
		t.Fatalf("got %d faults, want %d:\n%s", len(got), len(want), strings.Join(got, "\n"))
	}
	for i := range want {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("fault %d is %q, want it to begin with %q", i, got[i], want[i])
		}
	}
}

func TestSecretsAreRedacted(t *testing.T) {
	got := strings.Join(controlFaults(t, validControl+"[clients]\ntoken = hunter2\n"), "\n")
	if got == "" || strings.Contains(got, "hunter2") {
		t.Fatalf("got faults %q, want one without the token", got)
	}
}

func TestNonLoopbackAddressRequiresTLS(t *testing.T) {
	if got := controlFaults(t, validControl+"peer = 192.0.2.1:7101\n"); len(got) != 1 || !strings.Contains(got[0],
		"no [tls]") {
		t.Fatalf("got faults %q, want one for an address without [tls]", got)
	}
	if got := controlFaults(t, validControl+"peer = 192.0.2.1:7101\n[tls]\ncertificate = c\nkey = k\n"+
		"authority = a\n"); got != nil {
		t.Fatalf("got faults %q, want none", got)
	}
	if got := controlFaults(t, validControl+"[tls]\nkey = k\n"); len(got) != 1 {
		t.Fatalf("got faults %q, want one for an incomplete [tls]", got)
	}
}

func TestOversizedFileIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "big.ini")
	if err := os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadControl(path); err == nil || !strings.Contains(err.Error(), "1048576 at most") {
		t.Fatalf("ReadControl() of an oversized file = %v, want an error with the limit", err)
	}
}

// An invalid pool in a node's file must be reported with its line, including one for a handler that the platform's
// settings lack.
func TestNodeFilePools(t *testing.T) {
	read := func(raw string) (*Node, string) {
		n, err := readNode(Parse("f", []byte(raw)))
		if err == nil {
			err = n.CheckHandlers([]string{"view", "save"})
		}
		if err != nil {
			return nil, err.Error()
		}
		return n, ""
	}
	for _, c := range []struct{ name, raw, want string }{
		{"floors above one", "[pool view]\nfloor = 0.5\n[pool save]\nfloor = 0.6\n",
			"f:4: pool save.floor: found floors of 1.1 up to here"},
		{"cap below floor", "[pool view]\nfloor = 0.5\ncap = 0.4\n",
			"f:3: pool view.cap: found 0.4, expected at least floor, 0.5"},
		{"unknown handler", "[pool load]\n",
			"f:1: pool load: found a handler that is not known, expected one of view, save"},
		{"no pool", "[pools]\nreserve = no\n", "f:1: pools: found no [pool HANDLER]"},
		{"unknown limit", "[pool view]\nlimit = often\n", `f:2: pool view.limit: found "often"`},
		{"cap of nothing", "[pool view]\ncap = 0\n", `f:2: pool view.cap: found "0"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, got := read(c.raw); !strings.HasPrefix(got, c.want) {
				t.Errorf("%q: got fault %q, want %q", c.raw, got, c.want)
			}
		})
	}
	n, got := read("[pools]\n[pool view]\n[pool save]\ncap = 0.4\nlimit = fixed\n")
	if got != "" || !n.Reserve || len(n.Pools) != 2 || n.Pools[1] != (Pool{"save", 0, 0.4, true}) {
		t.Fatalf("got %+v and faults %q, want a reserve and two pools, the second fixed at 0.4", n, got)
	}
	if n, err := readNode(Parse("f", []byte("[pool view]\n"))); err != nil ||
		n.CheckHandlers([]string{"view"}) == nil {
		t.Fatal("a reserve with one handler was accepted, want a fault")
	}
}

// The [kept] section requires a folder; its other keys have defaults. Its faults must be reported with their lines.
func TestNodeFileResultStore(t *testing.T) {
	dir := t.TempDir()
	n, err := readNode(Parse("node.ini", []byte("[kept]\nfolder = "+dir+"\n")))
	if err != nil || n.ResultStore.Folder != dir || n.ResultStore.MaxKeys != 100_000 || n.ResultStore.MaxMB != 512 ||
		n.ResultStore.MaxResultBytes != 8<<10 {
		t.Fatalf("got %+v, %v, want the folder and defaults", n, err)
	}
	o, err := readNode(Parse("node.ini", nil))
	if err != nil || o.ResultStore != nil || EqualResultStores(n.ResultStore, o.ResultStore) ||
		!EqualResultStores(n.ResultStore, n.ResultStore) {
		t.Errorf("without [kept]: got %+v, %v, want no result store", o, err)
	}
	for _, c := range []invalidNode{
		{"no folder", "[kept]\n", "node.ini:1: kept.folder: found nothing"},
		{"folder that is not there", "[kept]\nfolder = /no/such\n", `node.ini:2: kept.folder: found "/no/such"`},
		{"too few entries", "[kept]\nfolder = " + dir + "\nentries = 4\n", `node.ini:3: kept.entries: found "4"`},
		{"size that is no number", "[kept]\nfolder = " + dir + "\nmb = no\n", `node.ini:3: kept.mb: found "no"`},
		{"no room for a result", "[kept]\nfolder = " + dir + "\nmb = 1\nresult = 1000000\n",
			"node.ini:3: kept.mb: found 1, expected room"},
		{"unknown key", "[kept]\nfolder = " + dir + "\nwindow = 2s\n",
			"node.ini:3: kept.window: found a key that is not known"},
	} {
		t.Run(c.name, c.check)
	}
}

// invalidNode is a node's file with a fault, and a text that its error must contain.
type invalidNode struct{ name, text, want string }

func (c invalidNode) check(t *testing.T) {
	_, err := readNode(Parse("node.ini", []byte(c.text)))
	if err == nil || !strings.Contains(err.Error(), c.want) {
		t.Errorf("%q: got error %v, want %q in it", c.text, err, c.want)
	}
}

// The [fleet] section requires the control service's addresses and the zone. Its faults must be reported with their
// lines.
func TestNodeFileFleet(t *testing.T) {
	n, err := readNode(Parse("node.ini", []byte("[fleet]\ncontrol = 127.0.0.1:7201, 127.0.0.1:7202\nzone = north\n")))
	if err != nil || len(n.Fleet.ControlAddresses) != 2 || n.Fleet.Zone != "north" {
		t.Fatalf("got %+v, %v, want two control addresses and the zone north", n, err)
	}
	if n, err = readNode(Parse("node.ini", nil)); err != nil || n.Fleet != nil {
		t.Errorf("without [fleet]: got %+v, %v, want no fleet", n, err)
	}
	for _, c := range []invalidNode{
		{"no addresses", "[fleet]\nzone = z\n", "node.ini:1: fleet.control: found 0 addresses"},
		{"no zone", "[fleet]\ncontrol = 127.0.0.1:1\n", "node.ini:1: fleet.zone: found nothing"},
		{"beyond loopback without TLS", "[fleet]\ncontrol = 10.0.0.1:7201\nzone = z\n",
			`node.ini:2: fleet.control: found "10.0.0.1:7201"`},
		{"host name", "[fleet]\ncontrol = host:7201\nzone = z\n", `node.ini:2: fleet.control: found "host:7201"`},
		{"zone with a blank", "[fleet]\ncontrol = 127.0.0.1:1\nzone = a b\n", `node.ini:3: fleet.zone: found "a b"`},
		{"folder that is not there", "[fleet]\ncontrol = 127.0.0.1:1\nzone = z\nfolder = /no/such\n",
			`node.ini:4: fleet.folder: found "/no/such"`},
		{"unknown key", "[fleet]\ncontrol = 127.0.0.1:1\nzone = z\nlease = 3s\n",
			"node.ini:4: fleet.lease: found a key that is not known"},
		{"name that begins with a dash", "[fleet]\ncontrol = 127.0.0.1:1\nzone = z\nname = -x\n",
			`node.ini:4: fleet.name: found "-x"`},
	} {
		t.Run(c.name, c.check)
	}
}
