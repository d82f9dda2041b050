package consensus

import (
	"time"
)

// View is an instance's state as last published. Nothing in it changes.
type View struct {
	Status
	Members      []Member
	Versions     [][]byte
	FirstVersion uint64
	PublishedAt  time.Time
	Superseded   chan struct{} // closed when there is a newer view

	contactTimeout time.Duration
	tick           time.Duration
}

// SinceLeader gives for how long no leader was heard; Out tells whether that is past the operator's bound, so that
// what this instance holds may be old.
func (v *View) SinceLeader() time.Duration {
	return time.Duration(v.TicksSinceLeader)*v.tick + max(0, time.Since(v.PublishedAt)-v.tick)
}

func (v *View) OutOfContact() bool {
	return v.SinceLeader() > v.contactTimeout || v.Barred != "" || v.Cluster == ""
}

// VersionJSON gives a version's line, nil where it is not kept.
func (v *View) VersionJSON(number uint64) []byte {
	if number < v.FirstVersion || number >= v.FirstVersion+uint64(len(v.Versions)) {
		return nil
	}
	return v.Versions[number-v.FirstVersion]
}
