package agent

// Waits before an instance of the control service is contacted again.
const (
	// firstBackoff follows the first failure and is doubled by each further one: an instance that restarts is back in
	// use soon, and one that is down costs few attempts.
	firstBackoff Milliseconds = 100
	// maxBackoff bounds the doubling: within the default lease of 10 s a node finds an instance that has come back. A
	// larger one would keep nodes fenced after the service is back, a smaller one adds load to a service that is in
	// trouble.
	maxBackoff Milliseconds = 3000
	// untrustedBackoff follows a response that no correct instance sends: a misconfigured or damaged instance does
	// not get better within a lease, and asking it delays the attempts at the others.
	untrustedBackoff Milliseconds = 60_000
)

// instance is one instance of the control service.
type instance struct {
	address   string
	backoff   Milliseconds // the last wait, 0 after a success
	notBefore Milliseconds // it is not contacted before then
}

// instances are those of the control service, of which the current one is contacted.
type instances struct {
	list    []instance
	current int
}

// newInstances begins at one by chance, so that the nodes of a fleet that starts at once don't all begin at the same.
func newInstances(addresses []string, random *jitter) instances {
	s := instances{}
	for _, address := range addresses {
		s.list = append(s.list, instance{address: address})
	}
	s.current = int(random.draw() % uint32(max(1, len(s.list))))
	return s
}

func (s *instances) empty() bool { return len(s.list) == 0 }

func (s *instances) address() string {
	if s.empty() {
		return ""
	}
	return s.list[s.current].address
}

// notBefore is when the current instance may be contacted.
func (s *instances) notBefore() Milliseconds {
	if s.empty() {
		return 0
	}
	return s.list[s.current].notBefore
}

// resetBackoff ends the waits of the current instance.
func (s *instances) resetBackoff() {
	s.list[s.current].backoff, s.list[s.current].notBefore = 0, 0
}

// failOver decides which instance is contacted after the current one has failed or answered what can't be used: the
// one that may be contacted soonest, and among equals the next in the list. The failed one waits for a time that
// doubles with each failure, atLeast ms at the least, half of it by chance: a control service that comes back is not
// met by all nodes in one moment. Taking turns costs a node some heartbeats where a single instance is at fault,
// never its lease.
func (s *instances) failOver(now, atLeast Milliseconds, random *jitter) {
	failed := &s.list[s.current]
	failed.backoff = min(max(2*failed.backoff, firstBackoff), maxBackoff)
	wait := max(failed.backoff, atLeast)
	failed.notBefore = now + wait/2 + random.below(wait/2+1)
	next := s.current
	for step := 1; step <= len(s.list); step++ {
		candidate := (s.current + step) % len(s.list)
		if step == 1 || s.list[candidate].notBefore < s.list[next].notBefore {
			next = candidate
		}
	}
	s.current = next
}
