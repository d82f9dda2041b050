package zones

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"umberwinch/internal/control/api"
)

// fillValue sets every field to a different value, in the order of the fields.
func fillValue(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			fillValue(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillValue(v.Index(0), next)
		fillValue(v.Index(1), next)
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fillValue(value, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("key").Convert(v.Type().Key()), value)
	case reflect.String:
		v.SetString("text" + strings.Repeat("x", *next%7))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.25)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next))
	default:
		panic("fillValue: unsupported type " + v.Type().String())
	}
}

// TestStoredFormsAreStable checks that the stored and sent forms of version 2a0a97e, with every field set, are
// written to the same bytes and read back to the same value.
func TestStoredFormsAreStable(t *testing.T) {
	for name, value := range map[string]any{
		"state": &State{}, "op": &Op{}, "view": &View{}, "result": &Result{},
		"rules": &api.ZoneRules{}, "order": &api.ZoneOrder{}, "tally": &api.LoadReport{},
		"seen": &api.PeerHealth{}, "look": &api.ProbeTarget{},
	} {
		next := 0
		filled := reflect.ValueOf(value).Elem()
		for i := range filled.NumField() {
			if filled.Type().Field(i).IsExported() {
				fillValue(filled.Field(i), &next)
			}
		}
		got, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(filepath.Join("testdata", "pin_"+name+".json"))
		if err != nil || !bytes.Equal(got, bytes.TrimSpace(want)) {
			t.Errorf("%s: %v, wrote\n%s\nwant\n%s", name, err, got, want)
			continue
		}
		read := reflect.New(filled.Type())
		if err = json.Unmarshal(want, read.Interface()); err != nil || !reflect.DeepEqual(read.Interface(), value) {
			t.Errorf("%s: %v, read %+v, want %+v", name, err, read.Interface(), value)
		}
	}
}

// TestStoredSnapshotIsStable checks that a snapshot of version 2a0a97e is restored and written to the same bytes, and
// that a truncated or too large one gives an error.
func TestStoredSnapshotIsStable(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "pin_state.json"))
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.TrimSpace(raw)
	s, err := Restore(raw)
	if err != nil || len(s.Zones) != 2 {
		t.Fatalf("Restore() = %+v, %v, want 2 zones", s, err)
	}
	if again, err := s.Snapshot(); err != nil || !bytes.Equal(again, raw) {
		t.Errorf("Snapshot() = %v\n%s\nwant\n%s", err, again, raw)
	}
	if _, err = Restore(raw[:len(raw)-9]); err == nil || err.Error() != "saved zones: unexpected end of JSON input" {
		t.Errorf("Restore() of a truncated snapshot = %v", err)
	}
	zones := strings.Repeat(`{"name":"z"},`, MaxZones)
	if _, err = Restore([]byte(`{"zones":[` + zones + `{"name":"z"}]}`)); err == nil ||
		err.Error() != "65 saved zones, expected at most 64" {
		t.Errorf("Restore() of %d zones = %v", MaxZones+1, err)
	}
	if s, err = Restore(nil); err != nil || !reflect.DeepEqual(s, &State{}) {
		t.Errorf("Restore(nil) = %+v, %v, want the empty state", s, err)
	}
}

// TestNamesAreStable checks the spelling of names that are stored, sent or used in commands.
func TestNamesAreStable(t *testing.T) {
	got := fmt.Sprint(InService, " ", Evacuating, " ", Evacuated, " ", Ramping, " ", WholeFleet, " ",
		strings.Join(guardNames, ","))
	if want := "in leaving out returning * common-cause,room,one-epoch,paced,step-back,retry-budget,lease-tokens," +
		"small-start,spread"; got != want {
		t.Errorf("names = %s, want %s", got, want)
	}
}
