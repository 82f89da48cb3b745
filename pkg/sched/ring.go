package sched

import (
	"cmp"
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
}

// find returns the first fitting server at or after a hash.
func (r *ring) find(hash uint64, fits func(*server) bool) *server {
	if len(r.pending) > 0 {
		r.merge()
	}
	if len(r.points) == 0 {
		return nil
	}
	i, _ := slices.BinarySearchFunc(r.points, hash, func(p point, h uint64) int {
		if p.hash < h {
			return -1
		}
		return 1
	})
	for n := range min(affinityTries, len(r.points)) {
		if s := r.points[(i+n)%len(r.points)].server; fits(s) {
			return s
		}
	}
	return nil
}
