package server

import "umberwinch/admission"

// Log messages of the loop. Values are in the fields of a line.
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
	logListenFailed          = "listening failed, will retry"
	logAcceptFailed          = "accepting a connection failed"
	logConnectionUnreadable  = "reading a connection failed"
	logConnectionTableFull   = "connection table is full"
	logReportRejected        = "service discovery rejected a report"
	logCommandRejected       = "kernel rejected a command as invalid"
	logKernelEventUnnumbered = "kernel sent an event without a sequence number: ignored"
	logKernelEventMissing    = "kernel events are missing: the link is reopened"
	logKernelEventsLost      = "kernel no longer has the missed events"
	logLinkAddressChanged    = "the address of a link changed"
	logLinesDropped          = "log lines dropped by the rate limit"
	logStartupFileTaken      = "start-up file taken"
	logFleetSectionKept      = "operator's file: a change of [fleet] needs a restart and is ignored"
	logResultSectionKept     = "operator's file: a change of [kept] needs a restart and is ignored"
	logPoolsEnabled          = "pools are on"
	logPoolsChanged          = "operator's file taken"
	logPoolsNeedRestart      = "operator's file: enabling pools needs a restart"
)

// outcomeNames are the names of outcomes of runs and calls in log lines.
var outcomeNames = map[admission.Outcome]string{
	admission.Succeeded:   "succeeded",
	admission.Failed:      "failed",
	admission.NotExecuted: "not executed",
	admission.Unknown:     "unknown",
	admission.Stopped:     "stopped",
	admission.Superseded:  "superseded",
}

// traceStep is the message of a debug line about one request: its current step.
type traceStep string

const (
	traceArrived      traceStep = "arrived"
	traceRejected     traceStep = "rejected on arrival"
	traceIntent       traceStep = "intent record sent to the disk"
	traceRun          traceStep = "run"
	traceStopped      traceStep = "stop"
	traceResent       traceStep = "command sent again"
	traceSentLate     traceStep = "command sent late"
	traceCallAsked    traceStep = "call asked"
	traceCallStarted  traceStep = "call started"
	traceCallEnded    traceStep = "call ended"
	traceRunEnded     traceStep = "run ended"
	traceShed         traceStep = "shed"
	traceFailed       traceStep = "failed"
	traceAnswered     traceStep = "answer"
	traceClientIsGone traceStep = "gone"
)
