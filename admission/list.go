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
	place := &t.at[i].queueLink
	place.prev = p
	if p == none {
		place.next = l.head
		l.head = i
	} else {
		place.next = t.at[p].queueLink.next
		t.at[p].queueLink.next = i
	}
	if place.next == none {
		l.tail = i
	} else {
		t.at[place.next].queueLink.prev = i
	}
	l.length++
}

func (l *list) remove(t *requestTable, i index) {
	place := t.at[i].queueLink
	if place.prev == none {
		l.head = place.next
	} else {
		t.at[place.prev].queueLink.next = place.next
	}
	if place.next == none {
		l.tail = place.prev
	} else {
		t.at[place.next].queueLink.prev = place.prev
	}
	l.length--
}
