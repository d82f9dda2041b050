package admission

// state is where a request stands in its life cycle.
type state uint8

const (
	received       state = iota // read, not yet admitted
	queued                      // in the admission queue
	running                     // on the cores
	awaitingCall                // its run came to a call that is not made yet
	inCall                      // its call is in flight
	awaitingResult              // takes the response of another request
	finished                    // only its entry of the idempotency table, or its record, is left
	states
)

// transitions lists the states that may follow each state. A run that ends or fails in any of its three states is
// finished once its end is reported: until then it keeps its slot.
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
func (r *record) enter(next state) {
	if onTransition != nil {
		onTransition(r.state, next)
	}
	r.state = next
}

// onTransition is set by tests that hold the life cycle to transitions.
var onTransition func(from, to state)
