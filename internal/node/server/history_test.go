package server

// A recorded history of requests, runs and notices, and what has to hold of any.

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

type recordKind uint8

const (
	recordSent      recordKind = iota // a request's last byte was written
	recordAnswered                    // its answer was read whole
	recordEnded                       // its connection ended with no answer
	recordAbandoned                   // its client closed the connection
	recordRun                         // a server's kernel was told to run it
	recordDrain                       // a server was told to drain
	recordExit                        // it ended
)

// record is one entry of a history.
type record struct {
	kind     recordKind
	at       time.Duration
	server   int // a process; one that is started anew is another
	id       string
	key      string // with the tenant; empty: it has none
	deadline time.Duration
	status   int
	body     string
}

// history gathers records from all sides.
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

// rules are the figures that a history is held to.
type rules struct {
	maxLateness       time.Duration // answers may come so much after they were due
	crossingGrace     time.Duration // a request that crosses its connection's end so closely is sent again by its client
	idempotencyWindow time.Duration // no key runs twice within it
	drainGrace        time.Duration // nothing that came so long after the notice runs
	killDelay         time.Duration // the kill comes so long after the notice
}

// requestHistory is what a history says of one id.
type requestHistory struct {
	sent, ended                record
	answers                    []record
	abandoned, connectionEnded bool
	runs                       int
}

// violations gives what in a history breaks a rule.
func (h *history) violations(r rules) (out []string) {
	say := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
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
				say("%s runs, which nobody sent", e.id)
				continue
			}
			if q.runs++; q.runs > 1 {
				say("%s runs %d times", e.id, q.runs)
			}
			if n, ok := notices[e.server]; ok && q.sent.at > n.at+r.drainGrace {
				say("%s came %v after the notice and runs", e.id, q.sent.at-n.at)
			}
			if q.sent.key == "" {
				continue
			}
			name := fmt.Sprint(e.server, "/", q.sent.key)
			if last, ok := ran[name]; ok && q.sent.at < last.at+r.idempotencyWindow {
				say("key %s runs by %s and again by %s, which came %v later",
					q.sent.key, last.id, e.id, q.sent.at-last.at)
			}
			ran[name] = record{id: e.id, at: q.sent.at}
		}
	}
	for _, id := range order {
		requests[id].check(r, say)
	}
	for server, n := range notices {
		if x, ok := exits[server]; !ok || x.at > n.at+r.killDelay {
			say("server %d did not end within %v of its notice", server, r.killDelay)
		}
	}
	return out
}

// check holds one request to its one answer in time.
func (q *requestHistory) check(r rules, say func(string, ...any)) {
	id := q.sent.id
	switch {
	case len(q.answers) > 1:
		say("%s has %d answers", id, len(q.answers))
	case len(q.answers) == 1:
		a := q.answers[0]
		if a.at > q.sent.deadline+r.maxLateness {
			say("%s is answered %v after it was due", id, a.at-q.sent.deadline)
		}
		if (a.status == 429 || a.status == 503) && q.runs > 0 {
			say("%s is refused, and ran", id)
		}
		if a.status == 200 && a.body != resultOf(q.sent) {
			say("%s is served with %q, expected %q", id, a.body, resultOf(q.sent))
		}
	case q.abandoned:
	case !q.connectionEnded:
		say("%s has no answer", id)
	case q.runs > 0:
		say("%s ran and its connection ended with no answer", id)
	case q.ended.at-q.sent.at > r.crossingGrace:
		say("%s is lost: its connection ended %v after it was sent, with no answer", id, q.ended.at-q.sent.at)
	}
}

// resultOf is what a run of a request gives: the same for all tries of a key.
func resultOf(sent record) string {
	if sent.key != "" {
		return "result of " + sent.key
	}
	return "result of " + sent.id
}

// The checker finds each kind of wrong history, and passes a right one.
func TestHistoryChecker(t *testing.T) {
	const ms = time.Millisecond
	r := rules{maxLateness: 50 * ms, crossingGrace: 50 * ms, idempotencyWindow: 800 * ms, drainGrace: 100 * ms, killDelay: 500 * ms}
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
			t.Errorf("%s: found %q, expected %d", name, found, c.wrong)
		}
	}
}
