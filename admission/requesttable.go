package admission

const none int32 = -1

// link is a place in one of the lists that run through the request table.
type link struct{ prev, next int32 }

// list is a doubly linked list of its indices, by their queue links.
type list struct {
	head, tail int32
	n          int
}

func newList() list { return list{head: none, tail: none} }

// item is what is known of one try, from the door until nothing of it is left.
type item struct {
	id       uint32
	h, t     int32
	phase    phase
	answered bool // the final answer is out; what still runs is only waited for
	ran      bool // it was run, so its effect may stand
	failed   bool // it ended without a good answer
	again    bool // a further try or a second copy
	tries    uint8
	kb       float64
	cost     float64 // stated work, or the handler's unit
	came     Time    // when it reached the machine
	due      Time
	lined    bool // it is in the line of calls
	stood    Time // since when it stands at the call
	spent    Time // on calls so far
	kept     Time // the table holds its entry until then
	known    Time // it is not let go of before then
	lent     bool // others take its answer
	prior    int32
	heir     int32 // the first of those that wait for its run
	queue    link  // in the hold, or among those waiting to call
	kin      link  // among those that wait for the same run
	turn     link  // in the wheel
	slot     int32
}

// phase is where a try stands.
type phase uint8

const (
	read    phase = iota // not yet through the door
	held                 // in the hold
	running              // on the cores
	calling              // stopped at a call that is not made yet
	outside              // its call is in hand
	sharing              // takes another try's answer
	over                 // only its entry in the table is left
)

// requestTable maps ids to small indices and keeps what is known of each request in hand.
type requestTable struct {
	at   []item
	free []int32
	ids  map[uint32]int32
}

func newRequestTable() requestTable { return requestTable{ids: make(map[uint32]int32)} }

func (s *requestTable) find(id uint32) int32 {
	if i, ok := s.ids[id]; ok {
		return i
	}
	return none
}

func (s *requestTable) take(id uint32) int32 {
	var i int32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = int32(len(s.at))
		s.at = append(s.at, item{})
	}
	s.at[i] = item{id: id, slot: -1, prior: none, heir: none}
	s.ids[id] = i
	return i
}

func (s *requestTable) drop(i int32) {
	delete(s.ids, s.at[i].id)
	s.free = append(s.free, i)
}

// follow has i wait for the run of p, or of the one that p waits for.
func (s *requestTable) follow(i, p int32) {
	if s.at[p].prior != none {
		p = s.at[p].prior
	}
	it, pr := &s.at[i], &s.at[p]
	it.prior, it.kin = p, link{none, pr.heir}
	if pr.heir != none {
		s.at[pr.heir].kin.prev = i
	}
	pr.heir = i
}

// part takes i from those that wait for the same run.
func (s *requestTable) part(i int32) {
	it := &s.at[i]
	if it.prior == none {
		return
	}
	if it.kin.prev == none {
		s.at[it.prior].heir = it.kin.next
	} else {
		s.at[it.kin.prev].kin.next = it.kin.next
	}
	if it.kin.next != none {
		s.at[it.kin.next].kin.prev = it.kin.prev
	}
	it.prior = none
}

// pass gives those that wait for i to the first of them, and says which; the list runs from the newest.
func (s *requestTable) pass(i int32) int32 {
	first := none
	for k := s.at[i].heir; k != none; k = s.at[k].kin.next {
		first = k
	}
	if first == none {
		return none
	}
	s.part(first)
	s.at[first].heir, s.at[i].heir = s.at[i].heir, none
	for k := s.at[first].heir; k != none; k = s.at[k].kin.next {
		s.at[k].prior = first
	}
	return first
}

func (l *list) insertAfter(s *requestTable, i, p int32) {
	it := &s.at[i].queue
	it.prev = p
	if p == none {
		it.next = l.head
		l.head = i
	} else {
		it.next = s.at[p].queue.next
		s.at[p].queue.next = i
	}
	if it.next == none {
		l.tail = i
	} else {
		s.at[it.next].queue.prev = i
	}
	l.n++
}

func (l *list) remove(s *requestTable, i int32) {
	q := s.at[i].queue
	if q.prev == none {
		l.head = q.next
	} else {
		s.at[q.prev].queue.next = q.next
	}
	if q.next == none {
		l.tail = q.prev
	} else {
		s.at[q.next].queue.prev = q.prev
	}
	l.n--
}

// put files i to be looked at once at has come; it leaves the place it had.
func (w *wheel) put(s *requestTable, i int32, at Time) {
	w.take(s, i)
	slot := max(int64((at+w.step-1)/w.step), w.slot+1)
	slot = min(slot, w.slot+int64(len(w.heads))-1)
	it := &s.at[i]
	it.slot = int32(slot % int64(len(w.heads)))
	it.turn = link{none, w.heads[it.slot]}
	if it.turn.next != none {
		s.at[it.turn.next].turn.prev = i
	}
	w.heads[it.slot] = i
}

func (w *wheel) take(s *requestTable, i int32) {
	it := &s.at[i]
	if it.slot < 0 {
		return
	}
	if it.turn.prev == none {
		w.heads[it.slot] = it.turn.next
	} else {
		s.at[it.turn.prev].turn.next = it.turn.next
	}
	if it.turn.next != none {
		s.at[it.turn.next].turn.prev = it.turn.prev
	}
	it.slot = -1
}

// next takes out one index whose time has come, or none.
func (w *wheel) next(s *requestTable, now Time) int32 {
	for w.slot <= int64(now/w.step) {
		k := w.slot % int64(len(w.heads))
		if i := w.heads[k]; i != none {
			w.take(s, i)
			return i
		}
		if w.slot == int64(now/w.step) {
			break
		}
		w.slot++
	}
	return none
}
