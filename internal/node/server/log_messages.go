package server

import "umberwinch/admission"

// Messages of the loop's log lines; their values are fields.
const (
	logCounters              = "counters"
	logKernelUp              = "kernel is up"
	logLinkLost              = "a link ended"
	logStoreConnectionLost   = "a connection to the store ended with calls out"
	logBadRequest            = "bad request"
	logClockStepped          = "the wall clock was stepped; times are measured without it"
	logStartupFileRejected   = "start-up file not taken, the old one stays"
	logStartupKeysKept       = "start-up file: some keys can't change while the program serves and stay as they were"
	logPoolStatus            = "pool status"
	logNodeStarts            = "node starts"
	logListenFailed          = "the address can't be listened on, and is tried again"
	logAcceptFailed          = "a connection can't be accepted"
	logConnectionUnreadable  = "a connection can't be read"
	logConnectionTableFull   = "no room in the table for a connection"
	logReportRejected        = "service discovery rejected a report"
	logCommandRejected       = "kernel refused a command"
	logKernelEventUnnumbered = "kernel sent an event without a number: it is passed over"
	logKernelEventMissing    = "an event of the kernel is missing: the link is opened anew"
	logKernelEventsLost      = "kernel no longer has events that were missed"
	logLinkMoved             = "a link goes to another address"
	logLinesDropped          = "more lines were left out"
	logStartupFileTaken      = "start-up file taken"
	logFleetSectionKept      = "operator's file: [fleet] can't change while the program serves and stays as it was"
	logResultSectionKept     = "operator's file: [kept] can't change while the program serves and stays as it was"
	logPoolsMade             = "pools are on"
	logPoolsChanged          = "operator's file taken"
	logPoolsNeedRestart      = "operator's file: pools can't be begun while the program serves; restart it"
)

// outcomeNames are how ends of runs and calls are logged.
var outcomeNames = map[admission.Outcome]string{
	admission.Succeeded:   "succeeded",
	admission.Failed:      "failed",
	admission.NotExecuted: "not executed",
	admission.Unknown:     "unknown",
	admission.Stopped:     "stopped",
	admission.Superseded:  "superseded",
}

// traceStep is the message of a debug line about one request: the step that it has come to.
type traceStep string

const (
	traceArrived      traceStep = "arrived"
	traceRejected     traceStep = "rejected on arrival"
	traceIntent       traceStep = "intent on its way"
	traceRun          traceStep = "run"
	traceStopped      traceStep = "stop"
	traceCallAsked    traceStep = "asks for a call"
	traceCallStarted  traceStep = "call started"
	traceCallEnded    traceStep = "call ended"
	traceRunEnded     traceStep = "run ended"
	traceShed         traceStep = "shed"
	traceFailed       traceStep = "failed"
	traceAnswered     traceStep = "answer"
	traceClientIsGone traceStep = "gone"
)
