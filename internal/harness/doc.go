// Package harness runs the project's programs as processes on loopback under faults and load: control instances, nodes with emulated
// kernels and stores, callers, and forwarders that cut or slow what goes between them. It records what happened and holds it to
// the promises; with a guard taken out a promise has to break. Its runs are the commands below umberctl faulttest, and the local
// fleet and demo.
//
// It owns processes, stand-ins and faults, and ends what it started. No program that serves imports it, and nothing in it decides for
// one.
package harness
