package resultstore

import "fmt"

// Key identifies a request by a digest of its handler, its tenant and the caller's idempotency key.
type Key [16]byte

// State is the state of a key.
type State uint8

// The states of a key. From Running to ResultPending only the intent record is durable.
const (
	Unknown       State = iota // never seen, or its window is over
	IntentPending              // its intent is being written; it has not run
	Running                    // its intent is durable and it may run
	Indeterminate              // its intent is durable and its end is not: it may have run
	ResultPending              // it ran, and its end is being written
	Completed                  // it ran, and its result is durable
	Failed                     // it ran and failed, durably: retries get an error, as its effects are not undone
)

// stateNames are printed by `umberctl results` and part of its JSON output.
var stateNames = [...]string{"unknown", "intended", "started", "may have run", "ended", "done", "failed"}

// String returns the name of the state for operators.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// inFlight reports whether the key waits for the disk or runs in this process.
func (s State) inFlight() bool { return s == IntentPending || s == Running || s == ResultPending }

// Verdict is the decision on an attempt of a key.
type Verdict uint8

// The verdicts.
const (
	Execute        Verdict = iota // the key is unknown: it may run once its intent is durable
	WaitForResult                 // the key is in flight: this attempt gets the same result
	ReturnResult                  // return the stored result
	ReturnError                   // the key ran or may have run, and there is no result
	RejectMismatch                // the key ran or may have run with another body: rejected for good
	RejectFull                    // no room for the records of another run: retry later
	RejectConflict                // the key is in flight with another body: retry later
)

var verdictNames = [...]string{"execute", "wait for result", "return result", "return error", "reject mismatch",
	"reject full", "reject conflict"}

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict %d", uint8(v))
}
