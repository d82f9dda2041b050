package api

import (
	"errors"
	"strings"
	"testing"
)

// TestJoinRequestValidate: a field that the group would not store is named, with what was found and expected.
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
		var field *FieldError
		if !errors.As(err, &field) || err.Error() != c.want {
			t.Errorf("found %v, expected %s", err, c.want)
		}
	}
}

// TestNodeRecordValidate: a record that a recovery can't go by is refused, with the fields, what was found and what was
// expected: a spoilt one could bring a version in force that no node served under.
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
		var field *FieldError
		if err := r.Validate(); !errors.As(err, &field) || err.Error() != c.want {
			t.Errorf("found %v, expected %s", err, c.want)
		}
	}
	r := valid
	r.Group = strings.Repeat("x", 81)
	var fields *FieldsError
	const want = "group, hash, next_hash: expected at most 80 bytes each"
	if err := r.Validate(); !errors.As(err, &fields) || err.Error() != want {
		t.Errorf("found %v, expected %s", err, want)
	}
}
