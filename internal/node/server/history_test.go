package server

// A recorded history of requests, runs and drains, and the rules that every history has to satisfy.

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

type recordKind uint8

const (
	recordSent      recordKind = iota // a request was sent
	recordAnswered                    // its response was read
	recordEnded                       // its connection ended without a response
	recordAbandoned                   // its client closed the connection
	recordRun                         // a server's kernel got its run command
	recordDrain                       // a server got SIGTERM
	recordExit                        // a server exited
)

// record is an entry of a history.
type record struct {
	kind     recordKind
	at       time.Duration
	server   int // a process; a restart counts as another server
	id       string
	key      string // idempotency key; empty: none
	deadline time.Duration
	status   int
	body     string
}

// history collects records from concurrent clients and servers.
type history struct {
	mu        sync.Mutex
	startedAt time.Time
	records   []record
}

func (h *history) add(r record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.at = time.Since(h.startedAt)
	h.records = append(h.records, r)
}

// rules are the limits that a history has to satisfy.
type rules struct {
	maxLateness       time.Duration // a response may come this much after its deadline
	crossingGrace     time.Duration // a request sent this shortly before its connection ended may be lost
	idempotencyWindow time.Duration // a key runs at most once within it
	drainGrace        time.Duration // a request sent this long after SIGTERM may not run
	killDelay         time.Duration // from SIGTERM to the kill
}

// requestHistory is the history of one request.
type requestHistory struct {
	sent, ended                record
	answers                    []record
	abandoned, connectionEnded bool
	runs                       int
}

// violations returns a text for each violation of the rules.
func (h *history) violations(r rules) (out []string) {
	report := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	requests, order := map[string]*requestHistory{}, []string{}
	notices, exits := map[int]record{}, map[int]record{}
	ran := map[string]record{} // the last run of a key at a server
	for _, e := range h.records {
		q := requests[e.id]
		switch e.kind {
		case recordSent:
			requests[e.id] = &requestHistory{sent: e}
			order = append(order, e.id)
		case recordAnswered:
			q.answers = append(q.answers, e)
		case recordEnded:
			q.ended, q.connectionEnded = e, true
		case recordAbandoned:
			q.abandoned = true
		case recordDrain:
			notices[e.server] = e
		case recordExit:
			exits[e.server] = e
		case recordRun:
			if q == nil {
				report("request %s runs but was never sent", e.id)
				continue
			}
			if q.runs++; q.runs > 1 {
				report("request %s runs %d times, want at most 1", e.id, q.runs)
			}
			if n, ok := notices[e.server]; ok && q.sent.at > n.at+r.drainGrace {
				report("request %s was sent %v after SIGTERM and runs", e.id, q.sent.at-n.at)
			}
			if q.sent.key == "" {
				continue
			}
			name := fmt.Sprint(e.server, "/", q.sent.key)
			if last, ok := ran[name]; ok && q.sent.at < last.at+r.idempotencyWindow {
				report("key %s runs by request %s and again by request %s, sent %v later",
					q.sent.key, last.id, e.id, q.sent.at-last.at)
			}
			ran[name] = record{id: e.id, at: q.sent.at}
		}
	}
	for _, id := range order {
		requests[id].check(r, report)
	}
	for server, n := range notices {
		if x, ok := exits[server]; !ok || x.at > n.at+r.killDelay {
			report("server %d did not exit within %v of SIGTERM", server, r.killDelay)
		}
	}
	return out
}

// check applies the rules to one request: one response, in time.
func (q *requestHistory) check(r rules, report func(string, ...any)) {
	id := q.sent.id
	switch {
	case len(q.answers) > 1:
		report("request %s has %d responses, want 1", id, len(q.answers))
	case len(q.answers) == 1:
		a := q.answers[0]
		if a.at > q.sent.deadline+r.maxLateness {
			report("request %s is answered %v after its deadline", id, a.at-q.sent.deadline)
		}
		if (a.status == 429 || a.status == 503) && q.runs > 0 {
			report("request %s is rejected, but ran", id)
		}
		if a.status == 200 && a.body != resultOf(q.sent) {
			report("request %s has the result %q, want %q", id, a.body, resultOf(q.sent))
		}
	case q.abandoned:
	case !q.connectionEnded:
		report("request %s has no response", id)
	case q.runs > 0:
		report("request %s ran, and its connection ended without a response", id)
	case q.ended.at-q.sent.at > r.crossingGrace:
		report("request %s is lost: its connection ended %v after it was sent, without a response", id,
			q.ended.at-q.sent.at)
	}
}

// resultOf returns the result of a request's run, the same for all attempts of a key.
func resultOf(sent record) string {
	if sent.key != "" {
		return "result of " + sent.key
	}
	return "result of " + sent.id
}

// The checker finds each kind of violation and accepts correct histories.
func TestHistoryViolations(t *testing.T) {
	const ms = time.Millisecond
	r := rules{maxLateness: 50 * ms, crossingGrace: 50 * ms, idempotencyWindow: 800 * ms,
		drainGrace: 100 * ms, killDelay: 500 * ms}
	sent := func(id, key string, at time.Duration) record {
		return record{kind: recordSent, id: id, key: key, at: at, deadline: at + 100*ms}
	}
	run := func(id string, at time.Duration) record { return record{kind: recordRun, id: id, at: at} }
	answer := func(id string, status int, body string, at time.Duration) record {
		return record{kind: recordAnswered, id: id, status: status, body: body, at: at}
	}
	notice, exit := record{kind: recordDrain, at: 10 * ms}, record{kind: recordExit, at: 400 * ms}
	for name, c := range map[string]struct {
		records []record
		wrong   int
	}{
		"served":  {[]record{sent("1", "", 0), run("1", 1), answer("1", 200, "result of 1", 9*ms)}, 0},
		"shed":    {[]record{sent("1", "", 0), answer("1", 503, "", 9*ms)}, 0},
		"left":    {[]record{sent("1", "", 0), run("1", 1), {kind: recordAbandoned, id: "1", at: 5 * ms}}, 0},
		"crossed": {[]record{sent("1", "", 0), {kind: recordEnded, id: "1", at: 40 * ms}}, 0},
		"shared": {[]record{sent("1", "k", 0), run("1", 1), answer("1", 200, "result of k", 9*ms),
			sent("2", "k", 20*ms), answer("2", 200, "result of k", 21*ms)}, 0},
		"window over": {[]record{sent("1", "k", 0), run("1", 1), answer("1", 500, "", 9*ms), sent("2", "k", 900*ms),
			run("2", 901*ms), answer("2", 500, "", 950*ms)}, 0},
		"another process": {[]record{sent("1", "k", 0), run("1", 1), answer("1", 500, "", 9*ms), sent("2", "k", 90*ms),
			{kind: recordRun, id: "2", server: 1}, answer("2", 500, "", 95*ms)}, 0},
		"drained": {[]record{notice, sent("1", "", 50*ms), run("1", 300*ms),
			answer("1", 500, "", 120*ms), exit}, 0},
		"no answer":        {[]record{sent("1", "", 0)}, 1},
		"two answers":      {[]record{sent("1", "", 0), answer("1", 503, "", 9*ms), answer("1", 503, "", 10*ms)}, 1},
		"late":             {[]record{sent("1", "", 0), answer("1", 503, "", 151*ms)}, 1},
		"lost":             {[]record{sent("1", "", 0), {kind: recordEnded, id: "1", at: 51 * ms}}, 1},
		"lost after a run": {[]record{sent("1", "", 0), run("1", 1), {kind: recordEnded, id: "1", at: 9 * ms}}, 1},
		"refused and ran":  {[]record{sent("1", "", 0), run("1", 1), answer("1", 429, "", 9*ms)}, 1},
		"another's result": {[]record{sent("1", "", 0), answer("1", 200, "result of 2", 9*ms)}, 1},
		"run twice":        {[]record{sent("1", "", 0), run("1", 1), run("1", 2), answer("1", 500, "", 9*ms)}, 1},
		"key run twice": {[]record{sent("1", "k", 0), run("1", 1), answer("1", 500, "", 9*ms), sent("2", "k", 700*ms),
			run("2", 701*ms), answer("2", 500, "", 709*ms)}, 1},
		"unknown run": {[]record{run("1", 1)}, 1},
		"run past grace": {[]record{notice, sent("1", "", 111*ms), run("1", 112*ms),
			answer("1", 500, "", 120*ms), exit}, 1},
		"no exit":   {[]record{notice}, 1},
		"late exit": {[]record{notice, {kind: recordExit, at: 511 * ms}}, 1},
	} {
		h := &history{records: c.records}
		if found := h.violations(r); len(found) != c.wrong {
			t.Errorf("%s: violations = %q, want %d", name, found, c.wrong)
		}
	}
}
