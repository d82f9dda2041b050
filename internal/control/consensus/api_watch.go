package consensus

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// watch streams versions in order, a line each, from a number on. A watcher that went away names the next
// number wherever it comes back, so it misses none and gets none twice.
func (a *API) getWatch(w http.ResponseWriter, r *http.Request) {
	v := a.group.View()
	from, err := number(r, "from", v.Version+1)
	if err != nil {
		a.failWith(w, err)
		return
	}
	if from == 0 || from < v.FirstVersion {
		a.fail(w, http.StatusGone, fmt.Errorf("from version %d, expected %d or later: older ones are not kept",
			from,
			v.FirstVersion))
		return
	}
	if a.watchers.Add(1) > maxWatchers {
		a.watchers.Add(-1)
		a.fail(w, http.StatusServiceUnavailable, fmt.Errorf("%d watchers, expected at most %d", maxWatchers+1,
			maxWatchers))
		return
	}
	defer a.watchers.Add(-1)
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Time{})
	w.Header().Set("Content-Type", "application/jsonl")
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		rc.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
		v = a.group.View()
		if from < v.FirstVersion { // it fell behind what is kept: it has to begin anew
			return
		}
		sent := false
		for ; from <= v.Version; from++ {
			if _, err := w.Write(append(v.VersionJSON(from)[:len(v.VersionJSON(from)):len(v.VersionJSON(from))], '\n')); err != nil {
				return
			}
			rc.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
			sent = true
		}
		if sent {
			if rc.Flush() != nil {
				return
			}
			beat.Reset(watchHeartbeat)
		}
		select {
		case <-v.Superseded:
		case <-beat.C:
			line, err := json.Marshal(Heartbeat{true, v.SinceLeader().Milliseconds(), v.OutOfContact()})
			if err != nil {
				return
			}
			if _, err = w.Write(append(line, '\n')); err != nil || rc.Flush() != nil {
				return
			}
			beat.Reset(watchHeartbeat)
		case <-r.Context().Done():
			return
		case <-a.stopping.Done():
			return
		case <-a.group.Done():
			return
		}
	}
}
