package agent

import "testing"

// TestFailOverPrefersEarliestContact: an instance fails while another one was told apart as untrusted. The next request goes
// to the one that may be contacted soonest, and among equals to the next in the list.
func TestFailOverPrefersEarliestContact(t *testing.T) {
	random := &jitter{seed: 1}
	s := newInstances([]string{"a", "b", "c"}, random)
	s.current = 0
	s.failOver(1000, untrustedBackoff, random)
	if s.address() != "b" {
		t.Fatalf("goes on at %s, expected the next in the list", s.address())
	}
	s.failOver(1000, 0, random)
	if s.address() != "c" {
		t.Fatalf("goes on at %s, expected the one that never failed", s.address())
	}
	s.failOver(1000, 0, random)
	if s.address() == "a" {
		t.Error("goes on at the one that is to be left alone for longest")
	}
}

// TestBackoffDoublesUpToMaximum: an instance goes on failing. Each wait is half its backoff at least and the whole
// at most, the backoff doubles up to its bound, and a success ends it.
func TestBackoffDoublesUpToMaximum(t *testing.T) {
	random := &jitter{seed: 3}
	s, expected := newInstances([]string{"a"}, random), firstBackoff
	for range 10 {
		s.failOver(0, 0, random)
		if s.list[0].backoff != expected {
			t.Fatalf("backoff of %d ms, expected %d", s.list[0].backoff, expected)
		}
		if wait := s.notBefore(); wait < expected/2 || wait > expected {
			t.Errorf("waits %d ms, expected %d to %d", wait, expected/2, expected)
		}
		expected = min(2*expected, maxBackoff)
	}
	if s.resetBackoff(); s.list[0].backoff != 0 || s.notBefore() != 0 {
		t.Errorf("after a success it still waits: %+v", s.list[0])
	}
}

// TestNoControlAddresses: a node without a control service has nothing to send, and nothing breaks.
func TestNoControlAddresses(t *testing.T) {
	a := New(Config{Name: "n", JitterSeed: 1}, nil, 1000)
	if _, _, due := a.Heartbeat(1000); due || a.ControlAddress() != "" {
		t.Errorf("sends a heartbeat to %q", a.ControlAddress())
	}
	if at := a.NextHeartbeat(); at != 1000 {
		t.Errorf("next heartbeat at %d, expected its start", at)
	}
}

// TestHeartbeatTimeout: a quarter of the lease within its bounds, so that a lost heartbeat never costs the lease by
// itself.
func TestHeartbeatTimeout(t *testing.T) {
	for _, c := range []struct{ lease, timeout Milliseconds }{{0, heartbeatTimeout}, {1000, minHeartbeatTimeout},
		{4000, 1000}, {60_000, heartbeatTimeout}} {
		a := New(Config{JitterSeed: 1}, nil, 0)
		if a.lease.duration = c.lease; a.HeartbeatTimeout() != c.timeout {
			t.Errorf("lease of %d ms: timeout of %d, expected %d", c.lease, a.HeartbeatTimeout(), c.timeout)
		}
	}
}
