package agent

// Backoff before an instance of the control service is contacted again.
const (
	// firstBackoff follows the first failure and doubles with each further one.
	firstBackoff Milliseconds = 100
	// maxBackoff is well within the default lease of 10 s, in which a node has to find an instance that has recovered.
	maxBackoff Milliseconds = 3000
	// untrustedBackoff follows an untrusted response: a misconfigured or damaged instance doesn't recover within a
	// lease.
	untrustedBackoff Milliseconds = 60_000
)

// instance is one instance of the control service.
type instance struct {
	address   string
	backoff   Milliseconds // the last backoff, 0 after a success
	notBefore Milliseconds // it is not contacted before then
}

// instances is the list of the control service's instances and the one that is contacted.
type instances struct {
	list    []instance
	current int
}

// newInstances begins with a random instance, so that the nodes of a fleet spread over them.
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

// notBefore is the earliest time to contact the current instance.
func (s *instances) notBefore() Milliseconds {
	if s.empty() {
		return 0
	}
	return s.list[s.current].notBefore
}

// resetBackoff resets the backoff of the current instance after a success.
func (s *instances) resetBackoff() {
	s.list[s.current].backoff, s.list[s.current].notBefore = 0, 0
}

// failOver backs off from the current instance, which failed or whose response was rejected, and switches to the one
// that may be contacted soonest, the next in the list among equals. The backoff doubles with each failure and is at
// least minBackoff. Half of it is random, so that nodes don't contact a recovered control service all at once.
func (s *instances) failOver(now, minBackoff Milliseconds, random *jitter) {
	failed := &s.list[s.current]
	failed.backoff = min(max(2*failed.backoff, firstBackoff), maxBackoff)
	wait := max(failed.backoff, minBackoff)
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
