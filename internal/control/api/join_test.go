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
