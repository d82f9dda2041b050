package server

import "github.com/sirupsen/logrus"

// Counters are what the node took in, sent and answered since its start, logged at the end and on SIGUSR1. Only the
// loop counts, so they need no lock, and nothing is decided by them. Beside them stands what is held at that moment:
// all requests that were taken in hand (Reqs) are done, shed, errored, gone or in hand, and all runs have ended or are
// running, so that a gap shows. What is rejected before it is taken in hand is in Reqs nowhere: of that, Shed counts
// requests for which no buffer was free, FenceShed and Turned those of fencing and of the zone's quota.
type Counters struct {
	Conns, Reqs, Checks, Bad, Again        uint64 // taken in
	Done, Shed, Errored, Shared            uint64 // answered; Shared, with another's result, is a part of Done
	Gone, Late                             uint64 // abandoned by their client; answered after their deadline
	Runs, Ends, Pauses                     uint64
	Calls, CallsOK, CallsUnrun, CallsOther uint64
	Skips, Dropped                         uint64
	KernelLinks, StoreLinks, ControlLinks  uint64
	WiresLost, Strays                      uint64 // store connections lost with calls out; replies to no call
	Reloads                                uint64
	Silent, Evicted                        uint64 // connections closed: nothing complete in time; to make room
	Resent, Refused                        uint64 // kernel commands sent again, and not carried out
	Reports, ReportsLost                   uint64
	Versions, Fenced, FenceShed, FleetLost uint64 // versions adopted; times fenced, requests shed then; heartbeats lost
	Turned                                 uint64 // rejected by the zone's quota
	ClockSteps                             uint64 // of the wall clock
	Rounds, Wakes, Ungauged, Slow          uint64 // Slow: rounds that began over 10 ms after their time
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
		"report_age_ms": milliseconds(l.now - l.discovery.lastReport),
		"conns":         c.Conns, "reqs": c.Reqs, "checks": c.Checks, "bad": c.Bad, "again": c.Again,
		"done": c.Done, "shed": c.Shed, "errored": c.Errored, "shared": c.Shared, "gone": c.Gone, "late": c.Late,
		"runs": c.Runs, "ends": c.Ends, "pauses": c.Pauses, "calls": c.Calls, "calls_ok": c.CallsOK,
		"calls_unrun": c.CallsUnrun, "calls_other": c.CallsOther, "skips": c.Skips, "dropped": c.Dropped,
		"kernel_links": c.KernelLinks, "store_links": c.StoreLinks, "control_links": c.ControlLinks,
		"wires_lost": c.WiresLost, "strays": c.Strays, "reloads": c.Reloads, "silent": c.Silent,
		"evicted": c.Evicted, "resent": c.Resent, "refused": c.Refused, "reports": c.Reports,
		"reports_lost": c.ReportsLost, "clock_steps": c.ClockSteps, "rounds": c.Rounds,
		"wakes": c.Wakes, "ungauged": c.Ungauged, "slow": c.Slow}
	if f := l.fleet; f != nil {
		out["version"], out["fenced"], out["alone"] = f.agent.ActiveVersion(), f.fenced, f.autonomous
		out["versions"], out["times_fenced"], out["fence_shed"], out["fleet_lost"] = c.Versions, c.Fenced, c.FenceShed,
			c.FleetLost
		out["zone_epoch"], out["zone_share"], out["zone_turned"] = f.gate.Epoch(), f.gate.Share(), c.Turned
	}
	l.results.addCounters(out)
	return out
}
