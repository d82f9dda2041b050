package admission

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestReasonNames: each reason has a name of its own.
func TestReasonNames(t *testing.T) {
	seen := map[string]bool{"": true, "unknown": true}
	for why := Reason(0); why < reasons; why++ {
		if seen[why.String()] {
			t.Errorf("reason %d is called %q, as another is", why, why)
		}
		seen[why.String()] = true
	}
	if reasons.String() != "unknown" {
		t.Errorf("what is no reason is called %q", reasons)
	}
}

// TestFinalRejection: only what waited for its turn is rejected for good, and then a retry, what waited long, and
// whatever comes while the fleet is full.
func TestFinalRejection(t *testing.T) {
	for why := Reason(0); why < reasons; why++ {
		waited := why == ReasonQueueTimeout || why == ReasonDeadline
		for mask := range 8 {
			isRetry, delayedLong, full := mask&1 > 0, mask&2 > 0, mask&4 > 0
			if got, want := isFinal(why, isRetry, delayedLong, full), waited && mask > 0; got != want {
				t.Errorf("%s, retry %v, long %v, full %v: final %v", why, isRetry, delayedLong, full, got)
			}
		}
	}
}

// TestPolicyFiles: the deploy file names files of this package that exist, each once, and no tests.
func TestPolicyFiles(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line for policy")
	}
	seen := map[string]bool{}
	for _, quoted := range strings.Split(string(line[1]), ", ") {
		name := strings.Trim(quoted, `"`)
		if filepath.Dir(name) != "admission" || strings.HasSuffix(name, "_test.go") || seen[name] {
			t.Errorf("%s is no file of this package, a test, or named twice", quoted)
		}
		seen[name] = true
		if _, err := os.Stat(filepath.Join("..", name)); err != nil {
			t.Error(err)
		}
	}
}
