// Package admission implements the admission control of one server: which requests are admitted, how long each may
// queue, when runs and calls start, which requests are shed or failed, and the health and overload state that is
// reported.
//
// A [Controller] owns this state: the admission queue, the runs and calls in progress, the idempotency table and the
// traffic measurements. [New] takes a [Deployment]. [Controller.Decide] takes a [Round], the input of one moment, and
// passes its decisions, in order, to a [Writer].
//
// Times and durations have the type [Time], in units of 0.1 ms of the caller's clock. Memory is in KB. Work is the
// time of a run on an idle core.
//
// Requests get run slots in the order in which they were read; with Pools, a request that may not start is passed by
// later ones. A slot is taken when a run starts, kept during its calls, and freed when its end is reported. The kernel
// is the process that executes the runs.
//
// These invariants hold after every round:
//   - there are no more runs in progress than the server recovers from, even if all return from their calls at once;
//   - accounted memory stays within the deployment's limit;
//   - calls in flight to a shared dependency stay within this server's call allowance, as an average and at any moment;
//   - a request that is not idempotent never runs while an earlier executed attempt with its key is known.
//
// The package reads no clock, socket or file, starts no goroutine, uses no randomness and keeps no reference to a
// Writer after Decide has returned. A Controller is not safe for concurrent use.
//
// Each rule is in the file named after it. docs/decisions.md lists the rules by the question that each answers.
package admission
