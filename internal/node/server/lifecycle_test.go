package server

import "testing"

// A wrong transition panics in tests and in the program that scenarios run; in production it is made.
func init() { wrongTransitionEndsProgram = "yes" }

// wrongTransition reports whether a change makes a wrong transition.
func wrongTransition(change func()) (wrong bool) {
	defer func() { wrong = recover() != nil }()
	change()
	return false
}

// A second response would be read by the client as the response to its next request.
func TestSecondResponseIsWrongTransition(t *testing.T) {
	s := lifecycle{}
	if !s.respond() || !s.isAnswered() || !wrongTransition(func() { s.respond() }) {
		t.Errorf("second response: lifecycle = %+v, want a wrong transition", s)
	}
	s = lifecycle{}
	s.abandon()
	if s.isAnswered() || s.respond() || !s.isAnswered() || !s.isAbandoned() {
		t.Errorf("response after the client is gone: lifecycle = %+v, want it discarded", s)
	}
	if !wrongTransition(func() { s.respond() }) || !wrongTransition(func() { s.abandon() }) {
		t.Errorf("change after a discarded response: lifecycle = %+v, want a wrong transition", s)
	}
}

// A finished run must not start again, as its client has the result; only a stopped one may.
func TestOnlyStoppedRunMayRestart(t *testing.T) {
	s := lifecycle{}
	if !wrongTransition(s.endRun) {
		t.Error("end of a run before its start is not a wrong transition")
	}
	s = lifecycle{}
	s.setRun(runRunning)
	s.endRun()
	if s.run != runFinished || s.mayStart() || !wrongTransition(func() { s.setRun(runRunning) }) {
		t.Errorf("finished run: lifecycle = %+v, want a restart to be a wrong transition", s)
	}
	s = lifecycle{}
	s.setRun(runRunning)
	s.stop()
	s.endRun()
	if s.run != runStopped || !s.mayStart() || wrongTransition(func() { s.setRun(runRunning) }) {
		t.Errorf("stopped run: lifecycle = %+v, want a restart to be allowed", s)
	}
}

// A request waits for one disk operation at a time: the end of another would have it run, or answered, before its
// record is durable.
func TestRequestWaitsForOneDiskOperation(t *testing.T) {
	for from := range diskStates {
		for to := range diskStates {
			s := lifecycle{disk: from}
			allowed := (from == nothingPending) != (to == nothingPending)
			if wrongTransition(func() { s.setDisk(to) }) == allowed {
				t.Errorf("disk state from %d to %d: allowed = %v, want %v", from, to, !allowed, allowed)
			}
			if s := (lifecycle{disk: from}); s.awaitsIntent() != (from == intentPending) {
				t.Errorf("disk state %d: awaitsIntent() = %v, want %v", from, s.awaitsIntent(), from == intentPending)
			}
		}
	}
}

// A request's slot must not be reused while its run, or a result that it waits for, is outstanding.
func TestRequestIsOver(t *testing.T) {
	for response := range responseStates {
		for run := range runStates {
			for awaits := range awaitStates {
				s := lifecycle{response: response, run: run, awaits: awaits}
				running := run == runRunning || run == runStopping
				want := response != responsePending && !running && awaits != awaitsOriginal
				if s.isOver() != want {
					t.Errorf("%+v: isOver() = %v, want %v", s, s.isOver(), want)
				}
			}
		}
	}
}
