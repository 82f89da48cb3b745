package sched

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// newLoadedPool returns a pool of servers with 16 slots each, with a given share of the
// slots in use, the current time and the number of the last request.
func newLoadedPool(replicas int, usedShare float64) (*Pool, time.Time, uint64) {
	now, rng := time.Unix(1000, 0), rand.New(rand.NewSource(1))
	p := NewPool(now, Config{Ranks: defaultRanks, Preempt: true}, rng)
	for i := range replicas {
		p.Announce(now, Announcement{ID: fmt.Sprint("b", i), Slots: 16, Sequence: 1})
	}
	number := uint64(0)
	for range int(usedShare * float64(replicas*16)) {
		number++
		p.Acquire(now, Request{Key: Key{"e", number}, Organisation: "o", Rank: Urgent, EstimatedTokens: 10})
	}
	return p, now, number
}

// BenchmarkChoice measures the selection of a backend server for a prefix.
func BenchmarkChoice(b *testing.B) {
	for _, replicas := range []int{24, 600, 11_000} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			p, now, _ := newLoadedPool(replicas, 0.7)
			e := &poolEntry{}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e.PrefixHash = uint64(i%1000) * 0x9e3779b97f4a7c15
				if p.servers.selectServer(now, e, p.rng) == nil {
					b.Fatal("no server")
				}
			}
		})
	}
}

// BenchmarkAdmission measures a request that is granted immediately and released.
func BenchmarkAdmission(b *testing.B) {
	for _, replicas := range []int{24, 600, 11_000} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			p, now, number := newLoadedPool(replicas, 0.7)
			b.ReportAllocs()
			for b.Loop() {
				number++
				k := Key{"e", number}
				p.Acquire(now, Request{Key: k, Organisation: "o", EstimatedTokens: 10, PrefixHash: number * 0x9e3779b97f4a7c15})
				p.Release(now, k, Usage{Tokens: 10, TimeToFirstToken: time.Millisecond})
			}
		})
	}
}

// BenchmarkQueueStep measures a release, the grant to the next request and the arrival of
// another one while every organisation has queued requests.
func BenchmarkQueueStep(b *testing.B) {
	for _, organisations := range []int{10, 1_000, 35_000} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			p, now, number := newLoadedPool(24, 1)
			names := make([]string, organisations)
			for i := range names {
				names[i] = fmt.Sprint("o", i)
				number++
				p.Acquire(now, Request{Key: Key{"e", number}, Organisation: names[i], EstimatedTokens: 10})
			}
			var granted []Key
			for n := uint64(1); n <= 24*16; n++ {
				granted = append(granted, Key{"e", n})
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				for _, d := range p.Release(now, granted[i%len(granted)], Usage{Tokens: 10}) {
					if d.Kind == Granted {
						granted[i%len(granted)] = d.Key
					}
				}
				number++
				p.Acquire(now, Request{Key: Key{"e", number}, Organisation: names[i%organisations], EstimatedTokens: 10})
			}
		})
	}
}

// BenchmarkTick measures the periodic work of a pool whose state does not change.
func BenchmarkTick(b *testing.B) {
	for _, replicas := range []int{24, 600, 11_000} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			p, now, _ := newLoadedPool(replicas, 0.7)
			for b.Loop() {
				p.Tick(now)
			}
		})
	}
}
