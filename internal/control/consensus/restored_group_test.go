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

const oneText = "[tenant t0]\nrate = 5\n\n[fleet]\nlease = 4s\nwhen_alone = fence\n"

// canonical gives a text as versions have it.
func canonical(t *testing.T, text string) string {
	t.Helper()
	d, err := document.Parse("a text", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return string(d.Canonical())
}

// Nodes make contact while a group is being restored. Each must be asked for its record until it has sent one, and
// records that can't be true must be refused or lose their text.
func TestGather(t *testing.T) {
	listen := address() + ":7301"
	var mu sync.Mutex
	var wrong []error
	g, err := StartCollector(listen, func(_ *api.NodeRecord, err error) {
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			wrong = append(wrong, err)
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
	ask := func(name string) (told api.HeartbeatResponse, code int) {
		code = post("/v1/nodes", api.HeartbeatRequest{JoinRequest: api.JoinRequest{Name: name, Zone: "z",
			Nonce: name + "-00000000"}}, &told)
		return told, code
	}
	text := canonical(t, oneText)
	k := api.NodeRecord{Name: "a", Zone: "z", Group: "g", Generation: 1, ActiveVersion: 3, MinVersion: 3,
		ActiveText: text, ActiveHash: document.Hash([]byte(text))}
	if told, code := ask("a"); code != 200 || !told.CollectRecord {
		t.Fatalf("%d, %+v: a node is not asked for what it holds", code, told)
	}
	if code := post("/v1/kept", k, nil); code != 200 {
		t.Fatalf("%d", code)
	}
	if told, code := ask("a"); code != 503 || told.CollectRecord {
		t.Errorf("%d, %+v: a node that told is asked again", code, told)
	}
	spoilt := k
	spoilt.Name, spoilt.ActiveText = "b", text+"; and more"
	post("/v1/kept", spoilt, nil)
	same := k
	same.Name = "c"
	post("/v1/kept", same, nil)
	lies := k
	lies.Name, lies.MinVersion = "d", 2
	if code := post("/v1/kept", lies, nil); code != 400 {
		t.Errorf("%d for one that serves under what it was not told of", code)
	}
	if res, err := http.Get("http://" + listen + "/v1/config"); err != nil || res.StatusCode != 503 {
		t.Errorf("%v, %v: a group that is being restored answers", res, err)
	} else {
		res.Body.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	all := map[string]api.NodeRecord{}
	for _, k := range g.Stop(ctx) {
		all[k.Name] = k
	}
	mu.Lock()
	defer mu.Unlock()
	if len(all) != 3 || all["a"].ActiveText != text || all["b"].ActiveText != "" || all["c"].ActiveText != text ||
		len(g.texts) != 1 || len(wrong) != 1 {
		t.Errorf("%d kept, %d texts, wrong %v", len(all), len(g.texts), wrong)
	}
}

// A group lost all its state. What was found must be the first state of the next generation, and no version may be in
// force that no node holds.
func TestRecover(t *testing.T) {
	text := canonical(t, oneText)
	hash := document.Hash([]byte(text))
	plan := Config{Name: "a", Peer: "p", Listen: "l", ElectionTicks: 10, SnapshotBytes: 1 << 20,
		Sizes:  wal.Sizes{SegmentBytes: 1 << 20, MaxBytes: 64 << 20},
		Random: randomID}
	kept := []api.NodeRecord{{Name: "n1", Zone: "z", Group: "g", Generation: 3, ActiveVersion: 7, MinVersion: 7,
		ActiveText: text, ActiveHash: hash, ZoneEpoch: 5, ZoneShare: 256,
		LeaseMS: 4000}}
	fs := wal.NewMemFS()
	v, err := Recover(fs, plan, nil, recovery.PlanRestore(kept, nil, ""))
	if err != nil || v.Number != 7 || v.Hash != hash {
		t.Fatalf("%+v, %v: expected version 7 as it was", v, err)
	}
	if _, err = Recover(fs, plan, nil, recovery.PlanRestore(kept, nil, "")); err == nil {
		t.Error("a folder that is an instance's is written over")
	}
	old, err := ReadFolder(fs, plan)
	if err != nil {
		t.Fatal(err)
	}
	b := old.Evidence()
	if b.Generation != 4 || len(b.Predecessors) != 1 || b.Predecessors[0] != "g" || b.DecidedVersion != 7 ||
		b.CommittedVersion != 7 || b.ZoneEpoch != 6 || b.UncommittedEntries != 0 {
		t.Errorf("%+v: expected generation 4 of g, at version 7", b)
	}
	if old.stateMachine.level != LatestLevel || old.stateMachine.fleet.Fleet.UnknownLeasesExpireMS < 4000 ||
		old.stateMachine.fleet.Fleet.Lookup("n1") == nil {
		t.Errorf("level %d, hush %d", old.stateMachine.level, old.stateMachine.fleet.Fleet.UnknownLeasesExpireMS)
	}
	// Nobody holds the text of what was decided: nothing is in force, and the next put is newer than that.
	none := recovery.PlanRestore([]api.NodeRecord{{Name: "n1", Zone: "z", Group: "g", Generation: 1, MinVersion: 9}},
		nil, "")
	fs = wal.NewMemFS()
	if _, err = Recover(fs, plan, nil, none); err != nil {
		t.Fatal(err)
	}
	if old, err = ReadFolder(fs, Config{ElectionTicks: 10, Sizes: plan.Sizes, Random: randomID}); err != nil {
		t.Fatal(err)
	}
	if b = old.Evidence(); b.LastVersion != 9 || b.DecidedVersion != 9 || b.CommittedVersion != 0 {
		t.Errorf("%+v: expected nothing in force and 10 as the next version", b)
	}
	if _, err = ReadFolder(wal.NewMemFS(), plan); err != ErrEmptyFolder {
		t.Errorf("%v, expected %v", err, ErrEmptyFolder)
	}
	if _, err = Recover(wal.NewMemFS(), plan, nil, &recovery.RestorePlan{Conflict: "two texts"}); err == nil {
		t.Error("a conflict is restored")
	}
}
