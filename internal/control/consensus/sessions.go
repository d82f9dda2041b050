package consensus

import (
	"container/list"
	"fmt"
)

// maxSessions bounds the sessions held, for memory and snapshot size. Eviction is replicated state, so it must be the
// same at every instance.
const maxSessions = 4096

// session is a client's last put and its result.
type session struct {
	name   string
	seq    uint64
	result PutResult
}

// sessionTable deduplicates puts: a client without a result, as after a change of leader, repeats the put under its
// number and gets the first one's result. The least recently used sessions are evicted. That is safe: a repeated put of
// an evicted session ends as expired or, if it was the session's first, as a conflict, as its base version is old.
type sessionTable struct {
	byName    map[string]*list.Element // of *session
	byLastUse *list.List               // least recently used first
}

func newSessionTable() sessionTable {
	return sessionTable{byName: map[string]*list.Element{}, byLastUse: list.New()}
}

// applyOnce returns the stored result of a repeated put and calls apply for a new one. newest is the newest version.
// disabled is the disabled guard SessionTable, for fault tests.
func (t *sessionTable) applyOnce(p *Put, newest uint64, disabled bool, apply func() PutResult) PutResult {
	e := t.byName[p.Session]
	if e == nil {
		if p.Seq != 1 {
			return PutResult{PutExpired, newest, "the session is not known any more, expected a new one from 1 on"}
		}
		s := &session{p.Session, p.Seq, apply()}
		t.add(s)
		return s.result
	}
	s := e.Value.(*session)
	t.byLastUse.MoveToBack(e)
	switch {
	case p.Seq == s.seq && !disabled:
		return s.result
	case p.Seq < s.seq:
		return PutResult{PutExpired, newest, fmt.Sprintf("put %d, expected %d or later", p.Seq, s.seq)}
	}
	s.seq, s.result = p.Seq, apply()
	return s.result
}

func (t *sessionTable) add(s *session) {
	t.byName[s.name] = t.byLastUse.PushBack(s)
	if t.byLastUse.Len() > maxSessions {
		oldest := t.byLastUse.Remove(t.byLastUse.Front()).(*session)
		delete(t.byName, oldest.name)
	}
}

// savedSession is a session's line in a snapshot.
type savedSession struct {
	Name   string    `json:"name"`
	Seq    uint64    `json:"seq"`
	Result PutResult `json:"answer"`
}

// snapshot returns the sessions, least recently used first.
func (t *sessionTable) snapshot() []savedSession {
	saved := make([]savedSession, 0, t.byLastUse.Len())
	for e := t.byLastUse.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		saved = append(saved, savedSession{s.name, s.seq, s.result})
	}
	return saved
}

// restore adds a session of a snapshot; sessions must be added in the snapshot's order.
func (t *sessionTable) restore(s savedSession) { t.add(&session{s.Name, s.Seq, s.Result}) }
