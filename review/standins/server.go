package main

import (
	"os"
	"path/filepath"
	"time"
)

// Server is a node with its kernel and the sidecars that send to it.
type Server struct {
	*Node
	Kernel   *Kernel
	Sidecars *Sidecars
}

// serverOptions are what differs between the cases.
type serverOptions struct {
	MemoryMB, Sockets int
	Store             *Store // nil: none
	Fleet             string // client address of the control service; empty: not in a fleet
}

// StartServer starts a node with a kernel of its own.
func (r *Run) StartServer(name string, site *Site, requests *Requests, control *ControlPlane,
	o serverOptions) (*Server, error) {
	kernel, err := NewKernel("kernel-"+name, r.Rec, requests)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	c := NodeConfig{Name: name, Listen: listen, Kernel: kernel.Addr(), Control: control.Addr(), MemoryMB: o.MemoryMB,
		Sockets: o.Sockets, StopMS: 3200, Settings: site.Settings()}
	if o.Store != nil {
		c.Store = o.Store.Addr()
	}
	if o.Fleet != "" {
		folder := filepath.Join(r.Dir, name+"-fleet")
		if err = os.Mkdir(folder, 0o700); err != nil {
			return nil, err
		}
		c.Operator = "[fleet]\ncontrol = " + o.Fleet + "\nzone = z1\nfolder = " + folder + "\n"
	}
	node, err := r.AddNode(c)
	if err != nil {
		return nil, err
	}
	if err = node.Start(); err != nil {
		return nil, err
	}
	return &Server{node, kernel, NewSidecars(r.Rec, requests, kernel, listen)}, node.AwaitHealth(20 * time.Second)
}
