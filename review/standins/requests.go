package main

import (
	"bytes"
	"sync"
)

// Requests is what the platform knows of the requests that it has written to a node: the kernel refuses others, and
// those that are over.
type Requests struct {
	mu   sync.Mutex
	byID map[string]*requestInfo
}

type requestInfo struct {
	class string
	body  []byte
	over  bool // answered, or its caller has gone
}

// NewRequests returns an empty table.
func NewRequests() *Requests { return &Requests{byID: map[string]*requestInfo{}} }

// Sent registers a request before it is written.
func (r *Requests) Sent(id, class string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = &requestInfo{class: class, body: body}
}

// End marks a request as over.
func (r *Requests) End(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.byID[id]; q != nil {
		q.over = true
	}
}

// Over reports whether a request is over.
func (r *Requests) Over(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.byID[id]
	return q == nil || q.over
}

// Known reports whether a request came in this form.
func (r *Requests) Known(id, class string, body []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.byID[id]
	return q != nil && q.class == class && bytes.Equal(q.body, body)
}
