package server

import "testing"

// A transition that is not in the tables means that the loop has lost track of a request: in service it is carried
// out; in tests, and in the program that scenarios play against, it ends the program, whatever it comes up in.
func init() { wrongTransitionEndsProgram = "yes" }

func wrongTransition(change func()) (wrong bool) {
	defer func() { wrong = recover() != nil }()
	change()
	return false
}

// A request that gets two responses would have a client take the second for that of its next request.
func TestASecondResponseIsAWrongTransition(t *testing.T) {
	s := lifecycle{}
	if !s.respond() || !s.isAnswered() || !wrongTransition(func() { s.respond() }) {
		t.Errorf("a second response passes: %+v", s)
	}
	s = lifecycle{}
	s.abandon()
	if s.isAnswered() || s.respond() || !s.isAnswered() || !s.isAbandoned() {
		t.Errorf("a response without a client: %+v", s)
	}
	if !wrongTransition(func() { s.respond() }) || !wrongTransition(func() { s.abandon() }) {
		t.Errorf("a discarded response is given again: %+v", s)
	}
}

// A run that has ended and goes on again would run what its client was told the end of. Only one that was stopped by
// a pause may.
func TestOnlyAPausedRunStartsAgain(t *testing.T) {
	s := lifecycle{}
	if !wrongTransition(s.endRun) {
		t.Error("a run ends before it begins")
	}
	s = lifecycle{}
	s.setRun(runRunning)
	s.endRun()
	if s.run != runFinished || s.mayStart() || !wrongTransition(func() { s.setRun(runRunning) }) {
		t.Errorf("a finished run starts again: %+v", s)
	}
	s = lifecycle{}
	s.setRun(runRunning)
	s.stop()
	s.endRun()
	if s.run != runStopped || !s.mayStart() || wrongTransition(func() { s.setRun(runRunning) }) {
		t.Errorf("a run that was stopped by a pause: %+v", s)
	}
}

// A request that waits for the disk waits for one thing: a word of the disk about another would be taken for the one
// that it waits for, and have it run, or answered, before its record is durable.
func TestARequestWaitsForOneThingOfTheDisk(t *testing.T) {
	for from := range diskStates {
		for to := range diskStates {
			s := lifecycle{disk: from}
			allowed := (from == nothingPending) != (to == nothingPending)
			if wrongTransition(func() { s.setDisk(to) }) == allowed {
				t.Errorf("from %d to %d: expected that it is allowed: %v", from, to, allowed)
			}
			if s := (lifecycle{disk: from}); s.awaitsIntent() != (from == intentPending) {
				t.Errorf("%d: held back %v", from, s.awaitsIntent())
			}
		}
	}
}

// The slot of a request must not be used again while its run or a result that it waits for is still to come.
func TestARequestIsOverOnceNothingIsLeftToCome(t *testing.T) {
	for response := range responseStates {
		for run := range runStates {
			for awaits := range awaitStates {
				s := lifecycle{response: response, run: run, awaits: awaits}
				runs := run == runRunning || run == runStopping
				want := response != responsePending && !runs && awaits != awaitsOriginal
				if s.isOver() != want {
					t.Errorf("%+v: over %v", s, s.isOver())
				}
			}
		}
	}
}
