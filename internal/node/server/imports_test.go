package server

import (
	"os/exec"
	"strings"
	"testing"
)

// A node has a few MB for all it holds: with net/http linked in, its tables and goroutines would take a good part of
// it.
func TestNetHTTPNotLinked(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields(string(out)) {
		if name == "net/http" {
			t.Fatal("the package or one that it imports imports net/http")
		}
	}
}
