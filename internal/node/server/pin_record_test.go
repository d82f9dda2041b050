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

// Records of a node as version 2a0a97e wrote them lie in testdata/record: one with a version prepared beside the one
// that is served under, and one that was decided as the node died. They stay byte for byte.
var recordedRecords = []struct {
	name   string
	record agent.Record
	asks   string // the first request to the control service after a start with it, as far as it comes of the record
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

// TestRecordedNodeRecords: each record is read to the state that it had, is written to the same bytes, and a node that
// starts with it asks as it did. With PIN_WRITE set it writes them, for version 2a0a97e.
func TestRecordedNodeRecords(t *testing.T) {
	for _, c := range recordedRecords {
		fixture := filepath.Join("testdata", "record", c.name)
		if os.Getenv("PIN_WRITE") != "" {
			if err := os.MkdirAll(fixture, 0o755); err != nil {
				t.Fatal(err)
			}
			if err := storeRecord(fixture, &c.record); err != nil {
				t.Fatal(err)
			}
		}
		var read agent.Record
		if there, err := loadRecord(fixture, &read); !there || err != nil {
			t.Fatalf("%s: %v, %v", c.name, there, err)
		}
		got, _ := json.Marshal(&read)
		want, _ := json.Marshal(&c.record)
		if !bytes.Equal(got, want) {
			t.Errorf("%s: read as\n%s, expected\n%s", c.name, got, want)
		}
		folder := t.TempDir()
		if err := storeRecord(folder, &c.record); err != nil {
			t.Fatal(err)
		}
		was, err := os.ReadFile(filepath.Join(fixture, "policy.json"))
		if err != nil {
			t.Fatal(err)
		}
		if is, _ := os.ReadFile(filepath.Join(folder, "policy.json")); !bytes.Equal(is, was) {
			t.Errorf("%s: written as\n%s, expected\n%s", c.name, is, was)
		}
		m := agent.New(agent.Config{Name: "n", Zone: "z", ControlAddresses: []string{"a"}, Nonce: "nonce-00000000",
			JitterSeed: 7}, &read, 1000)
		ask, _, due := m.Heartbeat(1000)
		raw, _ := json.Marshal(&ask)
		if !due || !strings.HasSuffix(string(raw), c.asks) {
			t.Errorf("%s: a node that starts with it asks\n%s, expected the end\n%s", c.name, raw, c.asks)
		}
		if !m.IsPrepared(3) || !m.IsPrepared(4) || m.IsPrepared(2) {
			t.Errorf("%s: versions 3 and 4 are not both at hand", c.name)
		}
	}
}

// TestLoadRecordErrors: a record that is torn or spoilt gives the error that it gave; a folder without one is a new
// node's.
func TestLoadRecordErrors(t *testing.T) {
	whole, err := os.ReadFile(filepath.Join("testdata", "record", "prepared", "policy.json"))
	if err != nil {
		t.Fatal(err)
	}
	for text, raw := range map[string][]byte{
		"unexpected end of JSON input": whole[:len(whole)/2],
		"json: cannot unmarshal string into Go struct field Record.term of type uint64": bytes.Replace(whole,
			[]byte(`"term":7`),
			[]byte(`"term":"7"`), 1),
		"invalid character '\\x00' in string literal": bytes.Replace(whole, []byte("lease"), []byte("\x00ease"), 1),
	} {
		folder := t.TempDir()
		file := filepath.Join(folder, "policy.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := loadRecord(folder, &agent.Record{})
		want := file + ": " + text + ", expected what this program wrote; remove it to begin without"
		if err == nil || err.Error() != want {
			t.Errorf("found %v, expected %s", err, want)
		}
	}
	if there, err := loadRecord(t.TempDir(), &agent.Record{}); there || err != nil {
		t.Errorf("without a record: %v, %v", there, err)
	}
}
