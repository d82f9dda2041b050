// Package simulator hosts the instances of one adapter process: events of the simulator's wire become rounds of the
// decision module, one a frame and instance, and its decisions become the actions of the reply.
//
// An instance knows nothing of another. Nothing about a request is decided here. Times of the simulator are
// microseconds; the module's are tenths of a millisecond (admission.Time), rounded down.
package simulator
