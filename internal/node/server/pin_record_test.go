package server

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/node/agent"
)

// recordedRecords are the node records in testdata/record, as version 2a0a97e wrote them: one with a prepared version
// beside the active one, and one of a node that died after the prepared version was decided. The files never change.
var recordedRecords = []struct {
	name   string
	record agent.Record
	// heartbeat is the end of the first heartbeat after a start with the record: the part that depends on it.
	heartbeat string
}{
	{"prepared", agent.Record{Cluster: "0123456789abcdef", Generation: 2, Term: 7, Index: 4711,
		EntryChecksum: 18446744073709551615, ActiveVersion: 3,
		ActiveHash: "hash of version 3", ActiveText: "[fleet]\nlease = 8s\n", ActiveAutonomous: true, MinVersion: 3,
		PreparedVersion: 4,
		PreparedText:    "[fleet]\nlease = 9s\n# \"quoted\", <b> and ü\n", PreparedHash: "hash of version 4",
		PreparedAutonomous: true,
		ZoneOrder: &api.ZoneOrder{Epoch: 21, Share: 128, PriorityCutoff: 2.5, RateLimited: true, RateLimit: 40.25,
			ConnectRateLimit: 3, RetryBudget: 51, NoCapacityElsewhere: true,
			TTLMS: 300000}},
		`"echo":0,"floor":3,"serves":0,"fenced":"version 3 is decided and not taken over yet","zones":21,` +
			`"heard":{"group":"0123456789abcdef","generation":2,"term":7,"index":4711,"sum":18446744073709551615}}`},
	{"decided", agent.Record{Cluster: "0123456789abcdef", Term: 7, Index: 4711, ActiveVersion: 3,
		ActiveHash: "hash of version 3",
		ActiveText: "[fleet]\nlease = 8s\n", MinVersion: 4, PreparedVersion: 4, PreparedText: "[fleet]\nlease = 9s\n",
		PreparedHash: "hash of version 4"},
		`"echo":0,"floor":4,"serves":0,"fenced":"version 4 is decided and not taken over yet",` +
			`"heard":{"group":"0123456789abcdef","generation":1,"term":7,"index":4711}}`},
}

// TestRecordedNodeRecords checks that each recorded record loads to its state, is stored as the same bytes, and leads
// to the same first heartbeat. With PIN_WRITE set it writes the files, as was done for version 2a0a97e.
func TestRecordedNodeRecords(t *testing.T) {
	for _, c := range recordedRecords {
		fixture := filepath.Join("testdata", "record", c.name)
		if os.Getenv("PIN_WRITE") != "" {
			if err := os.MkdirAll(fixture, 0o755); err != nil {
				t.Fatal(err)
			}
			if err := writeRecordFile(fixture, &c.record); err != nil {
				t.Fatal(err)
			}
		}
		var loaded agent.Record
		if found, err := loadRecord(fixture, &loaded); !found || err != nil {
			t.Fatalf("%s: loadRecord() = %v, %v, want true and no error", c.name, found, err)
		}
		got, _ := json.Marshal(&loaded)
		want, _ := json.Marshal(&c.record)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: loaded\n%s\nwant\n%s", c.name, got, want)
		}
		folder := t.TempDir()
		if err := writeRecordFile(folder, &c.record); err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join(fixture, "policy.json"))
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := os.ReadFile(filepath.Join(folder, "policy.json")); !bytes.Equal(got, want) {
			t.Errorf("%s: stored\n%s\nwant\n%s", c.name, got, want)
		}
		a := agent.New(agent.Config{Name: "n", Zone: "z", ControlAddresses: []string{"a"}, Nonce: "nonce-00000000",
			JitterSeed: 7}, &loaded, 1000)
		heartbeat, _, due := a.Heartbeat(1000)
		raw, _ := json.Marshal(&heartbeat)
		if !due || !strings.HasSuffix(string(raw), c.heartbeat) {
			t.Errorf("%s: first heartbeat, due %v:\n%s\nwant the end\n%s", c.name, due, raw, c.heartbeat)
		}
		if !a.IsPrepared(3) || !a.IsPrepared(4) || a.IsPrepared(2) {
			t.Errorf("%s: IsPrepared of versions 2, 3, 4 = %v, %v, %v, want false, true, true", c.name, a.IsPrepared(2),
				a.IsPrepared(3), a.IsPrepared(4))
		}
	}
}

// TestLoadRecordErrors checks the errors of truncated and altered records; a folder without a record is no error.
func TestLoadRecordErrors(t *testing.T) {
	complete, err := os.ReadFile(filepath.Join("testdata", "record", "prepared", "policy.json"))
	if err != nil {
		t.Fatal(err)
	}
	for text, raw := range map[string][]byte{
		"unexpected end of JSON input": complete[:len(complete)/2],
		"json: cannot unmarshal string into Go struct field Record.term of type uint64": bytes.Replace(complete,
			[]byte(`"term":7`),
			[]byte(`"term":"7"`), 1),
		"invalid character '\\x00' in string literal": bytes.Replace(complete, []byte("lease"), []byte("\x00ease"), 1),
	} {
		folder := t.TempDir()
		file := filepath.Join(folder, "policy.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loadRecord(folder, &agent.Record{})
		want := file + ": " + text + ", expected a record written by this program; remove the file to start without one"
		if err == nil || err.Error() != want {
			t.Errorf("loadRecord() error = %v, want %s", err, want)
		}
	}
	if found, err := loadRecord(t.TempDir(), &agent.Record{}); found || err != nil {
		t.Errorf("empty folder: loadRecord() = %v, %v, want false and no error", found, err)
	}
}
