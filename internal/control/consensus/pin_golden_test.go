package consensus

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// The golden files under testdata/pin were written by version 2a0a97e with -write-pins. Later versions must read and
// write the same bytes, so they must not be written again.
var updateGolden = flag.Bool("write-pins", false, "write the golden files again")

// checkGolden compares bytes with a golden file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "pin", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: %s", path, firstDifference(got, want))
	}
}

// firstDifference describes where two byte slices begin to differ.
func firstDifference(got, want []byte) string {
	at := 0
	for at < len(got) && at < len(want) && got[at] == want[at] {
		at++
	}
	excerpt := func(b []byte) []byte { return b[max(0, min(at-40, len(b))):min(len(b), at+80)] }
	return fmt.Sprintf("got %d bytes, want %d; they differ at byte %d: got %q, want %q", len(got),
		len(want), at,
		excerpt(got), excerpt(want))
}

// fieldFiller sets every field of a value to a distinct value, in field order.
type fieldFiller struct{ n int }

func (f *fieldFiller) fill(v reflect.Value) {
	f.n++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.n))
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("text", f.n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.n))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.n))
	case reflect.Float64:
		v.SetFloat(float64(f.n) + 0.5)
	default:
		panic("fieldFiller: unsupported kind " + v.Kind().String())
	}
}

func filledValue[T any]() T {
	var v T
	(&fieldFiller{}).fill(reflect.ValueOf(&v).Elem())
	return v
}

// checkGoldenJSON compares the JSON of a value with all fields set to a golden file, and decodes the file to the same
// value.
func checkGoldenJSON[T any](t *testing.T, name string) {
	t.Helper()
	v := filledValue[T]()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, append(raw, '\n'))
	stored, err := os.ReadFile(filepath.Join("testdata", "pin", name))
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	d := json.NewDecoder(bytes.NewReader(stored))
	d.DisallowUnknownFields()
	if err := d.Decode(&decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, v) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, v)
	}
}

// textReport collects lines of text.
type textReport struct{ strings.Builder }

func (r *textReport) addLine(format string, args ...any) { fmt.Fprintf(r, format+"\n", args...) }
