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

// canonicalText gives a text as versions have it.
func canonicalText(t *testing.T, text string) string {
	t.Helper()
	d, err := document.Parse("a text", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return string(d.Canonical())
}

// Nodes make contact while a group is being restored. Each must be asked for its record until it has sent one, and
// records that can't be true must be refused or lose their text.
func TestCollectorCollectsRecords(t *testing.T) {
	listen := loopbackAddress() + ":7301"
	var mu sync.Mutex
	var recordErrs []error
	g, err := StartCollector(listen, func(_ *api.NodeRecord, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			recordErrs = append(recordErrs, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if _, err = StartCollector(listen, nil); err == nil {
		t.Error("two listen at one address")
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
			t.Error("an answer in chunks, which nodes don't read")
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
		t.Fatalf("%d, %+v: a node is not asked for what it holds", code, response)
	}
	if code := post("/v1/kept", record, nil); code != 200 {
		t.Fatalf("%d", code)
	}
	if response, code := sendHeartbeat("a"); code != 503 || response.CollectRecord {
		t.Errorf("%d, %+v: a node that told is asked again", code, response)
	}
	wrongHash := record
	wrongHash.Name, wrongHash.ActiveText = "b", text+"; and more"
	post("/v1/kept", wrongHash, nil)
	sameText := record
	sameText.Name = "c"
	post("/v1/kept", sameText, nil)
	belowMinimum := record
	belowMinimum.Name, belowMinimum.MinVersion = "d", 2
	if code := post("/v1/kept", belowMinimum, nil); code != 400 {
		t.Errorf("%d for one that serves under what it was not told of", code)
	}
	if res, err := http.Get("http://" + listen + "/v1/config"); err != nil || res.StatusCode != 503 {
		t.Errorf("%v, %v: a group that is being restored answers", res, err)
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
	if len(stored) != 3 || stored["a"].ActiveText != text || stored["b"].ActiveText != "" || stored["c"].ActiveText != text ||
		len(g.texts) != 1 || len(recordErrs) != 1 {
		t.Errorf("%d kept, %d texts, wrong %v", len(stored), len(g.texts), recordErrs)
	}
}

// A group lost all its state. What was found must be the first state of the next generation, and no version may be in
// force that no node holds.
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
		t.Fatalf("%+v, %v: expected version 7 as it was", v, err)
	}
	if _, err = Recover(fs, config, nil, recovery.PlanRestore(records, nil, "")); err == nil {
		t.Error("a folder that is an instance's is written over")
	}
	stored, err := ReadFolder(fs, config)
	if err != nil {
		t.Fatal(err)
	}
	evidence := stored.Evidence()
	if evidence.Generation != 4 || len(evidence.Predecessors) != 1 || evidence.Predecessors[0] != "g" || evidence.DecidedVersion != 7 ||
		evidence.CommittedVersion != 7 || evidence.ZoneEpoch != 6 || evidence.UncommittedEntries != 0 {
		t.Errorf("%+v: expected generation 4 of g, at version 7", evidence)
	}
	if stored.stateMachine.level != LatestLevel || stored.stateMachine.fleet.Fleet.UnknownLeasesExpireMS < 4000 ||
		stored.stateMachine.fleet.Fleet.Lookup("n1") == nil {
		t.Errorf("level %d, hush %d", stored.stateMachine.level, stored.stateMachine.fleet.Fleet.UnknownLeasesExpireMS)
	}
	// Nobody holds the text of what was decided: nothing is in force, and the next put is newer than that.
	withoutText := recovery.PlanRestore([]api.NodeRecord{{Name: "n1", Zone: "z", Group: "g", Generation: 1, MinVersion: 9}},
		nil, "")
	fs = wal.NewMemFS()
	if _, err = Recover(fs, config, nil, withoutText); err != nil {
		t.Fatal(err)
	}
	if stored, err = ReadFolder(fs, Config{ElectionTicks: 10, Sizes: config.Sizes, Random: randomID}); err != nil {
		t.Fatal(err)
	}
	if evidence = stored.Evidence(); evidence.LastVersion != 9 || evidence.DecidedVersion != 9 || evidence.CommittedVersion != 0 {
		t.Errorf("%+v: expected nothing in force and 10 as the next version", evidence)
	}
	if _, err = ReadFolder(wal.NewMemFS(), config); err != ErrEmptyFolder {
		t.Errorf("%v, expected %v", err, ErrEmptyFolder)
	}
	if _, err = Recover(wal.NewMemFS(), config, nil, &recovery.RestorePlan{Conflict: "two texts"}); err == nil {
		t.Error("a conflict is restored")
	}
}
