package server

// Messages of the loop's log lines; their values are fields. Lines that a scenario reads by their text keep it.
const (
	logNodeStarts           = "node starts"
	logListenFailed         = "the address can't be listened on, and is tried again"
	logAcceptFailed         = "a connection can't be accepted"
	logConnectionUnreadable = "a connection can't be read"
	logConnectionTableFull  = "no room in the table for a connection"
	logReportRejected       = "service discovery rejected a report"
	logCommandRefused       = "kernel refused a command"
	logKernelEventUnknown   = "kernel sent an event that is not known"
	logKernelEventMissing   = "an event of the kernel is missing: the link is opened anew"
	logKernelEventsLost     = "kernel no longer has events that were missed"
	logLinkMoved            = "a link goes to another address"
	logLinesLeftOut         = "more lines were left out"
	logStartupFileTaken     = "start-up file taken"
	logFleetSectionKept     = "operator's file: [fleet] can't change while the program serves and stays as it was"
	logResultSectionKept    = "operator's file: [kept] can't change while the program serves and stays as it was"
	logPoolsMade            = "pools are on"
	logPoolsChanged         = "operator's file taken"
	logPoolsNeedRestart     = "operator's file: pools can't be begun while the program serves; restart it"
)
