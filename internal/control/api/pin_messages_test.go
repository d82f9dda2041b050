package api

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
)

var writePins = flag.Bool("write-pins", false, "rewrite the fixtures of the messages")

// setAllFields sets every field of a value, recursively, each to a distinct value in order of encoding.
func setAllFields(v reflect.Value, next *int) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		setAllFields(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			setAllFields(v.Field(i), next)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			setAllFields(v.Index(i), next)
		}
	case reflect.String:
		*next++
		v.SetString("<word> & " + strconv.Itoa(*next))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int:
		*next++
		v.SetInt(int64(*next))
	case reflect.Uint32, reflect.Uint64:
		*next++
		v.SetUint(uint64(*next))
	case reflect.Float64:
		*next++
		v.SetFloat(float64(*next) + 0.25)
	default:
		panic(v.Kind())
	}
}

// allocateParts sets every pointer and slice of a value, recursively, and leaves all other fields zero.
func allocateParts(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		allocateParts(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			allocateParts(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		allocateParts(v.Index(0))
	}
}

// TestRecordedMessages checks that each message is encoded to the bytes of version 2a0a97e, with all fields set, with
// only pointers and slices set, and empty, and that it is decoded without loss. A peer of that version would misread
// any other form.
func TestRecordedMessages(t *testing.T) {
	for name, message := range map[string]any{
		"request":  &HeartbeatRequest{},
		"response": &HeartbeatResponse{},
		"rules":    &ZoneRules{},
	} {
		empty, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		allocateParts(reflect.ValueOf(message).Elem())
		parts, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		setAllFields(reflect.ValueOf(message).Elem(), &n)
		full, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		got := string(empty) + "\n" + string(parts) + "\n" + string(full) + "\n"
		file := filepath.Join("testdata", "messages", name+".txt")
		if *writePins {
			if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s: encoded\n%s\nwant\n%s", name, got, want)
		}
		decoded := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err := json.Unmarshal(full, decoded); err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%s: decoded %+v (%v), want %+v", name, decoded, err, message)
		}
	}
}
