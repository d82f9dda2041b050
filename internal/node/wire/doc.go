// Package wire parses and writes the platform's protocol: HTTP/1.1 with callers, lines of JSON with the kernel that
// runs requests, lines with the store that serves calls, and readiness reports to service discovery.
//
// It has no sockets, no clock and no state between calls. A parser gets all buffered bytes of a stream and returns the
// size of the first complete message, 0 while it is incomplete, so the result does not depend on how the stream is
// split. The fields that it returns are views into those bytes. A message larger than its Bounds is an error at once,
// which bounds the reader's buffer.
//
// Names of the protocol are used in this package only. They map to the program's terms as follows:
//
//	request field     Request                     meaning
//	Request-Id        ID                          16 hex digits
//	Account           Tenant
//	Once-Key          IdempotencyKey
//	Resource-Key      ResourceKey                 reads with the same key may share a result
//	Received-At       ReceivedAtMS                Unix time at the caller's proxy, ms
//	Budget-Ms         TimeoutMS, HasTimeout       the caller's timeout, from Received-At on, ms
//	Work-Estimate     ExpectedWorkMS              ms; 0 if absent
//	Sent-By           Caller, HasCaller
//	Attempt-Again     IsRetry
//	Footprint-Kb      FootprintKB                 memory held for the request, KiB
//	Priority-Rank     Priority                    0 to 1
//
//	response field    Response
//	Back-Off-Ms       RetryAfterMS                ms
//	Final-Refusal     NoRetry                     the caller must not try another server
//	Server-Hint       OverloadSignal, HasOverloadSignal
//
//	kernel's key      KernelEvent
//	verb, task        Kind, RunID
//	index, nonce      Sequence, Nonce
//	bytes, outcome    Body, Outcome
//	spent             RunMS                       ms
//	readings          Gauges, GaugeCount
//
//	store's keyword   CallOutcome
//	OK, BUSY, ERR     CallSucceeded, CallRejected, CallFailed
//	LATE, VOID        CallTimedOut, CallNotExecuted
//
//	condition         AppendReadinessReport
//	Ready, NotReady   ready
package wire
