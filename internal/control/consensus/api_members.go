package consensus

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/control/api"
	"umberwinch/internal/logging"
)

// postMembers changes the members or transfers leadership. It responds once a change of members is applied here.
func (a *API) postMembers(w http.ResponseWriter, r *http.Request) {
	var c MemberChange
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		a.writeError(w, &BodyError{err, "a change of members as JSON"})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	var err error
	if c.Op == OpTransfer {
		err = a.group.Transfer(c.Member.ID)
	} else if applied := c.appliedCheck(); applied != nil {
		err = a.group.ChangeMembers(ctx, c, applied)
	} else {
		err = &api.FieldError{Field: "op", Found: strconv.Quote(string(c.Op)),
			Expected: "add, promote, remove, replace or transfer"}
	}
	if err != nil {
		a.writeError(w, err)
		return
	}
	a.group.log.WithFields(logrus.Fields{logging.Operation: c.Op, logging.Peer: idText(c.Member.ID)}).
		Info("members changed")
	a.writeResponse(w, a.group.View().Members)
}

func (a *API) getSnapshot(w http.ResponseWriter, r *http.Request) {
	_, err := a.readView(r)
	var parts [][]byte
	if err == nil {
		parts, err = a.group.Snapshot()
	}
	if err != nil {
		a.writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", contentBytes)
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return
		}
	}
}
