package admission

// Reason is why a request got no result.
type Reason uint8

// Values of Reason. A request that never ran is shed (503) and may be tried elsewhere unless that is final: for
// ReasonQueueTimeout, ReasonMemory, ReasonStalled, ReasonDraining or ReasonDeadline. One that may have run fails (500):
// for ReasonDeadline, ReasonCallFailed, ReasonOriginalFailed, or ReasonMemory as a repeat of one that ran.
const (
	ReasonQueueTimeout   Reason = iota // it waited in the admission queue for as long as it may
	ReasonMemory                       // no memory for its run, or for its wait
	ReasonStalled                      // started work stands still
	ReasonDraining                     // the process can't finish it before it is killed
	ReasonDeadline                     // its deadline, or the kill, is near
	ReasonCallFailed                   // a call that it needs brought no result
	ReasonOriginalFailed               // the run of the request that it repeats failed
	reasons
)

var reasonNames = [reasons]string{"queue_timeout", "memory", "stalled", "draining", "deadline", "call_failed",
	"original_failed"}

// String gives the name of a reason as the log and docs/decisions.md have it.
func (r Reason) String() string {
	if r < reasons {
		return reasonNames[r]
	}
	return "unknown"
}
