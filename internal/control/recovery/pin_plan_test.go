package recovery

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
	"umberwinch/internal/control/document"
	"umberwinch/internal/retryafter"
)

// oneOf returns one of the values at random.
func oneOf[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// randomNodeRecord returns a node's record that may have a corrupt or different text, or be of another group or
// generation.
func randomNodeRecord(rng *rand.Rand, i int) api.NodeRecord {
	version := uint64(rng.IntN(6))
	text := oneOf(rng, fmt.Sprint("t", version), fmt.Sprint("t", version), fmt.Sprint("t", version),
		fmt.Sprint("other t", version))
	r := newNodeRecord(fmt.Sprint("n", i), version, text, version+uint64(rng.IntN(8)/7))
	r.Index, r.Term, r.ZoneEpoch, r.LeaseMS = 90+uint64(rng.IntN(30)), uint64(rng.IntN(5)), uint64(rng.IntN(9)),
		uint64(rng.IntN(9000))
	r.ZoneShare, r.EntryChecksum = rng.IntN(300), uint64(rng.IntN(3))
	if rng.IntN(3) == 0 {
		r.PreparedVersion, r.PreparedText = version+1, fmt.Sprint("t", version+1)
		r.PreparedHash = document.Hash([]byte(r.PreparedText))
	}
	switch rng.IntN(12) {
	case 0:
		r.ActiveText += " spoilt"
	case 1:
		r.Group, r.Generation = "g2", 2
	case 2:
		r.Group = ""
	case 3:
		r.Group, r.Generation = "g3", uint64(rng.IntN(3))
	case 4:
		r.ActiveVersion, r.ActiveText, r.ActiveHash = 0, "", ""
	}
	return r
}

// TestRecordedDecisions compares plans, contradictions and Retry-After windows of random fleets, with corrupt texts,
// conflicts and several generations, byte for byte with those of version 2a0a97e.
func TestRecordedDecisions(t *testing.T) {
	sum, rng := sha256.New(), rand.New(rand.NewPCG(3, 4))
	record := func(format string, args ...any) { fmt.Fprintf(sum, format+"\n", args...) }
	conflicts, restored, contradictions, invalid := 0, 0, 0, 0
	var spreader retryafter.Spreader
	for range 4000 {
		var records []api.NodeRecord
		for i := range rng.IntN(14) {
			records = append(records, randomNodeRecord(rng, i))
		}
		var stored *StoredGroup
		if rng.IntN(2) == 0 {
			last := uint64(rng.IntN(7))
			stored = newStoredGroup(last, min(last, uint64(rng.IntN(7))), min(last, uint64(rng.IntN(7))))
			stored.Autonomous, stored.UncommittedEntries = rng.IntN(2) == 0, uint64(rng.IntN(3))
			if rng.IntN(4) == 0 {
				stored.TextOf = nil
			}
			if rng.IntN(4) == 0 {
				stored.GroupIdentity = stored.NextGeneration("g2")
			}
		}
		choice := oneOf(rng, "", "", document.Hash([]byte("t3"))[:10], document.Hash([]byte("other t4")))
		plan := PlanRestore(records, stored, choice)
		raw, _ := json.Marshal(plan)
		counted, _ := json.Marshal(plan.Records)
		record("%s %q %s", raw, plan.Text, counted)
		if plan.Conflict != "" {
			conflicts++
		} else if plan.SourceVersion > 0 {
			restored++
		}
		group := GroupState{Group: oneOf(rng, "g1", "g1", "g2"), Generation: oneOf(rng, uint64(1), 1, 2), Term: 3,
			Index: 110, DecidedVersion: 4, ZoneEpoch: 6,
			HashOf:     func(v uint64) string { return document.Hash([]byte(fmt.Sprint("t", v))) },
			ChecksumAt: func(index uint64) (uint64, bool) { return index % 3, index >= 100 }}
		for i := range records {
			contradiction := group.LostState(&records[i])
			if contradiction != "" {
				contradictions++
			}
			err := records[i].Validate()
			if err != nil {
				invalid++
			}
			record("%s %v", contradiction, err)
		}
		restarted, total := rng.IntN(9), rng.IntN(9)
		bound, after := int64(rng.IntN(40_000)), int64(rng.IntN(20_000))
		from, to := retryafter.Window(bound, after)
		record("%v %d %d %d", IsColdStart(restarted, total), from, to, spreader.Next(bound, after))
	}
	got := fmt.Sprintf("%s conflicts=%d restored=%d lost=%d invalid=%d\n", hex.EncodeToString(sum.Sum(nil)),
		conflicts, restored, contradictions, invalid)
	want, err := os.ReadFile(filepath.Join("testdata", "pin_stream.txt"))
	if err != nil || got != string(want) {
		t.Errorf("recorded decisions (%v):\ngot  %s\nwant %s", err, got, want)
	}
}

// TestRecordedJSON checks that a node record, a plan and a group identity with every field set are encoded to the bytes
// of version 2a0a97e and decoded to the same value. Another form breaks nodes and tools of that version.
func TestRecordedJSON(t *testing.T) {
	identity := api.GroupIdentity{Group: "g3", Generation: 3, Predecessors: []string{"g1", "g2"}}
	for name, value := range map[string]any{
		"whose": &identity,
		"kept": &api.NodeRecord{Name: "n1", Zone: "z", Addr: "a:1", Group: "g", Generation: 1, Term: 2, Index: 3,
			ActiveVersion: 5, ActiveHash: "h", ActiveText: "t", MinVersion: 6,
			PreparedVersion: 7, PreparedHash: "nh", PreparedText: "nt", Autonomous: true, ZoneEpoch: 8, ZoneShare: 9,
			LeaseMS: 10},
		"found": &RestorePlan{Lost: identity, Version: 4, Hash: "h", SourceVersion: 3, Proof: "p", ZoneEpoch: 5,
			LeaseMS: 6, Nodes: []string{"a"},
			NotCounted: []string{"b"}, Unknown: []string{"c"}, Conflict: "d"},
	} {
		got, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join("testdata", "pin_"+name+".json"))
		if err != nil || !bytes.Equal(got, bytes.TrimSpace(want)) {
			t.Errorf("%s: encoded (%v):\ngot  %s\nwant %s", name, err, got, want)
			continue
		}
		decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
		if err = json.Unmarshal(want, decoded); err != nil || !reflect.DeepEqual(decoded, value) {
			t.Errorf("%s: decoded %+v (%v), want %+v", name, decoded, err, value)
		}
	}
	long := newNodeRecord("n1", 1, strings.Repeat("x", document.MaxBytes+1), 1)
	if err := long.Validate(); err == nil || !strings.HasPrefix(err.Error(), "text: found ") {
		t.Errorf("Validate() of a text above MaxBytes = %v, want a FieldError of text", err)
	}
}
