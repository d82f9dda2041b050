package server

import (
	"fmt"

	"umberwinch/admission"
)

// lifecycle is the state of a request. It belongs to the loop and consists of five independent state machines, as a run
// and its calls may outlast the response or the client:
//
//	response  pending -> sent | clientGone -> discarded
//	run       notStarted -> running <-> stopping -> stopped -> running; running -> finished
//	call      none -> queued -> sent -> none
//	awaits    nothing -> original -> nothing
//	disk      nothing -> opening | read | intent | result -> nothing
//
// Constraints between them are only in isOver. States are changed only by the methods of this file, which check each
// transition against a table. A transition that is not allowed is still made, as the request must get its response, and
// is reported to onWrongTransition, which fails tests.
type lifecycle struct {
	response responseState
	run      runState
	call     callState
	awaits   awaitState
	disk     diskState
}

// responseState is the state of the request's response.
type responseState uint8

const (
	responsePending   responseState = iota
	responseSent                    // passed to the connection
	clientGone                      // the connection ended before the response
	responseDiscarded               // the response came after the client was gone
	responseStates
)

// runState is the state of the run in the kernel, as far as the loop knows.
type runState uint8

const (
	runNotStarted runState = iota
	runRunning
	runStopping // stop requested; the kernel has not confirmed it
	runStopped  // ended after a stop request; may be resumed, which the controller never does
	runFinished // ended for good
	runStates
)

// callState is the state of the store call that a run is waiting for.
type callState uint8

const (
	callNone   callState = iota
	callQueued           // its connection is not open yet
	callSent
	callStates
)

// awaitState tells whether a request waits for the result of the request that it repeats.
type awaitState uint8

const (
	awaitsNothing awaitState = iota
	awaitsOriginal
	awaitStates
)

// diskState is the disk operation that a request with an idempotency key waits for, if results are stored.
type diskState uint8

const (
	nothingPending diskState = iota
	openingPending           // the folder is not read yet; the request is not submitted to the controller
	readPending              // its stored result is being read; the request is not submitted to the controller
	intentPending            // it holds its run slot, and its intent record is being written
	resultPending            // it ran, its run slot is free, and its result is being written
	diskStates
)

// The allowed transitions, from the first index to the second.
var (
	responseTransitions = [responseStates][responseStates]bool{
		responsePending: {responseSent: true, clientGone: true},
		clientGone:      {responseDiscarded: true},
	}
	runTransitions = [runStates][runStates]bool{
		runNotStarted: {runRunning: true},
		// To itself: resumed again over another link.
		runRunning:  {runRunning: true, runStopping: true, runFinished: true},
		runStopping: {runRunning: true, runStopping: true, runStopped: true},
		runStopped:  {runRunning: true},
	}
	callTransitions = [callStates][callStates]bool{
		// To itself: a cancellation without a call.
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

// wrongTransitionEndsProgram, if not empty, turns a wrong transition into a panic. Tests set it, and so does the linker
// in the builds that scenarios run.
var wrongTransitionEndsProgram string

// onWrongTransition handles a transition that is not allowed; in production it is ignored.
func onWrongTransition(machine string, from, to uint8) {
	if wrongTransitionEndsProgram != "" {
		panic(fmt.Sprintf("%s state: transition from %d to %d is not allowed", machine, from, to))
	}
}

// The setters make a transition and report one that is not allowed.

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

// isAnswered reports whether the response was sent or discarded.
func (s *lifecycle) isAnswered() bool {
	return s.response == responseSent || s.response == responseDiscarded
}

// isAbandoned reports whether the client was gone before the response.
func (s *lifecycle) isAbandoned() bool {
	return s.response == clientGone || s.response == responseDiscarded
}

// awaitsResponse reports whether the client waits for the response.
func (s *lifecycle) awaitsResponse() bool { return s.response == responsePending }

// isRunning reports whether the run has started and not ended; the kernel may not have it yet.
func (s *lifecycle) isRunning() bool { return s.run == runRunning || s.run == runStopping }

// isStopRequested reports whether a stop was requested, and no resume since.
func (s *lifecycle) isStopRequested() bool { return s.run == runStopping || s.run == runStopped }

// awaitsIntent reports whether the run is held back from the kernel until its intent record is on disk; a stop is then
// sent with the run.
func (s *lifecycle) awaitsIntent() bool { return s.disk == intentPending }

// mayStart reports whether Run may start the request, or resume it after a stop.
func (s *lifecycle) mayStart() bool { return s.run == runNotStarted || s.isStopRequested() }

// isOver reports whether the request's slot in the request table can be reused. A disk callback that comes later finds
// no request and is ignored.
// Its run slot is freed by the controller at the end of the run.
func (s *lifecycle) isOver() bool {
	return s.response != responsePending && !s.isRunning() && s.awaits == awaitsNothing
}

// respond records the response and reports whether the client is there to get it.
func (s *lifecycle) respond() (hasClient bool) {
	if s.isAbandoned() {
		s.setResponse(responseDiscarded)
		return false
	}
	s.setResponse(responseSent)
	return true
}

// abandon records that the client is gone; the request no longer waits for another's result.
func (s *lifecycle) abandon() {
	s.setResponse(clientGone)
	s.setAwaits(awaitsNothing)
}

// stop records a stop request.
func (s *lifecycle) stop() { s.setRun(runStopping) }

// endRun records the end of the run. After a stop request the run is stopped, as it could be resumed.
func (s *lifecycle) endRun() {
	if s.isStopRequested() {
		s.setRun(runStopped)
		return
	}
	s.setRun(runFinished)
}

// outcomeIsResponse reports whether the end of a run produces a response: a stop that was requested does not.
func (s *lifecycle) outcomeIsResponse(outcome admission.Outcome) bool {
	return outcome != admission.Stopped || !s.isStopRequested()
}
