package server

import "github.com/sirupsen/logrus"

// Counters are what the node took in, sent and answered since its start, logged at the end and on SIGUSR1. Only the
// loop counts, so they need no lock, and nothing is decided by them. Beside them stands what is held at that moment,
// so that a gap shows: each request taken in hand (Requests) is at least one of succeeded, rejected, failed, abandoned
// or in hand, and one whose run outlasts its answer is two of them; each run has ended or is running. Requests rejected
// before they are taken in hand are not in Requests: of those, Rejected counts the ones for which no buffer was free,
// RejectedFenced those of fencing, RejectedByZone those of the zone's quota, BadRequests those answered 400; the
// other reasons have no counter. Operators know the counters by the names that counterFields gives, which stay as
// they were.
type Counters struct {
	// Taken in.
	Connections, Requests, HealthChecks, BadRequests, Retries uint64
	// Answered; those with another's result are a part of the succeeded.
	Succeeded, Rejected, Failed, SharedResults uint64
	// Abandoned by their client; answered after their deadline.
	Abandoned, AnsweredLate uint64

	Runs, RunEnds                                        uint64
	Pauses                                               uint64 // runs told to stop
	Calls, CallsSucceeded, CallsNotExecuted, CallsFailed uint64 // failed: or it is unknown whether they were executed
	CallsSkipped, CallsCancelled                         uint64

	KernelLinks, StoreLinks, DiscoveryLinks uint64 // opened
	StoreConnectionsLost                    uint64 // with calls out, or waiting for it to open
	StrayReplies                            uint64 // to no call
	CommandsResent, CommandsRefused         uint64 // of the kernel's
	Reports, ReportsLost                    uint64 // to service discovery

	ClosedSilent, ClosedForRoom uint64 // connections: nothing complete in time; to make room
	Reloads                     uint64

	VersionsAdopted, HeartbeatsLost             uint64
	TimesFenced, RejectedFenced, RejectedByZone uint64

	ClockSteps                                         uint64 // of the wall clock
	Rounds, WakeUps, WakeUpsWithoutGauges, LateWakeUps uint64 // late: over 10 ms after their time
}

// counterFields are the counters and what is held, under the names by which operators know them.
func (l *loop) counterFields() logrus.Fields {
	c := &l.counters
	runs, calls := 0, 0
	for h, i := l.requests.next(0); h != 0; h, i = l.requests.next(i) {
		r := l.requests.get(h)
		if r.isRunning() {
			runs++
		}
		if r.call != callNone {
			calls++
		}
	}
	out := logrus.Fields{"in_hand": l.requests.used, "running": runs, "calls_out": calls,
		"conns_open": l.connections.used, "wires_open": l.store.connections.used, "keys": l.idempotency.entries.used,
		"report_age_ms": milliseconds(l.now - l.discovery.lastReport), "conns": c.Connections, "reqs": c.Requests,
		"checks": c.HealthChecks, "bad": c.BadRequests, "again": c.Retries, "done": c.Succeeded, "shed": c.Rejected,
		"errored": c.Failed, "shared": c.SharedResults, "gone": c.Abandoned, "late": c.AnsweredLate, "runs": c.Runs,
		"ends": c.RunEnds, "pauses": c.Pauses, "calls": c.Calls, "calls_ok": c.CallsSucceeded,
		"calls_unrun": c.CallsNotExecuted, "calls_other": c.CallsFailed, "skips": c.CallsSkipped,
		"dropped": c.CallsCancelled, "kernel_links": c.KernelLinks, "store_links": c.StoreLinks,
		"control_links": c.DiscoveryLinks, "wires_lost": c.StoreConnectionsLost, "strays": c.StrayReplies,
		"reloads": c.Reloads, "silent": c.ClosedSilent, "evicted": c.ClosedForRoom, "resent": c.CommandsResent,
		"refused": c.CommandsRefused, "reports": c.Reports, "reports_lost": c.ReportsLost,
		"clock_steps": c.ClockSteps, "rounds": c.Rounds, "wakes": c.WakeUps, "ungauged": c.WakeUpsWithoutGauges,
		"slow": c.LateWakeUps}
	if f := l.fleet; f != nil {
		out["version"], out["fenced"], out["alone"] = f.agent.ActiveVersion(), f.fenced, f.autonomous
		out["versions"], out["times_fenced"], out["fence_shed"] = c.VersionsAdopted, c.TimesFenced, c.RejectedFenced
		out["fleet_lost"] = c.HeartbeatsLost
		out["zone_epoch"], out["zone_share"], out["zone_turned"] = f.gate.Epoch(), f.gate.Share(), c.RejectedByZone
	}
	l.results.addCounters(out)
	return out
}
