package sched

import (
	"container/list"
	"math/bits"
	"math/rand"
	"time"
)

const (
	// announcementLife is how long an announcement counts; servers repeat it
	// once a second.
	announcementLife = 5 * time.Second
	// leaveMemory is how long a leave is remembered against announcements that
	// were sent before it and arrive later.
	leaveMemory = 10 * time.Second
	// loadLevels divides the use of a server. Servers of one level are near
	// equals; the last level holds full servers and is not kept.
	loadLevels = 64
)

// server is one backend server of a pool.
type server struct {
	id, address string
	slots       int
	// own counts this pool's grants.
	own int
	// peak and lastPeak are the highest own counts since the last announcement
	// and between the last two: a lagging report covers at most these grants,
	// and what it shows above them is the work of others.
	peak, lastPeak int
	reported       int
	// noRoom is set when the server refused work, until its next announcement.
	noRoom                bool
	incarnation, sequence uint64
	seen                  time.Time
	announced, leaving    bool
	left                  time.Time
	inLife                *list.Element
	// level and place locate the server among the free ones; level is -1 if it is not.
	level, place int
	// counted says what the server adds to the totals of the directory.
	counted      bool
	countedSlots int
	countedLoad  int
	onRing       bool
	health       health
}

// load is the number of requests at the server as far as is known.
func (s *server) load() int {
	if s.noRoom {
		return max(s.slots, s.own)
	}
	return s.own + max(0, s.reported-max(s.peak, s.lastPeak, s.own))
}

// inService reports whether new work may go to the server.
func (s *server) inService() bool { return s.announced && !s.leaving && !s.health.ejected }

// directory holds the backend servers of a pool.
type directory struct {
	byID   map[string]*server
	levels [loadLevels][]*server
	// used has a bit for each level that holds a server.
	used uint64
	// present counts announced servers that are not leaving, in service those
	// of them that are not ejected.
	present, serving int
	slots, load      int
	ejected          []*server
	latencies        latencies
	ring             ring
	life             *list.List
	gone             *list.List
	ejections        uint64
}

func newDirectory() *directory {
	return &directory{byID: map[string]*server{}, life: list.New(), gone: list.New()}
}

// announce takes in a report and tells whether it was news. Reports that are
// older than a known one, or of a server that left, are dropped.
func (d *directory) announce(now time.Time, a Announcement) bool {
	s := d.byID[a.ID]
	if s == nil {
		s = &server{id: a.ID, level: -1}
		d.byID[a.ID] = s
	}
	restarted := a.Incarnation > s.incarnation
	if s.leaving && !restarted {
		return false
	}
	if s.announced && !restarted && (a.Incarnation < s.incarnation || a.Sequence <= s.sequence) {
		return false
	}
	if s.leaving {
		s.leaving = false
	}
	if !s.announced {
		s.announced = true
		d.present++
	}
	s.address, s.slots, s.seen = a.Address, max(a.Slots, 0), now
	s.incarnation, s.sequence = a.Incarnation, a.Sequence
	s.reported, s.noRoom = a.Running+a.Queued, false
	s.lastPeak, s.peak = s.peak, s.own
	if s.inLife == nil {
		s.inLife = d.life.PushBack(s)
	} else {
		d.life.MoveToBack(s.inLife)
	}
	if restarted {
		d.restore(s)
		d.latencies.remove(s)
		s.health = health{}
	}
	d.file(s)
	return true
}

// leave takes a server out of service for good; only a later incarnation
// announces it again. A server that was never announced is remembered too.
func (d *directory) leave(now time.Time, id string, incarnation, sequence uint64) {
	s := d.byID[id]
	if s == nil {
		s = &server{id: id, level: -1, incarnation: incarnation}
		d.byID[id] = s
	}
	if s.leaving || (incarnation != 0 && incarnation < s.incarnation) {
		return
	}
	s.incarnation = max(s.incarnation, incarnation)
	s.sequence = max(s.sequence, sequence)
	d.withdraw(s)
	s.leaving, s.left = true, now
	d.gone.PushBack(s)
	d.file(s)
	d.boundEjections(now)
}

// withdraw forgets the announcement of a server.
func (d *directory) withdraw(s *server) {
	d.restore(s)
	if s.announced {
		s.announced = false
		d.present--
	}
	if s.inLife != nil {
		d.life.Remove(s.inLife)
		s.inLife = nil
	}
	d.latencies.remove(s)
}

// lapse withdraws servers that no longer announce themselves and forgets old leaves.
func (d *directory) lapse(now time.Time) {
	for front := d.life.Front(); front != nil; front = d.life.Front() {
		s := front.Value.(*server)
		if now.Sub(s.seen) <= announcementLife {
			break
		}
		d.withdraw(s)
		d.file(s)
		d.forget(s)
	}
	for front := d.gone.Front(); front != nil; front = d.gone.Front() {
		s := front.Value.(*server)
		if now.Sub(s.left) <= leaveMemory {
			break
		}
		d.gone.Remove(front)
		s.leaving = false
		d.file(s)
		d.forget(s)
	}
	d.boundEjections(now)
}

// forget drops a server without announcement, leave or grants.
func (d *directory) forget(s *server) {
	if !s.announced && !s.leaving && s.own == 0 {
		delete(d.byID, s.id)
	}
}

// occupy counts a grant, vacate its end.
func (d *directory) occupy(s *server) {
	s.own++
	s.peak = max(s.peak, s.own)
	d.file(s)
}

func (d *directory) vacate(s *server) {
	s.own--
	d.file(s)
	d.forget(s)
}

// file puts a server in the place that its state asks for.
func (d *directory) file(s *server) {
	d.total(s)
	level := -1
	if s.inService() && s.load() < s.slots {
		level = s.load() * loadLevels / s.slots
	}
	if level == s.level {
		return
	}
	if s.level >= 0 {
		d.unfile(s)
	}
	if level >= 0 {
		s.level, s.place = level, len(d.levels[level])
		d.levels[level] = append(d.levels[level], s)
		d.used |= 1 << level
	}
}

func (d *directory) unfile(s *server) {
	list := d.levels[s.level]
	last := list[len(list)-1]
	list[s.place], last.place = last, s.place
	list[len(list)-1] = nil
	d.levels[s.level] = list[:len(list)-1]
	if len(list) == 1 {
		d.used &^= 1 << s.level
	}
	s.level = -1
}

// total keeps the sums over the servers in service.
func (d *directory) total(s *server) {
	if s.counted {
		d.serving--
		d.slots -= s.countedSlots
		d.load -= s.countedLoad
	}
	s.counted = s.inService()
	if s.counted {
		s.countedSlots, s.countedLoad = s.slots, s.load()
		d.serving++
		d.slots += s.countedSlots
		d.load += s.countedLoad
		if !s.onRing {
			d.ring.add(s)
		}
	}
}

// free reports whether any server has a free slot.
func (d *directory) free() bool { return d.used != 0 }

// choose returns a server with a free slot for a request, or nil. The request
// gets a due probe, the server that has its prefix if that one is not much
// busier than the mean, or a random one of the least used.
func (d *directory) choose(now time.Time, e *entry, rng *rand.Rand) *server {
	if s := d.dueProbe(now, e); s != nil {
		return s
	}
	if e.Prefix != 0 {
		if s := d.ring.find(e.Prefix, func(s *server) bool { return d.affine(s) && !excluded(e, s) }); s != nil {
			return s
		}
	}
	for used := d.used; used != 0; used &= used - 1 {
		list := d.levels[bits.TrailingZeros64(used)]
		for i, n := rng.Intn(len(list)), 0; n < len(list); i, n = (i+1)%len(list), n+1 {
			if !excluded(e, list[i]) {
				return list[i]
			}
		}
	}
	return nil
}

// affine reports whether a server may get one more request for its prefix: it
// has a free slot, and its use stays within affinityFactor of the mean.
func (d *directory) affine(s *server) bool {
	if s.level < 0 {
		return false
	}
	bound := affinityFactor * float64(d.load+1) * float64(s.slots) / float64(d.slots)
	return float64(s.load()) < max(bound, 1)
}

func excluded(e *entry, s *server) bool {
	for _, id := range e.Exclude {
		if id == s.id {
			return true
		}
	}
	return false
}

// possible reports whether some server that is present and not ejected is not
// excluded. An ejected server does not count: a request would wait for its
// probe while another data centre has room.
func (d *directory) possible(e *entry) bool {
	left := d.present - len(d.ejected)
	for i, id := range e.Exclude {
		s := d.byID[id]
		if s != nil && s.announced && !s.health.ejected && !contains(e.Exclude[:i], id) {
			left--
		}
	}
	return left > 0
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
