package server

import (
	"fmt"

	"umberwinch/admission"
)

// lifecycle says how far a request has come. It is five state machines side by side, as a run and its calls go on after
// the client has its response or is gone:
//
//	response  pending -> sent | clientGone -> discarded
//	run       notStarted -> running <-> stopping -> stopped -> running; running -> finished
//	call      none -> queued -> sent -> none
//	awaits    nothing -> original -> nothing
//	disk      nothing -> opening | read | intent | result -> nothing
//
// Where they have to agree is said once, in isOver. Each state changes by the methods of this file alone, and each
// change is looked up in a table of those that are allowed. One that isn't is carried out all the same, as a request
// must get its response, and reported to onWrongTransition: tests fail by it.
type lifecycle struct {
	response responseState
	run      runState
	call     callState
	awaits   awaitState
	disk     diskState
}

// responseState is what has become of the one response that a request gets.
type responseState uint8

const (
	responsePending   responseState = iota
	responseSent                    // handed to the connection
	clientGone                      // the connection ended before
	responseDiscarded               // the client was gone when the response was there
	responseStates
)

// runState is where the run stands that the kernel carries out, as far as the loop knows.
type runState uint8

const (
	runNotStarted runState = iota
	runRunning
	runStopping // told to stop; the kernel has not said yet that it did
	runStopped  // ended after it was told to stop; Run could start it again, which the controller never does
	runFinished // ended for good
	runStates
)

// callState is where the call to the store stands that a run waits for.
type callState uint8

const (
	callNone   callState = iota
	callQueued           // waits for its connection to open
	callSent
	callStates
)

// awaitState tells whether a request waits for the result of the one that it repeats.
type awaitState uint8

const (
	awaitsNothing awaitState = iota
	awaitsOriginal
	awaitStates
)

// diskState is what a request with an idempotency key waits for, where results are stored.
type diskState uint8

const (
	nothingPending diskState = iota
	openingPending           // the folder is not read yet: the controller has not heard of the request
	readPending              // its result is being read: the controller does not hear of it
	intentPending            // it has its run slot, and its intent record is on the way to the disk
	resultPending            // it ran, its run slot is free, and its result is on the way to the disk
	diskStates
)

// The allowed transitions: from the first index to the second.
var (
	responseTransitions = [responseStates][responseStates]bool{
		responsePending: {responseSent: true, clientGone: true},
		clientGone:      {responseDiscarded: true},
	}
	runTransitions = [runStates][runStates]bool{
		runNotStarted: {runRunning: true},
		// To itself: resumed anew over another link.
		runRunning:  {runRunning: true, runStopping: true, runFinished: true},
		runStopping: {runRunning: true, runStopping: true, runStopped: true},
		runStopped:  {runRunning: true},
	}
	callTransitions = [callStates][callStates]bool{
		// To itself: a call is given up that there is none of.
		callNone:   {callNone: true, callQueued: true},
		callQueued: {callNone: true, callSent: true},
		callSent:   {callNone: true},
	}
	awaitTransitions = [awaitStates][awaitStates]bool{
		awaitsNothing:  {awaitsNothing: true, awaitsOriginal: true},
		awaitsOriginal: {awaitsNothing: true},
	}
	diskTransitions = [diskStates][diskStates]bool{
		nothingPending: {openingPending: true, readPending: true, intentPending: true, resultPending: true},
		openingPending: {nothingPending: true},
		readPending:    {nothingPending: true},
		intentPending:  {nothingPending: true},
		resultPending:  {nothingPending: true},
	}
)

// wrongTransitionEndsProgram is set by the linker in the builds that scenarios play against, and by tests.
var wrongTransitionEndsProgram string

// onWrongTransition hears of each change of state that is not allowed. In service nothing is done about it.
func onWrongTransition(machine string, from, to uint8) {
	if wrongTransitionEndsProgram != "" {
		panic(fmt.Sprintf("%s state goes from %d to %d, which is not allowed", machine, from, to))
	}
}

// The setters carry a change out and report one that is not allowed.

func (s *lifecycle) setResponse(to responseState) {
	if !responseTransitions[s.response][to] {
		onWrongTransition("response", uint8(s.response), uint8(to))
	}
	s.response = to
}

func (s *lifecycle) setRun(to runState) {
	if !runTransitions[s.run][to] {
		onWrongTransition("run", uint8(s.run), uint8(to))
	}
	s.run = to
}

func (s *lifecycle) setCall(to callState) {
	if !callTransitions[s.call][to] {
		onWrongTransition("call", uint8(s.call), uint8(to))
	}
	s.call = to
}

func (s *lifecycle) setAwaits(to awaitState) {
	if !awaitTransitions[s.awaits][to] {
		onWrongTransition("awaits", uint8(s.awaits), uint8(to))
	}
	s.awaits = to
}

func (s *lifecycle) setDisk(to diskState) {
	if !diskTransitions[s.disk][to] {
		onWrongTransition("disk", uint8(s.disk), uint8(to))
	}
	s.disk = to
}

// isAnswered tells whether the request had its response, which nobody may have read.
func (s *lifecycle) isAnswered() bool {
	return s.response == responseSent || s.response == responseDiscarded
}

// isAbandoned tells whether the client was gone before the response.
func (s *lifecycle) isAbandoned() bool {
	return s.response == clientGone || s.response == responseDiscarded
}

// awaitsResponse tells whether a client waits for the response.
func (s *lifecycle) awaitsResponse() bool { return s.response == responsePending }

// isRunning tells whether the kernel carries the run out, or is to be told so.
func (s *lifecycle) isRunning() bool { return s.run == runRunning || s.run == runStopping }

// isToldToStop tells whether the run was told to stop, and not to go on since.
func (s *lifecycle) isToldToStop() bool { return s.run == runStopping || s.run == runStopped }

// awaitsIntent tells whether the kernel has not been told of the run yet, as its intent is not on disk: a stop is told
// with it.
func (s *lifecycle) awaitsIntent() bool { return s.disk == intentPending }

// mayStart tells whether Run may start the request, or start it again after a stop.
func (s *lifecycle) mayStart() bool { return s.run == runNotStarted || s.isToldToStop() }

// isOver tells whether nothing of the request is left to come, so that its place in the request table can be used
// again. Its run slot is another thing: the controller frees that at the end of the run.
func (s *lifecycle) isOver() bool {
	return s.response != responsePending && !s.isRunning() && s.awaits == awaitsNothing
}

// respond notes that the response is there; it tells whether the client is there to have it.
func (s *lifecycle) respond() (hasClient bool) {
	if s.isAbandoned() {
		s.setResponse(responseDiscarded)
		return false
	}
	s.setResponse(responseSent)
	return true
}

// abandon notes that the client is gone; it takes no other request's result any more.
func (s *lifecycle) abandon() {
	s.setResponse(clientGone)
	s.setAwaits(awaitsNothing)
}

// stop notes that the run is told to stop.
func (s *lifecycle) stop() { s.setRun(runStopping) }

// endRun notes the end of the run. One that was told to stop is kept apart: Run could start it again.
func (s *lifecycle) endRun() {
	if s.isToldToStop() {
		s.setRun(runStopped)
		return
	}
	s.setRun(runFinished)
}

// outcomeIsResponse tells whether the end of a run is a response: that it stopped when it was
// told to is none.
func (s *lifecycle) outcomeIsResponse(outcome admission.Outcome) bool {
	return outcome != admission.Stopped || !s.isToldToStop()
}
