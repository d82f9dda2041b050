package api

import (
	"errors"
	"strings"
	"testing"
)

// TestJoinRequestValidate checks that each invalid field gives an error that names it, the value found and those
// expected.
func TestJoinRequestValidate(t *testing.T) {
	valid := JoinRequest{Name: "n1", Zone: "east", Addr: "127.0.0.1:1", Nonce: "process-1"}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*JoinRequest)
		want   string
	}{
		{func(j *JoinRequest) { j.Name = "a b" },
			`name: found "a b", expected up to 40 letters, digits, '-', '_' and '.'`},
		{func(j *JoinRequest) { j.Zone = "" },
			`zone: found "", expected up to 40 letters, digits, '-', '_' and '.'`},
		{func(j *JoinRequest) { j.Addr = strings.Repeat("x", 81) },
			`addr: found 81 bytes, expected at most 80`},
		{func(j *JoinRequest) { j.Nonce = "process" },
			`nonce: found 7 bytes, expected 8 to 80`},
	} {
		j := valid
		c.change(&j)
		err := j.Validate()
		var fieldErr *FieldError
		if !errors.As(err, &fieldErr) || err.Error() != c.want {
			t.Errorf("Validate() = %v, want *FieldError %s", err, c.want)
		}
	}
}

// TestNodeRecordValidate guards against a corrupt record in a restoration, which could activate a version that no node
// served under.
func TestNodeRecordValidate(t *testing.T) {
	valid := NodeRecord{Name: "n1", Zone: "east", Group: "g", Generation: 1}
	if err := valid.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*NodeRecord)
		want   string
	}{
		{func(r *NodeRecord) { r.Zone = "a b" },
			`zone: found "a b", expected up to 40 letters, digits, '-', '_' and '.'`},
		{func(r *NodeRecord) { r.ActiveText = strings.Repeat("x", 1<<20+1) },
			"text: found 1048577 and 0 bytes, expected at most 1048576"},
		{func(r *NodeRecord) { r.ZoneShare = 257 }, "share: found 257, expected 0 to 256"},
		{func(r *NodeRecord) { r.ActiveVersion = 2 }, "floor: found 0, expected 2 at least, which is served under"},
	} {
		r := valid
		c.change(&r)
		var fieldErr *FieldError
		if err := r.Validate(); !errors.As(err, &fieldErr) || err.Error() != c.want {
			t.Errorf("Validate() = %v, want *FieldError %s", err, c.want)
		}
	}
	r := valid
	r.Group = strings.Repeat("x", 81)
	var fieldsErr *FieldsError
	const want = "group, hash, next_hash: expected at most 80 bytes each"
	if err := r.Validate(); !errors.As(err, &fieldsErr) || err.Error() != want {
		t.Errorf("Validate() = %v, want *FieldsError %s", err, want)
	}
}
