package consensus

import "time"

// Role is an instance's role in the group, as shown to operators.
type Role string

// Roles of an instance.
const (
	RoleLeader    Role = "leader"
	RoleFollower  Role = "follower"
	RoleLearner   Role = "learner"
	RoleCandidate Role = "candidate"
	RoleWaiting   Role = "waiting" // not added to a group yet
	RoleBarred    Role = "barred"  // permanently excluded from the group
)

// View is an instance's state as last published. It is immutable, so any goroutine may read it.
type View struct {
	Status
	Members      []Member
	Versions     [][]byte // each as one line of JSON
	FirstVersion uint64   // number of Versions[0]
	PublishedAt  time.Time
	Superseded   chan struct{} // closed when a newer view is published

	contactTimeout time.Duration
	tick           time.Duration
}

// SinceLeader returns the time since the last message of a leader.
func (v *View) SinceLeader() time.Duration {
	return time.Duration(v.TicksSinceLeader)*v.tick + max(0, time.Since(v.PublishedAt)-v.tick)
}

// OutOfContact reports whether the instance's state may be stale: it has had no message of a leader for longer than the
// contact timeout, is barred, or is in no group.
func (v *View) OutOfContact() bool {
	return v.SinceLeader() > v.contactTimeout || v.Barred != "" || v.Cluster == ""
}

// versionNotFound returns the error for a version that the view does not hold.
func (v *View) versionNotFound(number uint64) error {
	if v.Version == 0 {
		return errNoVersion
	}
	return &VersionNotFoundError{number, v.FirstVersion, v.Version}
}

// VersionJSON returns a version as a line of JSON, nil if it is not held.
func (v *View) VersionJSON(number uint64) []byte {
	if number < v.FirstVersion || number >= v.FirstVersion+uint64(len(v.Versions)) {
		return nil
	}
	return v.Versions[number-v.FirstVersion]
}
