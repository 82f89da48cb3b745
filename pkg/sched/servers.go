package sched

import (
	"container/list"
	"math/bits"
	"math/rand"
	"time"
)

const (
	// announcementTTL is how long an announcement is valid. Servers repeat it once a
	// second.
	announcementTTL = 5 * time.Second
	// leaveTTL is how long a leave is kept, so that announcements sent before it that
	// arrive later are rejected.
	leaveTTL = 10 * time.Second
	// loadLevels is the number of levels by which free servers are grouped. Servers of
	// one level have nearly the same load relative to their slots; a full server has no
	// level.
	loadLevels = 64
)

// server is one backend server of a pool.
type server struct {
	id, address string
	slots       int
	// grants counts the current grants of this pool.
	grants int
	// peakGrants and previousPeakGrants are the highest values of grants since the last
	// announcement and between the last two. The reported load lags behind grants, so up
	// to the higher of the two peaks it may be grants of this pool, also ones that have
	// ended; the rest of it is the load of other pools.
	peakGrants, previousPeakGrants int
	reportedLoad                   int
	// refusedAsFull is set when the server refused a request because it was full, until
	// its next announcement.
	refusedAsFull         bool
	incarnation, sequence uint64
	lastAnnouncedAt       time.Time
	announced, leaving    bool
	leftAt                time.Time
	announcedElement      *list.Element
	// level and levelIndex locate the server among the free ones; level is -1 if it is
	// not free.
	level, levelIndex int
	// inTotals is set while the server is part of the totals of the directory, with
	// countedSlots and countedLoad.
	inTotals     bool
	countedSlots int
	countedLoad  int
	onRing       bool
	health       health
}

// load returns the estimated number of requests at the server.
func (s *server) load() int {
	if s.refusedAsFull {
		return max(s.slots, s.grants)
	}
	return s.grants + max(0, s.reportedLoad-max(s.peakGrants, s.previousPeakGrants, s.grants))
}

// inService reports whether the server may get new requests.
func (s *server) inService() bool { return s.announced && !s.leaving && !s.health.ejected }

// serverDirectory holds the backend servers of a pool.
type serverDirectory struct {
	byID   map[string]*server
	levels [loadLevels][]*server
	// levelMask has a bit set for each level that is not empty.
	levelMask uint64
	// presentServers counts the announced servers that are not leaving, serversInService those
	// of them that are not ejected.
	presentServers, serversInService int
	totalSlots, totalLoad            int
	ejectedServers                   []*server
	latencies                        latencyHistogram
	ring                             hashRing
	announcedServers                 *list.List
	leavingServers                   *list.List
	ejections                        uint64
}

func newServerDirectory() *serverDirectory {
	return &serverDirectory{byID: map[string]*server{}, announcedServers: list.New(), leavingServers: list.New()}
}

// applyAnnouncement applies an announcement and reports whether it was accepted. An
// announcement that is older than the last one, or of an incarnation that left, is
// rejected.
func (d *serverDirectory) applyAnnouncement(now time.Time, a Announcement) bool {
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
		d.presentServers++
	}
	s.address, s.slots, s.lastAnnouncedAt = a.Address, max(a.Slots, 0), now
	s.incarnation, s.sequence = a.Incarnation, a.Sequence
	s.reportedLoad, s.refusedAsFull = a.Running+a.Queued, false
	s.previousPeakGrants, s.peakGrants = s.peakGrants, s.grants
	if s.announcedElement == nil {
		s.announcedElement = d.announcedServers.PushBack(s)
	} else {
		d.announcedServers.MoveToBack(s.announcedElement)
	}
	if restarted {
		d.endEjection(s)
		d.latencies.remove(s)
		s.health = health{}
	}
	d.updateLevel(s)
	return true
}

// applyLeave takes a server out of service until a later incarnation announces itself or
// leaveTTL has passed. The leave of a server that was never announced is stored as well.
func (d *serverDirectory) applyLeave(now time.Time, id string, incarnation, sequence uint64) {
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
	d.removeAnnouncement(s)
	s.leaving, s.leftAt = true, now
	d.leavingServers.PushBack(s)
	d.updateLevel(s)
	d.limitEjections(now)
}

// removeAnnouncement takes back the announcement of a server.
func (d *serverDirectory) removeAnnouncement(s *server) {
	d.endEjection(s)
	if s.announced {
		s.announced = false
		d.presentServers--
	}
	if s.announcedElement != nil {
		d.announcedServers.Remove(s.announcedElement)
		s.announcedElement = nil
	}
	d.latencies.remove(s)
}

// expireServers removes the servers whose announcements have expired, and old leaves.
func (d *serverDirectory) expireServers(now time.Time) {
	for front := d.announcedServers.Front(); front != nil; front = d.announcedServers.Front() {
		s := front.Value.(*server)
		if now.Sub(s.lastAnnouncedAt) <= announcementTTL {
			break
		}
		d.removeAnnouncement(s)
		d.updateLevel(s)
		d.removeIfUnused(s)
	}
	for front := d.leavingServers.Front(); front != nil; front = d.leavingServers.Front() {
		s := front.Value.(*server)
		if now.Sub(s.leftAt) <= leaveTTL {
			break
		}
		d.leavingServers.Remove(front)
		s.leaving = false
		d.updateLevel(s)
		d.removeIfUnused(s)
	}
	d.limitEjections(now)
}

// removeIfUnused deletes a server without an announcement, a leave or grants.
func (d *serverDirectory) removeIfUnused(s *server) {
	if !s.announced && !s.leaving && s.grants == 0 {
		delete(d.byID, s.id)
	}
}

// addGrant counts a new grant.
func (d *serverDirectory) addGrant(s *server) {
	s.grants++
	s.peakGrants = max(s.peakGrants, s.grants)
	d.updateLevel(s)
}

// removeGrant counts the end of a grant.
func (d *serverDirectory) removeGrant(s *server) {
	s.grants--
	d.updateLevel(s)
	d.removeIfUnused(s)
}

// updateLevel moves a server to the level of its current load, and in or out of the free
// servers.
func (d *serverDirectory) updateLevel(s *server) {
	d.updateTotals(s)
	level := -1
	if s.inService() && s.load() < s.slots {
		level = s.load() * loadLevels / s.slots
	}
	if level == s.level {
		return
	}
	if s.level >= 0 {
		d.removeFromLevel(s)
	}
	if level >= 0 {
		s.level, s.levelIndex = level, len(d.levels[level])
		d.levels[level] = append(d.levels[level], s)
		d.levelMask |= 1 << level
	}
}

func (d *serverDirectory) removeFromLevel(s *server) {
	list := d.levels[s.level]
	last := list[len(list)-1]
	list[s.levelIndex], last.levelIndex = last, s.levelIndex
	list[len(list)-1] = nil
	d.levels[s.level] = list[:len(list)-1]
	if len(list) == 1 {
		d.levelMask &^= 1 << s.level
	}
	s.level = -1
}

// updateTotals updates the sums over the servers in service.
func (d *serverDirectory) updateTotals(s *server) {
	if s.inTotals {
		d.serversInService--
		d.totalSlots -= s.countedSlots
		d.totalLoad -= s.countedLoad
	}
	s.inTotals = s.inService()
	if s.inTotals {
		s.countedSlots, s.countedLoad = s.slots, s.load()
		d.serversInService++
		d.totalSlots += s.countedSlots
		d.totalLoad += s.countedLoad
		if !s.onRing {
			d.ring.add(s)
		}
	}
}

// hasFreeSlot reports whether any server in service has a free slot.
func (d *serverDirectory) hasFreeSlot() bool { return d.levelMask != 0 }

// selectServer returns a server with a free slot for a request, or nil. It prefers an
// ejected server that is due for a probe, then the server for the request's prefix unless
// its load is far above the mean, then a random server of the least loaded level.
func (d *serverDirectory) selectServer(now time.Time, e *poolEntry, rng *rand.Rand) *server {
	if s := d.probeTarget(now, e); s != nil {
		return s
	}
	if e.PrefixHash != 0 {
		if s := d.ring.findServer(e.PrefixHash, func(s *server) bool { return d.withinAffinityBound(s) && !isExcluded(e, s) }); s != nil {
			return s
		}
	}
	for mask := d.levelMask; mask != 0; mask &= mask - 1 {
		list := d.levels[bits.TrailingZeros64(mask)]
		for i, n := rng.Intn(len(list)), 0; n < len(list); i, n = (i+1)%len(list), n+1 {
			if !isExcluded(e, list[i]) {
				return list[i]
			}
		}
	}
	return nil
}

// withinAffinityBound reports whether a server may get another request for its prefix: it
// has a free slot, and its load is within affinityFactor of the mean.
func (d *serverDirectory) withinAffinityBound(s *server) bool {
	if s.level < 0 {
		return false
	}
	maxLoad := affinityFactor * float64(d.totalLoad+1) * float64(s.slots) / float64(d.totalSlots)
	return float64(s.load()) < max(maxLoad, 1)
}

func isExcluded(e *poolEntry, s *server) bool {
	for _, id := range e.Exclude {
		if id == s.id {
			return true
		}
	}
	return false
}

// canServe reports whether at least one present server is neither ejected nor excluded by
// the request. Ejected servers do not count: the request would wait for a probe while
// another data centre has free slots.
func (d *serverDirectory) canServe(e *poolEntry) bool {
	remaining := d.presentServers - len(d.ejectedServers)
	for i, id := range e.Exclude {
		s := d.byID[id]
		if s != nil && s.announced && !s.health.ejected && !contains(e.Exclude[:i], id) {
			remaining--
		}
	}
	return remaining > 0
}

func contains(list []string, id string) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
