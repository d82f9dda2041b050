package resultstore

import "fmt"

// Key names a request with an idempotency key: a digest of handler, tenant and the caller's own key.
type Key [16]byte

// State is what is known of a key.
type State uint8

// The states. Between IntentPending and the next one the node may die at any instruction: what is durable then is the
// intent record.
const (
	Unknown       State = iota // never seen, or its window is over
	IntentPending              // its intent is on the way to the disk: it has not run
	Running                    // its intent is durable, and it was let run since the process started
	Indeterminate              // its intent is durable, from before a restart: it may have run
	ResultPending              // it ran, and its result is on the way to the disk
	Completed                  // it ran, and its result is durable
	Failed                     // it ran to an error, durable: repeats get an error, as what it did is not undone
)

// stateNames are what operators see: `umberctl results` prints them.
var stateNames = [...]string{"unknown", "intended", "started", "may have run", "ended", "done", "failed"}

// String names the state, for operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// inFlight tells whether the key is on its way since the process started.
func (s State) inFlight() bool { return s == IntentPending || s == Running || s == ResultPending }

// Verdict is what an attempt of a key gets.
type Verdict uint8

// The verdicts.
const (
	Execute        Verdict = iota // nothing is known of the key: it may run once its intent is durable
	WaitForResult                 // it is in flight: its result answers this attempt too
	ReturnResult                  // its stored result is the answer
	ReturnError                   // it ran or may have run, and there is no result
	RejectMismatch                // the key ran with another body: nothing runs, and the result stays the first one's
	RejectFull                    // there is no room for what a run may leave: to be retried later
	RejectConflict                // the key is in flight with another body: to be retried later
)

var verdictNames = [...]string{"execute", "wait for result", "return result", "return error", "reject mismatch",
	"reject full", "reject conflict"}

// String names the verdict, for logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}
