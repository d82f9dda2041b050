package consensus

import (
	"fmt"
)

// Guard is a set of guards that are taken out, for the laboratory alone: with one out, a promise of the
// design has to break, or it is not checked. Every program that serves runs with none out.
type Guard uint

// The guards that can be taken out.
const (
	PersistBeforeSend Guard = 1 << iota // what is promised to others is durable before it is sent
	CompareAndSet                       // a put names the version it was made from
	SessionTable                        // a repeated put gets the first one's answer
	ReadIndex                           // a read is answered only once a majority still follows this leader
	PreVote                             // who comes back asks before it raises the term
	MemberIdentity                      // an old copy of a folder takes no part
	PersistMembership                   // a change of members is known as committed on disk before it counts
)

var guardNames = []string{"persist-before-send", "compare-and-set", "session-table", "read-index", "pre-vote",
	"member-identity", "members-kept"}

// Has tells whether a guard is out.
func (g Guard) Has(one Guard) bool { return g&one != 0 }

// GuardNamed gives a guard by its name.
func GuardNamed(name string) (Guard, error) {
	for i, n := range guardNames {
		if n == name {
			return 1 << i, nil
		}
	}
	return 0, fmt.Errorf("guard %q, expected one of %v", name, guardNames)
}

// GuardNames lists them.
func GuardNames() []string { return guardNames }
