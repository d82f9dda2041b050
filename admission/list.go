package admission

// link connects a request with its neighbors in a list.
type link struct{ prev, next index }

// list is a doubly linked list of requests, through their queueLink fields.
type list struct {
	head, tail index
	length     int
}

func newList() list { return list{head: none, tail: none} }

// insertAfter inserts i after p, or at the head if p is none.
func (l *list) insertAfter(t *requestTable, i, p index) {
	links := &t.at[i].queueLink
	links.prev = p
	if p == none {
		links.next = l.head
		l.head = i
	} else {
		links.next = t.at[p].queueLink.next
		t.at[p].queueLink.next = i
	}
	if links.next == none {
		l.tail = i
	} else {
		t.at[links.next].queueLink.prev = i
	}
	l.length++
}

func (l *list) remove(t *requestTable, i index) {
	links := t.at[i].queueLink
	if links.prev == none {
		l.head = links.next
	} else {
		t.at[links.prev].queueLink.next = links.next
	}
	if links.next == none {
		l.tail = links.prev
	} else {
		t.at[links.next].queueLink.prev = links.prev
	}
	l.length--
}
