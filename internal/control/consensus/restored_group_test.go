package consensus

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/control/recovery"
	"umberwinch/internal/wal"
)

const fleetText = "[tenant t0]\nrate = 5\n\n[fleet]\nlease = 4s\nwhen_alone = fence\n"

// canonicalText returns a document in the canonical form that versions store.
func canonicalText(t *testing.T, text string) string {
	t.Helper()
	d, err := document.Parse("a text", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return string(d.Canonical())
}

// Nodes that make contact during a recovery must be asked for their record until they have sent it. Invalid records
// must be rejected, and a text with a wrong hash dropped.
func TestCollectorCollectsRecords(t *testing.T) {
	listen := loopbackAddress() + ":7301"
	var mu sync.Mutex
	var recordErrs []error
	g, err := StartRecordCollector(listen, func(_ *api.NodeRecord, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			recordErrs = append(recordErrs, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = StartRecordCollector(listen, nil); err == nil {
		t.Error("a second StartCollector() at the same address succeeded, want an error")
	}
	post := func(path string, body any, into any) int {
		t.Helper()
		raw, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.Post("http://"+listen+path, "application/json", bytes.NewReader(raw))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if res.ContentLength < 0 {
			t.Errorf("POST %s: response without Content-Length, which nodes can not read", path)
		}
		if into != nil {
			if err = json.NewDecoder(res.Body).Decode(into); err != nil {
				t.Fatal(err)
			}
		}
		return res.StatusCode
	}
	sendHeartbeat := func(name string) (response api.HeartbeatResponse, code int) {
		code = post("/v1/nodes", api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z",
			Nonce: name + "-00000000"}}, &response)
		return response, code
	}
	text := canonicalText(t, fleetText)
	record := api.NodeRecord{Name: "a", Zone: "z", Group: "g", Generation: 1, ActiveVersion: 3, MinVersion: 3,
		ActiveText: text, ActiveHash: document.Hash([]byte(text))}
	if response, code := sendHeartbeat("a"); code != 200 || !response.CollectRecord {
		t.Fatalf("first heartbeat: status %d, %+v, want 200 and CollectRecord", code, response)
	}
	if code := post("/v1/kept", record, nil); code != 200 {
		t.Fatalf("valid record: status %d, want 200", code)
	}
	if response, code := sendHeartbeat("a"); code != 503 || response.CollectRecord {
		t.Errorf("heartbeat after the record: status %d, %+v, want 503 without CollectRecord", code, response)
	}
	wrongHash := record
	wrongHash.Name, wrongHash.ActiveText = "b", text+"; and more"
	post("/v1/kept", wrongHash, nil)
	sameText := record
	sameText.Name = "c"
	post("/v1/kept", sameText, nil)
	lowMinimum := record
	lowMinimum.Name, lowMinimum.MinVersion = "d", 2
	if code := post("/v1/kept", lowMinimum, nil); code != 400 {
		t.Errorf("record with an active version above its minimum: status %d, want 400", code)
	}
	if res, err := http.Get("http://" + listen + "/v1/config"); err != nil || res.StatusCode != 503 {
		t.Errorf("GET /v1/config during a recovery = %v, %v, want status 503", res, err)
	} else {
		res.Body.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	stored := map[string]api.NodeRecord{}
	for _, record := range g.Stop(ctx) {
		stored[record.Name] = record
	}
	mu.Lock()
	defer mu.Unlock()
	if len(stored) != 3 || stored["a"].ActiveText != text || stored["b"].ActiveText != "" ||
		stored["c"].ActiveText != text || len(g.texts) != 1 || len(recordErrs) != 1 {
		t.Errorf("%d records with %d texts, errors %v, want 3 records with one text and one error", len(stored),
			len(g.texts), recordErrs)
	}
}

// A group that lost all state is recovered from node records. The restored state must be the next generation, with no
// version committed whose text no node has.
func TestRecoverFromNodeRecords(t *testing.T) {
	text := canonicalText(t, fleetText)
	hash := document.Hash([]byte(text))
	config := Config{Name: "a", Peer: "p", Listen: "l", ElectionTicks: 10, SnapshotBytes: 1 << 20,
		Sizes:  wal.Sizes{SegmentBytes: 1 << 20, MaxBytes: 64 << 20},
		Random: randomID}
	records := []api.NodeRecord{{Name: "n1", Zone: "z", Group: "g", Generation: 3, ActiveVersion: 7, MinVersion: 7,
		ActiveText: text, ActiveHash: hash, ZoneEpoch: 5, ZoneShare: 256,
		LeaseMS: 4000}}
	fs := wal.NewMemFS()
	v, err := Recover(fs, config, nil, recovery.PlanRestore(records, nil, ""))
	if err != nil || v.Number != 7 || v.Hash != hash {
		t.Fatalf("Recover() = %+v, %v, want version 7 with hash %s", v, err, hash)
	}
	if _, err = Recover(fs, config, nil, recovery.PlanRestore(records, nil, "")); err == nil {
		t.Error("Recover() into a folder in use succeeded, want an error")
	}
	stored, err := ReadFolder(fs, config)
	if err != nil {
		t.Fatal(err)
	}
	evidence := stored.Evidence()
	if evidence.Generation != 4 || len(evidence.Predecessors) != 1 || evidence.Predecessors[0] != "g" ||
		evidence.DecidedVersion != 7 || evidence.CommittedVersion != 7 || evidence.ZoneEpoch != 6 ||
		evidence.UncommittedEntries != 0 {
		t.Errorf("Evidence() = %+v, want generation 4 of group g at version 7, zone epoch 6, no uncommitted entries",
			evidence)
	}
	if stored.stateMachine.featureLevel != LatestLevel || stored.stateMachine.fleet.Fleet.UnknownLeasesExpireMS < 4000 ||
		stored.stateMachine.fleet.Fleet.Lookup("n1") == nil {
		t.Errorf("level %d, unknown leases until %d ms, want level %d, at least 4000 ms, and node n1",
			stored.stateMachine.featureLevel, stored.stateMachine.fleet.Fleet.UnknownLeasesExpireMS, LatestLevel)
	}
	// Without the text of the decided version nothing is committed, and the next put gets a higher number.
	records = []api.NodeRecord{{Name: "n1", Zone: "z", Group: "g", Generation: 1, MinVersion: 9}}
	withoutText := recovery.PlanRestore(records, nil, "")
	fs = wal.NewMemFS()
	if _, err = Recover(fs, config, nil, withoutText); err != nil {
		t.Fatal(err)
	}
	if stored, err = ReadFolder(fs, Config{ElectionTicks: 10, Sizes: config.Sizes, Random: randomID}); err != nil {
		t.Fatal(err)
	}
	evidence = stored.Evidence()
	if evidence.LastVersion != 9 || evidence.DecidedVersion != 9 || evidence.CommittedVersion != 0 {
		t.Errorf("Evidence() = %+v, want last and decided version 9, and none committed", evidence)
	}
	if _, err = ReadFolder(wal.NewMemFS(), config); err != ErrEmptyFolder {
		t.Errorf("ReadFolder() of an empty folder = %v, want %v", err, ErrEmptyFolder)
	}
	if _, err = Recover(wal.NewMemFS(), config, nil, &recovery.RestorePlan{Conflict: "two texts"}); err == nil {
		t.Error("Recover() of a conflicting plan succeeded, want an error")
	}
}
