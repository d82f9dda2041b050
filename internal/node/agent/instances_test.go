package agent

import "testing"

// TestFailOverPrefersEarliestContact guards against a fail-over to an instance that is backing off, such as one whose
// response was untrusted, while another may be contacted.
func TestFailOverPrefersEarliestContact(t *testing.T) {
	random := &jitter{seed: 1}
	s := newInstances([]string{"a", "b", "c"}, random)
	s.current = 0
	s.failOver(1000, untrustedBackoff, random)
	if s.address() != "b" {
		t.Fatalf("address() = %s, want b, the next in the list", s.address())
	}
	s.failOver(1000, 0, random)
	if s.address() != "c" {
		t.Fatalf("address() = %s, want c, which never failed", s.address())
	}
	s.failOver(1000, 0, random)
	if s.address() == "a" {
		t.Error("address() = a, want another than the one with the longest backoff")
	}
}

// TestBackoffDoublesUpToMaximum guards against a backoff that doesn't double up to its maximum, isn't jittered from
// half of it, or isn't reset by a success.
func TestBackoffDoublesUpToMaximum(t *testing.T) {
	random := &jitter{seed: 3}
	s, want := newInstances([]string{"a"}, random), firstBackoff
	for range 10 {
		s.failOver(0, 0, random)
		if s.list[0].backoff != want {
			t.Fatalf("backoff = %d ms, want %d", s.list[0].backoff, want)
		}
		if wait := s.notBefore(); wait < want/2 || wait > want {
			t.Errorf("notBefore() = %d ms, want %d to %d", wait, want/2, want)
		}
		want = min(2*want, maxBackoff)
	}
	if s.resetBackoff(); s.list[0].backoff != 0 || s.notBefore() != 0 {
		t.Errorf("after a success: %+v, want no backoff", s.list[0])
	}
}

// TestNoControlAddresses guards against heartbeats, or a panic, of a node without a control service.
func TestNoControlAddresses(t *testing.T) {
	a := New(Config{Name: "n", JitterSeed: 1}, nil, 1000)
	if _, _, due := a.Heartbeat(1000); due || a.ControlAddress() != "" {
		t.Errorf("heartbeat due = %v, ControlAddress() = %q, want none", due, a.ControlAddress())
	}
	if at := a.NextHeartbeat(); at != 1000 {
		t.Errorf("NextHeartbeat() = %d, want 1000, the start", at)
	}
}

// TestHeartbeatTimeout guards against a timeout outside its bounds, or so long that a lost heartbeat costs the lease.
func TestHeartbeatTimeout(t *testing.T) {
	for _, c := range []struct{ lease, want Milliseconds }{{0, heartbeatTimeout}, {1000, minHeartbeatTimeout},
		{4000, 1000}, {60_000, heartbeatTimeout}} {
		a := New(Config{JitterSeed: 1}, nil, 0)
		if a.lease.duration = c.lease; a.HeartbeatTimeout() != c.want {
			t.Errorf("HeartbeatTimeout() for a lease of %d ms = %d, want %d", c.lease, a.HeartbeatTimeout(), c.want)
		}
	}
}
