package admission

// Reason states why a request got no result.
type Reason uint8

// Values of Reason. A request that never ran is shed (503), and may be retried at another server unless the rejection
// is final: for ReasonQueueTimeout, ReasonMemory, ReasonStalled, ReasonDraining or ReasonDeadline. A request that may
// have run fails (500): for ReasonDeadline, ReasonCallFailed, ReasonOriginalFailed, or ReasonMemory if it repeats one
// that may have run.
const (
	ReasonQueueTimeout   Reason = iota // waited in the admission queue until its queue timeout
	ReasonMemory                       // no memory for its run or its wait
	ReasonStalled                      // runs in progress make no progress
	ReasonDraining                     // would not finish before the process is killed
	ReasonDeadline                     // its deadline, or the kill of the process, is near
	ReasonCallFailed                   // a required call had no result
	ReasonOriginalFailed               // the run of its original failed
	reasons
)

var reasonNames = [reasons]string{"queue_timeout", "memory", "stalled", "draining", "deadline", "call_failed",
	"original_failed"}

// String returns the name of a reason used in the log and in docs/decisions.md.
func (r Reason) String() string {
	if r < reasons {
		return reasonNames[r]
	}
	return "unknown"
}
