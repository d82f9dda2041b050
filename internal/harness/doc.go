// Package harness runs the project's programs as processes on loopback addresses, under faults and load: control
// instances, nodes with emulated kernels and stores, callers, and forwarders that cut, drop and delay traffic
// between them. It reads a history from the processes' logs and the callers' responses, and checks the history
// against invariants. With a guard disabled in the programs an invariant has to be violated: that shows that the
// checks can detect the failure. The commands below umberctl faulttest, the local fleet and the demo run it.
//
// A run owns its processes, emulated services, forwarders and faults, and has ended them all when it returns, also
// when its context is cancelled. No serving program depends on the package for a decision.
package harness
