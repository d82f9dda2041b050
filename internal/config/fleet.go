package config

import (
	"os"
	"slices"
	"strconv"
	"strings"
)

// Fleet holds the [fleet] section of a node's settings file. A node without it has no control service.
type Fleet struct {
	Control        []string // client addresses of control instances
	Name           string   // name of the node; empty for the platform's
	At             string   // address at which other nodes reach this one; empty for the one that it listens on
	Zone           string
	Folder         string   // folder of the active and the prepared version; empty to store none
	NoTrialRun     bool     // disables the trial of a prepared version; fault tests only
	DisabledGuards []string // fault tests only
}

// disabledGuardsEnv is the environment variable with the comma-separated guards to disable; fault tests only.
const disabledGuardsEnv = "UMBERWINCH_WITHOUT"

// maxControlAddresses is the maximum number of members of a group.
const maxControlAddresses = 15

func readFleet(t *Text) *Fleet {
	if !t.Has("fleet") {
		return nil
	}
	f := &Fleet{Control: t.List("fleet", "control"), Name: t.String("fleet", "name", ""),
		Zone: t.Needed("fleet", "zone", "the zone this node is in"), Folder: t.String("fleet", "folder", ""),
		At: t.String("fleet", "at", "")}
	if len(f.Control) == 0 || len(f.Control) > maxControlAddresses {
		t.Note("fleet", "control", strconv.Itoa(len(f.Control))+" addresses", "1 to 15 of IP:PORT, separated by commas")
	}
	for _, address := range f.Control {
		if !IsAddress(address) {
			t.Note("fleet", "control", strconv.Quote(truncate(address)), "IP:PORT")
		} else if !Loopback(address) {
			// Nodes send plain HTTP/1.1; a local forwarder must encrypt it on the way to another machine.
			t.Note("fleet", "control", strconv.Quote(address), "a loopback address, as heartbeats are not encrypted")
		}
	}
	if f.Zone != "" && !IsName(f.Zone) {
		t.Note("fleet", "zone", strconv.Quote(truncate(f.Zone)), "up to 40 letters, digits, '-', '_' and '.'")
	}
	if f.Name != "" && !IsName(f.Name) {
		t.Note("fleet", "name", strconv.Quote(truncate(f.Name)), "up to 40 letters, digits, '-', '_' and '.'")
	}
	if f.At != "" && !IsAddress(f.At) {
		t.Note("fleet", "at", strconv.Quote(truncate(f.At)), "IP:PORT")
	}
	if f.Folder != "" {
		if info, err := os.Stat(f.Folder); err != nil || !info.IsDir() {
			t.Note("fleet", "folder", strconv.Quote(truncate(f.Folder)), "an existing folder")
		}
	}
	for _, guard := range strings.Split(os.Getenv(disabledGuardsEnv), ",") {
		if guard == "shadow" {
			f.NoTrialRun = true
		} else if guard == "fence" || guard == "no-way-back" || guard == "generation" {
			f.DisabledGuards = append(f.DisabledGuards, guard)
		}
	}
	return f
}

// Same reports whether two [fleet] sections are equal, apart from what fault tests set; nil is an absent section.
func (f *Fleet) Same(other *Fleet) bool {
	if f == nil || other == nil {
		return f == other
	}
	return slices.Equal(f.Control, other.Control) && f.Name == other.Name && f.Zone == other.Zone &&
		f.Folder == other.Folder && f.At == other.At
}
