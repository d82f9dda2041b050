package server

import (
	"runtime/metrics"

	"github.com/sirupsen/logrus"
)

// Counters count what the node received, sent and answered since its start; they are logged at exit and on SIGUSR1.
// Only the loop touches them, and no decision depends on them. Each request in Requests is succeeded, rejected, failed,
// abandoned or in progress; one whose run outlasts its response counts as two of them. Each run has ended or is in
// progress.
//
// Requests rejected before they enter the request table are not in Requests. Of those, Rejected counts the ones that
// got no buffer, RejectedFenced those rejected by fencing, RejectedByZone those over the zone's quota, and BadRequests
// those answered 400; other reasons have no counter. Operators and scripts use the names that counterFields gives.
type Counters struct {
	// Received.
	Connections, Requests, HealthChecks, BadRequests, Retries uint64
	// Answered. SharedResults, a part of Succeeded, got the result of the request that they repeat.
	Succeeded, Rejected, Failed, SharedResults uint64
	// Abandoned by their client; answered after their deadline.
	Abandoned, AnsweredLate uint64

	Runs, RunEnds                                        uint64
	RunsStopped                                          uint64 // runs that the controller stopped
	Calls, CallsSucceeded, CallsNotExecuted, CallsFailed uint64 // CallsFailed: also those that may have been executed
	CallsSkipped, CallsCancelled                         uint64

	KernelLinks, StoreLinks, DiscoveryLinks uint64 // opened
	StoreConnectionsLost                    uint64 // while calls were sent on them or queued for them
	StrayReplies                            uint64 // replies that match no call
	CommandsResent, CommandsRefused         uint64 // to the kernel
	CommandsDelayed                         uint64 // until the kernel had responded to earlier ones
	CommandsInDoubt                         uint64 // that the kernel may or may not have read before its link ended
	AcknowledgedLost                        uint64 // not read although a later gauges request had been answered
	Reports, ReportsLost                    uint64 // to service discovery

	ClosedSilent, Evicted uint64 // connections: without a complete message in time; evicted
	Reloads               uint64

	VersionsAdopted, HeartbeatsLost             uint64
	TimesFenced, RejectedFenced, RejectedByZone uint64

	ClockSteps                                         uint64 // of the wall clock
	Rounds, WakeUps, WakeUpsWithoutGauges, LateWakeUps uint64 // LateWakeUps: more than lateWakeUp after they were due
}

// heapKB returns the memory of objects on the Go heap, live or not swept yet, in KiB.
func heapKB() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64() >> 10
}

// counterFields returns the counters and the current sizes of tables, under the names known to operators.
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
	fields := logrus.Fields{"in_hand": l.requests.used, "running": runs, "calls_out": calls,
		"conns_open": l.connections.used, "wires_open": l.store.connections.used, "keys": l.idempotency.entries.used,
		"buffers": l.pool.used(), "heap_kb": heapKB(),
		"report_age_ms": milliseconds(l.now - l.discovery.lastReport), "conns": c.Connections, "reqs": c.Requests,
		"checks": c.HealthChecks, "bad": c.BadRequests, "again": c.Retries, "done": c.Succeeded, "shed": c.Rejected,
		"errored": c.Failed, "shared": c.SharedResults, "gone": c.Abandoned, "late": c.AnsweredLate, "runs": c.Runs,
		"ends": c.RunEnds, "pauses": c.RunsStopped, "calls": c.Calls, "calls_ok": c.CallsSucceeded,
		"calls_unrun": c.CallsNotExecuted, "calls_other": c.CallsFailed, "skips": c.CallsSkipped,
		"dropped": c.CallsCancelled, "kernel_links": c.KernelLinks, "store_links": c.StoreLinks,
		"control_links": c.DiscoveryLinks, "wires_lost": c.StoreConnectionsLost, "strays": c.StrayReplies,
		"reloads": c.Reloads, "silent": c.ClosedSilent, "evicted": c.Evicted, "resent": c.CommandsResent,
		"delayed": c.CommandsDelayed, "refused": c.CommandsRefused, "in_doubt": c.CommandsInDoubt,
		"acked_lost": c.AcknowledgedLost, "reports": c.Reports, "reports_lost": c.ReportsLost,
		"clock_steps": c.ClockSteps, "rounds": c.Rounds, "wakes": c.WakeUps, "ungauged": c.WakeUpsWithoutGauges,
		"slow": c.LateWakeUps}
	if f := l.fleet; f != nil {
		fields["version"], fields["fenced"], fields["alone"] = f.agent.ActiveVersion(), f.fenced, f.autonomous
		fields["versions"], fields["times_fenced"], fields["fence_shed"] = c.VersionsAdopted, c.TimesFenced,
			c.RejectedFenced
		fields["fleet_lost"] = c.HeartbeatsLost
		fields["zone_epoch"], fields["zone_share"], fields["zone_turned"] = f.gate.Epoch(), f.gate.Share(),
			c.RejectedByZone
	}
	l.results.addCounters(fields)
	return fields
}
