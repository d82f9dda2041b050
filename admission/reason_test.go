package admission

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestReasonNames checks that each reason has a unique name.
func TestReasonNames(t *testing.T) {
	seen := map[string]bool{"": true, "unknown": true}
	for reason := Reason(0); reason < reasons; reason++ {
		if seen[reason.String()] {
			t.Errorf("Reason(%d).String() = %q, want a unique name", reason, reason)
		}
		seen[reason.String()] = true
	}
	if reasons.String() != "unknown" {
		t.Errorf("String() of an invalid reason = %q, want %q", reasons, "unknown")
	}
}

// TestFinalRejection checks that a rejection is final only after a queue timeout or at a deadline, and then for a
// retry, after a long delay, or in a full fleet.
func TestFinalRejection(t *testing.T) {
	for reason := Reason(0); reason < reasons; reason++ {
		canBeFinal := reason == ReasonQueueTimeout || reason == ReasonDeadline
		for mask := range 8 {
			isRetry, delayedLong, full := mask&1 > 0, mask&2 > 0, mask&4 > 0
			if got, want := isFinal(reason, isRetry, delayedLong, full), canBeFinal && mask > 0; got != want {
				t.Errorf("isFinal(%s, retry %v, delayed long %v, fleet full %v) = %v, want %v", reason, isRetry,
					delayedLong, full, got, want)
			}
		}
	}
}

// TestPolicyFilesExist checks that deploy/balancer.toml names existing files of this package, each once, and no
// tests.
func TestPolicyFilesExist(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line \"policy = [...]\"")
	}
	seen := map[string]bool{}
	for _, quoted := range strings.Split(string(line[1]), ", ") {
		name := strings.Trim(quoted, `"`)
		if filepath.Dir(name) != "admission" || strings.HasSuffix(name, "_test.go") || seen[name] {
			t.Errorf("policy names %s, want each file of this package once and no tests", quoted)
		}
		seen[name] = true
		if _, err := os.Stat(filepath.Join("..", name)); err != nil {
			t.Error(err)
		}
	}
}
