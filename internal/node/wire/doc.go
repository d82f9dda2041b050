// Package wire parses and writes the platform's protocol: HTTP/1.1 with callers, lines of JSON with the kernel that
// runs requests, lines with the store that serves calls, and readiness reports to service discovery.
//
// It has no socket, no clock and no state between calls. A parser takes all the bytes at hand and says how many a
// complete message took, 0 while it is incomplete, so that the messages are the same however the bytes were split.
// What it returns are views into those bytes. A message past its Bounds is an error at once, so that nobody can make a
// reader buffer without end.
//
// The protocol's own names stop at this package. They are mapped to the terms that the program uses here, once:
//
//	request field     Request                     what it is
//	Request-Id        ID                          16 hex digits
//	Account           Tenant
//	Once-Key          IdempotencyKey
//	Resource-Key      ResourceKey                 reads with the same one may share a result
//	Received-At       ReceivedAtMS                Unix time at the caller's proxy, ms
//	Budget-Ms         TimeoutMS, HasTimeout       how long the caller waits from then on, ms
//	Work-Estimate     ExpectedWorkMS              ms; 0 where it isn't stated
//	Sent-By           Caller, HasCaller
//	Attempt-Again     IsRetry
//	Footprint-Kb      FootprintKB                 memory held for the request, KiB
//	Priority-Rank     Priority                    0 to 1
//
//	response field    Response
//	Back-Off-Ms       RetryAfterMS                ms
//	Final-Refusal     NoRetry                     no other server is to be tried
//	Server-Hint       OverloadSignal, HasOverloadSignal
//
//	kernel's key      KernelEvent
//	verb, task        Kind, RunID
//	index, nonce      Sequence, Nonce
//	bytes, outcome    Body, Outcome
//	spent             RunMS                       ms
//	readings          Gauges, GaugeCount
//
//	store's word      CallOutcome
//	OK, BUSY, ERR     CallSucceeded, CallRejected, CallFailed
//	LATE, VOID        CallTimedOut, CallNotExecuted
//
//	discovery's word  AppendReadinessReport
//	Ready, NotReady   ready
package wire
