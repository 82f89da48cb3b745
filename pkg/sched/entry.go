package sched

import "time"

// poolEntry is a queued or granted request of a pool.
type poolEntry struct {
	Request
	org           *organisation
	arrivedAt     time.Time
	arrivalNumber uint64
	// server is nil until the request is granted.
	server    *server
	grantedAt time.Time
	// chargedTokens is the estimated cost that was charged to the fair queue and the
	// limits; the actual cost replaces it when the grant ends.
	chargedTokens     int
	preemptionPending bool
	isProbe           bool
	// victimIndex is the index in the heap of preemptible grants, or -1 if the entry is
	// not in it.
	victimIndex int
	prioritised bool
	links       [linkCount]listLink
}

// Indexes of the links of an entry: it is on at most one list of each kind.
const (
	serviceLink = iota // the flow, the prioritised requests or the FIFO list
	arrivalLink        // all queued requests of a rank in the order of arrival
	linkCount
)

type listLink struct{ prev, next *poolEntry }

// entryList is a doubly linked list of entries. The links are part of the entries, so
// that a request is removed in constant time.
type entryList struct {
	linkIndex  int
	head, tail *poolEntry
	size       int
}

func (l *entryList) push(e *poolEntry) {
	e.links[l.linkIndex] = listLink{prev: l.tail}
	if l.tail != nil {
		l.tail.links[l.linkIndex].next = e
	} else {
		l.head = e
	}
	l.tail = e
	l.size++
}

func (l *entryList) remove(e *poolEntry) {
	removed := e.links[l.linkIndex]
	if removed.prev != nil {
		removed.prev.links[l.linkIndex].next = removed.next
	} else {
		l.head = removed.next
	}
	if removed.next != nil {
		removed.next.links[l.linkIndex].prev = removed.prev
	} else {
		l.tail = removed.prev
	}
	e.links[l.linkIndex] = listLink{}
	l.size--
}
