package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityFactor bounds the load of a server that is selected for its prefix, as a
	// multiple of the pool's mean.
	affinityFactor = 1.25
	// pointsPerServer is the number of points of a server on the ring. With several
	// points, the prefixes of a lost server are spread over several others.
	pointsPerServer = 8
	// maxAffinityPoints bounds how many points after the hash of a prefix are tried.
	maxAffinityPoints = 8
)

type ringPoint struct {
	hash   uint64
	server *server
}

// hashRing is a consistent hash ring. The first lookup after an addition merges the new
// servers into the ring and removes those that are no longer announced.
type hashRing struct {
	points  []ringPoint
	pending []ringPoint
	// bucketStarts holds, for each value of the upper bits of a hash, the index of the
	// first point at or after it. A binary search over the 88,000 points of 11,000 servers
	// would cost 17 cache misses.
	bucketStarts []int32
	bucketShift  int
}

func (r *hashRing) add(s *server) {
	s.onRing = true
	for i := range pointsPerServer {
		r.pending = append(r.pending, ringPoint{xxhash.Sum64String(s.id + "\x00" + strconv.Itoa(i)), s})
	}
}

// merge adds the pending points and removes the points of servers that are no longer
// announced.
func (r *hashRing) merge() {
	byHash := func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(r.pending, byHash)
	merged := make([]ringPoint, 0, len(r.points)+len(r.pending))
	pending := r.pending
	for _, p := range r.points {
		if !p.server.announced {
			p.server.onRing = false
			continue
		}
		for len(pending) > 0 && byHash(pending[0], p) < 0 {
			merged, pending = append(merged, pending[0]), pending[1:]
		}
		merged = append(merged, p)
	}
	r.points, r.pending = append(merged, pending...), nil
	r.rebuildIndex()
}

// rebuildIndex builds bucketStarts with about as many entries as there are points.
func (r *hashRing) rebuildIndex() {
	indexBits := bits.Len(uint(len(r.points)))
	r.bucketShift = 64 - indexBits
	r.bucketStarts = make([]int32, 1<<indexBits)
	firstPoint := 0
	for i := range r.bucketStarts {
		for firstPoint < len(r.points) && r.points[firstPoint].hash>>r.bucketShift < uint64(i) {
			firstPoint++
		}
		r.bucketStarts[i] = int32(firstPoint)
	}
}

// search returns the index of the first point at or after a hash, or the number of
// points.
func (r *hashRing) search(hash uint64) int {
	i := int(r.bucketStarts[hash>>r.bucketShift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	return i
}

// findServer returns the first accepted server at or after a hash, or nil.
func (r *hashRing) findServer(hash uint64, accepts func(*server) bool) *server {
	if len(r.pending) > 0 {
		r.merge()
	}
	if len(r.points) == 0 {
		return nil
	}
	i := r.search(hash)
	for n := range min(maxAffinityPoints, len(r.points)) {
		if s := r.points[(i+n)%len(r.points)].server; accepts(s) {
			return s
		}
	}
	return nil
}
