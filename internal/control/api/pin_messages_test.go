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

var writePins = flag.Bool("write-pins", false, "write the fixtures of the messages anew")

// setAllFields sets every field that the value has, each to another value, by the order in which they are encoded.
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

// allocateParts gives the value all its parts, and each of them no field that is set.
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

// TestMessagesAsSent: every message between a node and the control service has the bytes that version 2a0a97e sent,
// with all fields set, with all parts and no field set, and with nothing, and is read back whole. A build of that
// version on the other side would misread any other form.
func TestMessagesAsSent(t *testing.T) {
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
			t.Errorf("%s: sent\n%s\nexpected\n%s", name, got, want)
		}
		back := reflect.New(reflect.TypeOf(message).Elem()).Interface()
		if err := json.Unmarshal(full, back); err != nil || !reflect.DeepEqual(back, message) {
			t.Errorf("%s: read back %+v (%v), expected %+v", name, back, err, message)
		}
	}
}
