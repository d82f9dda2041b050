package config

import (
	"os"
	"slices"
	"strconv"
	"strings"
)

// Fleet is the [fleet] section of a node's file. Without one the node serves without a control service.
type Fleet struct {
	Control        []string // where instances of the control service listen for clients
	Name           string   // empty: the platform's
	At             string   // where other nodes reach it; empty: where it listens
	Zone           string
	Folder         string // for the active and the prepared version; empty: none is stored
	NoTrialRun     bool   // for fault tests alone, as DisabledGuards
	DisabledGuards []string
}

// disabledGuardsEnv names the environment variable with guards to be disabled, for fault tests alone.
const disabledGuardsEnv = "UMBERWINCH_WITHOUT"

// maxControlAddresses bounds the list; a group has 15 members at most.
const maxControlAddresses = 15

func readFleet(t *Text) *Fleet {
	if !t.Has("fleet") {
		return nil
	}
	f := &Fleet{Control: t.List("fleet", "control"), Name: t.String("fleet", "name", ""),
		Zone: t.Needed("fleet", "zone", "the zone this node is in"), Folder: t.String("fleet", "folder", ""),
		At: t.String("fleet", "at", "")}
	if len(f.Control) == 0 || len(f.Control) > maxControlAddresses {
		t.Note("fleet", "control", strconv.Itoa(len(f.Control))+" addresses", "1 to 15 of IP:PORT, parted by commas")
	}
	for _, a := range f.Control {
		if !IsAddress(a) {
			t.Note("fleet", "control", strconv.Quote(truncate(a)), "IP:PORT")
		} else if !Loopback(a) {
			// The node speaks plain HTTP/1.1: beyond this machine a local forwarder has to carry it.
			t.Note("fleet", "control", strconv.Quote(a), "a loopback address: a node's askings are not encrypted")
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
			t.Note("fleet", "folder", strconv.Quote(truncate(f.Folder)), "a folder that is there")
		}
	}
	for _, word := range strings.Split(os.Getenv(disabledGuardsEnv), ",") {
		if word == "shadow" {
			f.NoTrialRun = true
		} else if word == "fence" || word == "no-way-back" || word == "generation" {
			f.DisabledGuards = append(f.DisabledGuards, word)
		}
	}
	return f
}

// Same tells whether two files say the same of the fleet.
func (f *Fleet) Same(o *Fleet) bool {
	if f == nil || o == nil {
		return f == o
	}
	return slices.Equal(f.Control, o.Control) && f.Name == o.Name && f.Zone == o.Zone && f.Folder == o.Folder &&
		f.At == o.At
}
