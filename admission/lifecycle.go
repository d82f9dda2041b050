package admission

// state is the state of a request in its life cycle.
type state uint8

const (
	received       state = iota // read, not yet admitted
	queued                      // in the admission queue
	running                     // its run is on the cores
	awaitingCall                // its run awaits a call that has not started
	inCall                      // its call is in flight
	awaitingResult              // awaits the response of another request
	finished                    // only its entry in the idempotency table or its record remains
	states
)

// transitions lists the possible next states of each state. A request that fails during its run stays in its state,
// and keeps its slot, until the end of the run is reported.
var transitions = [states][]state{
	received:       {queued, awaitingResult, finished}, // admitted; a repeat; shed
	queued:         {running, awaitingResult, finished},
	running:        {awaitingCall, finished},
	awaitingCall:   {inCall, running, finished}, // running: the call is skipped
	inCall:         {awaitingCall, running, finished},
	awaitingResult: {finished},
	finished:       {},
}

// enter moves a request to its next state.
func (r *requestRecord) enter(next state) {
	if onTransition != nil {
		onTransition(r.state, next)
	}
	r.state = next
}

// onTransition, if set by a test, is called before each transition.
var onTransition func(from, to state)
