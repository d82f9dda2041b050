package consensus

import "time"

// Role is what an instance is in its group, as Status gives it and operators are shown.
type Role string

// Roles of an instance.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"
	RoleLearner   Role = "learner"
	RoleCandidate Role = "candidate"
	RoleWaiting   Role = "waiting" // to be taken into a group
	RoleBarred    Role = "barred"  // it must take no part any more
)

// View is an instance's state as last published. Nothing in it changes, so any goroutine may read it.
type View struct {
	Status
	Members      []Member
	Versions     [][]byte // held versions, each as one line of JSON
	FirstVersion uint64   // number of Versions[0]
	PublishedAt  time.Time
	Superseded   chan struct{} // closed when there is a newer view

	contactTimeout time.Duration
	tick           time.Duration
}

// SinceLeader returns for how long no leader was heard.
func (v *View) SinceLeader() time.Duration {
	return time.Duration(v.TicksSinceLeader)*v.tick + max(0, time.Since(v.PublishedAt)-v.tick)
}

// OutOfContact tells whether what this instance holds may be old: no leader was heard for longer than the operator's
// limit, or it takes no part in a group.
func (v *View) OutOfContact() bool {
	return v.SinceLeader() > v.contactTimeout || v.Barred != "" || v.Cluster == ""
}

// versionNotFound is the error for a version that VersionJSON does not give.
func (v *View) versionNotFound(number uint64) error {
	if v.Version == 0 {
		return errNoVersion
	}
	return &VersionNotFoundError{number, v.FirstVersion, v.Version}
}

// VersionJSON returns a version as a line of JSON, nil where it is not held.
func (v *View) VersionJSON(number uint64) []byte {
	if number < v.FirstVersion || number >= v.FirstVersion+uint64(len(v.Versions)) {
		return nil
	}
	return v.Versions[number-v.FirstVersion]
}
