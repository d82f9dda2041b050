package config

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Fleet holds the [fleet] section of the operator's file of a node. A node without it has no control service.
type Fleet struct {
	ControlAddresses []string // client addresses of control instances
	Name             string   // name of the node; empty for the platform's
	AdvertiseAddress string   // address at which other nodes reach this one; empty for the one that it listens on
	Zone             string
	Folder           string   // folder of the active and the prepared version; empty to store none
	NoTrialRun       bool     // disables the trial of a prepared version; fault tests only
	DisabledGuards   []string // fault tests only
}

// disabledGuardsEnv is the environment variable with the comma-separated guards to disable; fault tests only.
const disabledGuardsEnv = "UMBERWINCH_WITHOUT"

// maxControlAddresses is the maximum number of members of a group.
const maxControlAddresses = 15

func readFleet(t *Text) *Fleet {
	if !t.HasSection("fleet") {
		return nil
	}
	f := &Fleet{ControlAddresses: t.List("fleet", "control"), Name: t.String("fleet", "name", ""),
		Zone: t.Required("fleet", "zone", "the zone this node is in"), Folder: t.String("fleet", "folder", ""),
		AdvertiseAddress: t.String("fleet", "at", "")}
	if len(f.ControlAddresses) == 0 || len(f.ControlAddresses) > maxControlAddresses {
		t.AddFault("fleet", "control", strconv.Itoa(len(f.ControlAddresses))+" addresses",
			fmt.Sprintf("1 to %d of IP:PORT, separated by commas", maxControlAddresses))
	}
	for _, address := range f.ControlAddresses {
		if !IsIPPort(address) {
			t.AddFault("fleet", "control", strconv.Quote(truncate(address)), "IP:PORT")
		} else if !IsLoopback(address) {
			// Nodes send plain HTTP/1.1; a local forwarder must encrypt it on the way to another machine.
			t.AddFault("fleet", "control", strconv.Quote(address),
				"a loopback address, as heartbeats are not encrypted")
		}
	}
	if f.Zone != "" && !IsName(f.Zone) {
		t.AddFault("fleet", "zone", strconv.Quote(truncate(f.Zone)), "up to 40 letters, digits, '-', '_' and '.'")
	}
	if f.Name != "" && !IsName(f.Name) {
		t.AddFault("fleet", "name", strconv.Quote(truncate(f.Name)), "up to 40 letters, digits, '-', '_' and '.'")
	}
	if f.AdvertiseAddress != "" && !IsIPPort(f.AdvertiseAddress) {
		t.AddFault("fleet", "at", strconv.Quote(truncate(f.AdvertiseAddress)), "IP:PORT")
	}
	if f.Folder != "" {
		if info, err := os.Stat(f.Folder); err != nil || !info.IsDir() {
			t.AddFault("fleet", "folder", strconv.Quote(truncate(f.Folder)), "an existing folder")
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

// Equal reports whether two [fleet] sections are equal, apart from what fault tests set; nil is an absent section.
func (f *Fleet) Equal(other *Fleet) bool {
	if f == nil || other == nil {
		return f == other
	}
	return slices.Equal(f.ControlAddresses, other.ControlAddresses) && f.Name == other.Name && f.Zone == other.Zone &&
		f.Folder == other.Folder && f.AdvertiseAddress == other.AdvertiseAddress
}
