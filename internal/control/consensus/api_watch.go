package consensus

import (
	"encoding/json"
	"net/http"
	"time"
)

// getWatch streams versions in order, one line each, starting at a number. A watcher that reconnects, to any instance,
// names the next number, so it misses no version and gets none twice.
func (a *API) getWatch(w http.ResponseWriter, r *http.Request) {
	v := a.group.View()
	from, err := queryUint(r, "from", v.Version+1)
	if err != nil {
		a.writeError(w, err)
		return
	}
	if from == 0 || from < v.FirstVersion {
		a.writeError(w, &VersionDroppedError{from, v.FirstVersion})
		return
	}
	if a.watchers.Add(1) > maxWatchers {
		a.watchers.Add(-1)
		a.writeError(w, errTooManyWatchers)
		return
	}
	defer a.watchers.Add(-1)
	stream := &watchStream{api: a, writer: w, control: http.NewResponseController(w), nextVersion: from}
	stream.run(r)
}

// watchStream is the response to one watcher.
type watchStream struct {
	api         *API
	writer      http.ResponseWriter
	control     *http.ResponseController
	nextVersion uint64 // next version to be sent
}

// run ends when the client disconnects or is too slow, when the next version is no longer held (the client must then
// start over), or when the API or the instance stops.
func (s *watchStream) run(r *http.Request) {
	s.control.SetReadDeadline(time.Time{}) // the server's read deadline is for bodies; a watch has none
	s.writer.Header().Set("Content-Type", contentJSONLines)
	heartbeat := time.NewTimer(0)
	defer heartbeat.Stop()
	for {
		v := s.api.group.View()
		if s.nextVersion < v.FirstVersion {
			return
		}
		sent, err := s.sendVersions(v)
		if err != nil {
			return
		}
		if sent {
			heartbeat.Reset(watchHeartbeat)
		}
		select {
		case <-v.Superseded:
		case <-heartbeat.C:
			if s.sendHeartbeat(v) != nil {
				return
			}
			heartbeat.Reset(watchHeartbeat)
		case <-r.Context().Done():
			return
		case <-s.api.stopping.Done():
			return
		case <-s.api.group.Done():
			return
		}
	}
}

// sendVersions sends the versions of the view that were not sent yet.
func (s *watchStream) sendVersions(v *View) (sent bool, err error) {
	s.extendDeadline()
	for ; s.nextVersion <= v.Version; s.nextVersion++ {
		if err = s.writeLine(v.VersionJSON(s.nextVersion)); err != nil {
			return sent, err
		}
		s.extendDeadline()
		sent = true
	}
	if sent {
		err = s.control.Flush()
	}
	return sent, err
}

func (s *watchStream) sendHeartbeat(v *View) error {
	line, err := json.Marshal(WatchHeartbeat{true, v.SinceLeader().Milliseconds(), v.OutOfContact()})
	if err != nil {
		return err
	}
	if err = s.writeLine(line); err != nil {
		return err
	}
	return s.control.Flush()
}

// writeLine writes a line with a newline. It copies the line, whose array other watchers share.
func (s *watchStream) writeLine(line []byte) error {
	_, err := s.writer.Write(append(line[:len(line):len(line)], '\n'))
	return err
}

// extendDeadline guards against a client that stops reading, which would hold a goroutine and one of the maxWatchers
// places forever.
func (s *watchStream) extendDeadline() {
	s.control.SetWriteDeadline(time.Now().Add(watchWriteTimeout))
}
