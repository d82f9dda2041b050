package server

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards the node's memory of a few MB: net/http would take a good part of it.
func TestNetHTTPNotLinked(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields(string(out)) {
		if name == "net/http" {
			t.Fatal("net/http is among the package's dependencies, want it not linked")
		}
	}
}
