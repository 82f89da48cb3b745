package sched

import "time"

// entry is one request known to a pool.
type entry struct {
	Request
	org     *organisation
	arrived time.Time
	number  uint64
	// server is set once the request is granted.
	server  *server
	granted time.Time
	// charged is the cost at the fair queue and the limits until the real one is known.
	charged    int
	preempting bool
	probe      bool
	// victim is the place in the heap of preemptible grants, -1 if in none.
	victim int
	ahead  bool
	links  [chainCount]link
}

// Chains that an entry can be on at the same time.
const (
	serviceChain = iota // the flow, the ahead list or the FIFO list
	arrivalChain        // all queued requests of a rank by arrival
	chainCount
)

type link struct{ prev, next *entry }

// chain is a doubly linked list through entries, so that a request leaves it in
// constant time.
type chain struct {
	which      int
	head, tail *entry
	size       int
}

func (c *chain) push(e *entry) {
	e.links[c.which] = link{prev: c.tail}
	if c.tail != nil {
		c.tail.links[c.which].next = e
	} else {
		c.head = e
	}
	c.tail = e
	c.size++
}

func (c *chain) remove(e *entry) {
	l := e.links[c.which]
	if l.prev != nil {
		l.prev.links[c.which].next = l.next
	} else {
		c.head = l.next
	}
	if l.next != nil {
		l.next.links[c.which].prev = l.prev
	} else {
		c.tail = l.prev
	}
	e.links[c.which] = link{}
	c.size--
}
