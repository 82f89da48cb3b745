package sched

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// affinityFactor bounds the use of a server that is chosen for its prefix,
	// as a multiple of the pool's mean.
	affinityFactor = 1.25
	// pointsPerServer spreads the prefixes of a lost server over several others.
	pointsPerServer = 8
	// affinityTries bounds how many points after a prefix are looked at.
	affinityTries = 8
)

type point struct {
	hash   uint64
	server *server
}

// ring is a consistent hash ring. The next look-up after an addition merges the
// new servers in and drops those that no longer announce themselves.
type ring struct {
	points  []point
	pending []point
	// index holds, for each value of the upper bits of a hash, the first point
	// at or after it: a binary search over 88,000 points costs 17 cache misses.
	index []int32
	shift int
}

func (r *ring) add(s *server) {
	s.onRing = true
	for i := range pointsPerServer {
		r.pending = append(r.pending, point{xxhash.Sum64String(s.id + "\x00" + strconv.Itoa(i)), s})
	}
}

// merge takes in the pending points and drops those of servers that are gone.
func (r *ring) merge() {
	byHash := func(a, b point) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(r.pending, byHash)
	merged := make([]point, 0, len(r.points)+len(r.pending))
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
	r.reindex()
}

// reindex makes about as many index entries as there are points.
func (r *ring) reindex() {
	width := bits.Len(uint(len(r.points)))
	r.shift = 64 - width
	r.index = make([]int32, 1<<width)
	next := 0
	for i := range r.index {
		for next < len(r.points) && r.points[next].hash>>r.shift < uint64(i) {
			next++
		}
		r.index[i] = int32(next)
	}
}

// position returns the first point at or after a hash, or the number of points.
func (r *ring) position(hash uint64) int {
	i := int(r.index[hash>>r.shift])
	for i < len(r.points) && r.points[i].hash < hash {
		i++
	}
	return i
}

// find returns the first fitting server at or after a hash.
func (r *ring) find(hash uint64, fits func(*server) bool) *server {
	if len(r.pending) > 0 {
		r.merge()
	}
	if len(r.points) == 0 {
		return nil
	}
	i := r.position(hash)
	for n := range min(affinityTries, len(r.points)) {
		if s := r.points[(i+n)%len(r.points)].server; fits(s) {
			return s
		}
	}
	return nil
}
