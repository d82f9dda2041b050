package consensus

import (
	"container/list"
	"fmt"
)

// maxSessions is how many clients' last results are held. A larger table costs memory and snapshot bytes; with a
// smaller one a client that pauses meets PutExpired sooner. The same at every instance, as what is dropped must be.
const maxSessions = 4096

// session is a client's last put and its result.
type session struct {
	name   string
	seq    uint64
	result PutResult
}

// sessionTable guards against a repeated put that counts twice: a client that got no result in time, as across a
// change of leader, repeats the put under its number and gets the first one's result. The longest unused sessions are
// dropped; a put of one of those names an old version and ends as a conflict, so dropping is harmless.
type sessionTable struct {
	byName    map[string]*list.Element // of *session
	byLastUse *list.List               // the longest unused first
}

func newSessionTable() sessionTable {
	return sessionTable{byName: map[string]*list.Element{}, byLastUse: list.New()}
}

// applyOnce gives the stored result of a repeated put and runs apply for a new one. last is the newest version. forget is
// the disabled guard, for fault tests alone.
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

// savedSession is a line of a snapshot.
type savedSession struct {
	Name   string    `json:"name"`
	Seq    uint64    `json:"seq"`
	Result PutResult `json:"answer"`
}

// snapshot gives the sessions, the longest unused first.
func (t *sessionTable) snapshot() []savedSession {
	saved := make([]savedSession, 0, t.byLastUse.Len())
	for e := t.byLastUse.Front(); e != nil; e = e.Next() {
		s := e.Value.(*session)
		saved = append(saved, savedSession{s.name, s.seq, s.result})
	}
	return saved
}

// restore adds a session of a snapshot, in its order.
func (t *sessionTable) restore(s savedSession) { t.add(&session{s.Name, s.Seq, s.Result}) }
