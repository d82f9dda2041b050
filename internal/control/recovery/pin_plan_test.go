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

// oneOf returns one of some values.
func oneOf[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// randomNodeRecord makes what a node holds, with faults: spoilt texts, another group, another generation, a text of its own.
func randomNodeRecord(rng *rand.Rand, i int) api.NodeRecord {
	version := uint64(rng.IntN(6))
	text := oneOf(rng, fmt.Sprint("t", version), fmt.Sprint("t", version), fmt.Sprint("t", version),
		fmt.Sprint("other t", version))
	k := newNodeRecord(fmt.Sprint("n", i), version, text, version+uint64(rng.IntN(8)/7))
	k.Index, k.Term, k.ZoneEpoch, k.LeaseMS = 90+uint64(rng.IntN(30)), uint64(rng.IntN(5)), uint64(rng.IntN(9)),
		uint64(rng.IntN(9000))
	k.ZoneShare, k.EntryChecksum = rng.IntN(300), uint64(rng.IntN(3))
	if rng.IntN(3) == 0 {
		k.PreparedVersion, k.PreparedText = version+1, fmt.Sprint("t", version+1)
		k.PreparedHash = document.Hash([]byte(k.PreparedText))
	}
	switch rng.IntN(12) {
	case 0:
		k.ActiveText += " spoilt"
	case 1:
		k.Group, k.Generation = "g2", 2
	case 2:
		k.Group = ""
	case 3:
		k.Group, k.Generation = "g3", uint64(rng.IntN(3))
	case 4:
		k.ActiveVersion, k.ActiveText, k.ActiveHash = 0, "", ""
	}
	return k
}

// TestPinnedStream: plans, proofs of lost state and bounds of random fleets, with spoilt texts, conflicts and several
// generations, are those of version 2a0a97e, byte for byte.
func TestPinnedStream(t *testing.T) {
	sum, rng := sha256.New(), rand.New(rand.NewPCG(3, 4))
	say := func(format string, args ...any) { fmt.Fprintf(sum, format+"\n", args...) }
	conflicts, restored, lost, invalid := 0, 0, 0, 0
	var spread retryafter.Spreader
	for range 4000 {
		var all []api.NodeRecord
		for i := range rng.IntN(14) {
			all = append(all, randomNodeRecord(rng, i))
		}
		var base *StoredGroup
		if rng.IntN(2) == 0 {
			last := uint64(rng.IntN(7))
			base = newStoredGroup(last, min(last, uint64(rng.IntN(7))), min(last, uint64(rng.IntN(7))))
			base.Autonomous, base.UncommittedEntries = rng.IntN(2) == 0, uint64(rng.IntN(3))
			if rng.IntN(4) == 0 {
				base.TextOf = nil
			}
			if rng.IntN(4) == 0 {
				base.GroupIdentity = base.NextGeneration("g2")
			}
		}
		take := oneOf(rng, "", "", document.Hash([]byte("t3"))[:10], document.Hash([]byte("other t4")))
		f := PlanRestore(all, base, take)
		raw, _ := json.Marshal(f)
		counted, _ := json.Marshal(f.Records)
		say("%s %q %s", raw, f.Text, counted)
		if f.Conflict != "" {
			conflicts++
		} else if f.SourceVersion > 0 {
			restored++
		}
		have := GroupState{Group: oneOf(rng, "g1", "g1", "g2"), Generation: oneOf(rng, uint64(1), 1, 2), Term: 3,
			Index: 110, DecidedVersion: 4, ZoneEpoch: 6,
			HashOf:     func(v uint64) string { return document.Hash([]byte(fmt.Sprint("t", v))) },
			ChecksumAt: func(index uint64) (uint64, bool) { return index % 3, index >= 100 }}
		for i := range all {
			lacks := have.LostState(&all[i])
			if lacks != "" {
				lost++
			}
			err := all[i].Validate()
			if err != nil {
				invalid++
			}
			say("%s %v", lacks, err)
		}
		young, in := rng.IntN(9), rng.IntN(9)
		bound, after := int64(rng.IntN(40_000)), int64(rng.IntN(20_000))
		from, to := retryafter.Window(bound, after)
		say("%v %d %d %d", IsColdStart(young, in), from, to, spread.Next(bound, after))
	}
	got := fmt.Sprintf("%s conflicts=%d restored=%d lost=%d invalid=%d\n", hex.EncodeToString(sum.Sum(nil)),
		conflicts, restored, lost,
		invalid)
	want, err := os.ReadFile(filepath.Join("testdata", "pin_stream.txt"))
	if err != nil || got != string(want) {
		t.Errorf("%v, found\n%s\nexpected\n%s", err, got, want)
	}
}

// TestPinnedForms: what a node tells, what a plan shows and how a group is named, with every field set, is written to
// the bytes of version 2a0a97e and read back to the same value.
func TestPinnedForms(t *testing.T) {
	whose := api.GroupIdentity{Group: "g3", Generation: 3, Predecessors: []string{"g1", "g2"}}
	for name, value := range map[string]any{
		"whose": &whose,
		"kept": &api.NodeRecord{Name: "n1", Zone: "z", Addr: "a:1", Group: "g", Generation: 1, Term: 2, Index: 3,
			ActiveVersion: 5, ActiveHash: "h", ActiveText: "t", MinVersion: 6,
			PreparedVersion: 7, PreparedHash: "nh", PreparedText: "nt", Autonomous: true, ZoneEpoch: 8, ZoneShare: 9,
			LeaseMS: 10},
		"found": &RestorePlan{Lost: whose, Version: 4, Hash: "h", SourceVersion: 3, Proof: "p", ZoneEpoch: 5,
			LeaseMS: 6, Nodes: []string{"a"},
			NotCounted: []string{"b"}, Unknown: []string{"c"}, Conflict: "d"},
	} {
		got, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join("testdata", "pin_"+name+".json"))
		if err != nil || !bytes.Equal(got, bytes.TrimSpace(want)) {
			t.Errorf("%s: %v, wrote\n%s\nexpected\n%s", name, err, got, want)
			continue
		}
		read := reflect.New(reflect.TypeOf(value).Elem()).Interface()
		if err = json.Unmarshal(want, read); err != nil || !reflect.DeepEqual(read, value) {
			t.Errorf("%s: %v, read %+v, expected %+v", name, err, read, value)
		}
	}
	long := newNodeRecord("n1", 1, strings.Repeat("x", document.MaxBytes+1), 1)
	if err := long.Validate(); err == nil || !strings.HasPrefix(err.Error(), "text: found ") {
		t.Errorf("a text that is too long: %v", err)
	}
}
