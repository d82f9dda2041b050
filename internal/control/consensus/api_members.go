package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/sirupsen/logrus"

	"umberwinch/internal/logging"
)

// members changes who is in the group; "transfer" hands the lead over.
func (a *API) postMembers(w http.ResponseWriter, r *http.Request) {
	var c Change
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		a.failWith(w, fmt.Errorf("body: %w, expected a change of members as JSON", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), membershipTimeout)
	defer cancel()
	find := func(ms []Member, id uint64) *Member {
		for i := range ms {
			if ms[i].ID == id {
				return &ms[i]
			}
		}
		return nil
	}
	var err error
	switch c.Op {
	case "transfer":
		err = a.group.Transfer(c.Member.ID)
	case "add":
		err = a.group.Change(ctx, c, func(ms []Member) bool { return find(ms, c.Member.ID) != nil })
	case "promote":
		err = a.group.Change(ctx, c, func(ms []Member) bool {
			m := find(ms, c.Member.ID)
			return m != nil && m.Voter
		})
	case "remove":
		err = a.group.Change(ctx, c, func(ms []Member) bool { return find(ms, c.Member.ID) == nil })
	case "replace":
		err = a.group.Change(ctx, c, func(ms []Member) bool {
			m := find(ms, c.Member.ID)
			return m != nil && m.Voter && find(ms, c.ReplacedID) == nil
		})
	default:
		err = fmt.Errorf("op: found %q, expected add, promote, remove, replace or transfer", c.Op)
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	a.group.log.WithFields(logrus.Fields{"op": c.Op, logging.Peer: fmt.Sprintf("%x", c.Member.ID)}).Info(
		"members changed")
	a.answer(w, a.group.View().Members)
}

func (a *API) getSnapshot(w http.ResponseWriter, r *http.Request) {
	_, err := a.view(r)
	var parts [][]byte
	if err == nil {
		parts, err = a.group.Snapshot()
	}
	if err != nil {
		a.failWith(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	for _, p := range parts {
		if _, err := w.Write(p); err != nil {
			return
		}
	}
}
