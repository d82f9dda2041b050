// Package harness runs the project's programs as processes on loopback, under faults and load: control instances,
// nodes with emulated kernels and stores, callers, and forwarders that cut, drop and delay what goes between them.
// What the processes logged and what callers got is read into a history, and checkers hold that to the promises.
// With a guard taken out of the programs, a promise has to break: that shows that the checks see what they are for.
// Its runs are the commands below umberctl faulttest, the local fleet and the demo.
//
// A run owns its processes, emulated services, forwarders and faults, and has ended them all when it returns, also
// where its context was cancelled. No serving program imports the package, and it takes no decision for one.
package harness
