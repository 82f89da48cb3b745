package broker

import (
	"context"
	"testing"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// BenchmarkAcquire measures an acquire, its grant and its release at another instance,
// and the bytes sent and received.
func BenchmarkAcquire(b *testing.B) {
	c := newCluster(b, "a", "a", "a")
	broker, others := c.brokerAndOthers("a")
	announce := func(sequence uint64) {
		_ = broker.Announce(context.Background(), []*wire.BackendAnnouncement{{
			Id: "summary-quimper-07", Address: "10.12.34.56:8080", DataCentre: "a", Pools: []string{"m"}, Slots: 16, Incarnation: 1, Sequence: sequence,
		}})
	}
	announce(1)
	time.Sleep(2 * initialGrantDelay)
	n := others[0]
	announced, sequence := time.Now(), uint64(1)
	before, begun := n.counters.Sent.Load()+n.counters.Received.Load(), time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if time.Since(announced) > time.Second {
			sequence++
			announced = time.Now()
			announce(sequence)
		}
		lease, err := n.Acquire(context.Background(), Request{
			Pool: "m", Organisation: "boutique-de-la-rade", Rank: document.Urgent, EstimatedTokens: 400, PrefixHash: 0x9e3779b97f4a7c15,
		})
		if err != nil {
			b.Fatal(err)
		}
		lease.Release(Usage{Outcome: OK, Tokens: 380, TimeToFirstToken: 120 * time.Millisecond})
	}
	bytes := float64(n.counters.Sent.Load()+n.counters.Received.Load()-before) / float64(b.N)
	b.ReportMetric(bytes, "wire-B/op")
	b.ReportMetric(time.Since(begun).Seconds()/float64(b.N)*1e6, "µs/op")
}

// BenchmarkAnnouncement measures the bytes sent and received for one announcement on its
// way from the instance that received it to the broker and the instance ranked second.
func BenchmarkAnnouncement(b *testing.B) {
	c := newCluster(b, "a", "a", "a")
	broker, others := c.brokerAndOthers("a")
	n := others[1]
	_ = broker.Announce(context.Background(), []*wire.BackendAnnouncement{{Id: "b", Pools: []string{"m"}, Slots: 1, Sequence: 1}})
	lease, err := n.Acquire(context.Background(), Request{Pool: "m"}) // opens the session
	if err != nil {
		b.Fatal(err)
	}
	lease.Release(Usage{})
	before := n.counters.Sent.Load() + n.counters.Received.Load()
	for i := 0; b.Loop(); i++ {
		_ = n.Announce(context.Background(), []*wire.BackendAnnouncement{{
			Id: "summary-quimper-07", Address: "10.12.34.56:8080", DataCentre: "a", Pools: []string{"m"},
			Slots: 16, Running: 9, Queued: 2, Incarnation: 1764800000, Sequence: uint64(i + 1),
		}})
		time.Sleep(2 * time.Millisecond) // let both forwards end before the next announcement
	}
	b.ReportMetric(float64(n.counters.Sent.Load()+n.counters.Received.Load()-before)/float64(b.N), "wire-B/op")
}
