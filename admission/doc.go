// Package admission decides what one server does with its requests: which it admits, how long each may wait, when it
// runs and calls the services below, which it rejects or fails, and what callers and health checks are told.
//
// A [Controller] owns all of this state for one server: the admission queue, the runs and calls in flight, the
// idempotency table, and what it has measured of its traffic. [New] takes a [Deployment]; [Controller.Decide] takes a
// [Round], which is all that came in at one moment, and writes its decisions, in order, into a [Writer].
//
// Times and spans are of type [Time], in tenths of a millisecond, by the caller's clock. Memory is in KB, work in the
// time of a run on an idle core.
//
// Requests get run slots in arrival order. A slot is taken when a run starts, kept through the calls that it makes, and
// freed when its end is reported. These hold after every round:
//   - no more runs are in progress than the server survives, also if all of them leave their calls at once;
//   - the account of memory stays within the deployment's;
//   - the calls in flight to a shared dependency stay within this server's allowance, in the mean and at any moment;
//   - a request that must run once never runs while an earlier attempt with its key that ran is known.
//
// The package never reads a clock, a socket or a file, starts no goroutine, has no source of chance and keeps no
// reference to a Writer after Decide has returned. A Controller is for one goroutine.
//
// Each rule stands in the file of its name. docs/decisions.md lists them by the question that each answers.
package admission
