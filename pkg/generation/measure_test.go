package generation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
)

// reportPercentiles reports the median, 95th percentile and maximum in milliseconds.
func reportPercentiles(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.95), "p95-ms")
	b.ReportMetric(at(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// benchmarkResume measures the longest gap between two tokens at the caller after
// a fault, and the tokens that engines computed or prefilled in excess.
func benchmarkResume(b *testing.B, fault func(c *cluster, e *backend)) {
	const tokens = 60
	var times []time.Duration
	discarded, prefilled := 0, 0
	for range b.N {
		c := newCluster(b, clusterOptions{
			dataCentres: threeDataCentres, engineCount: 3, tokenInterval: 20 * time.Millisecond, attemptChains: true,
			linkDelay: 1500 * time.Microsecond,
		})
		s, err := c.nodes[0].service.Open(context.Background(), newRequest(tokens))
		c.Assert(err, quicktest.IsNil)
		answer := c.readTokens(s, nil, 10+rand.IntN(30))
		e := c.leasedEngine()
		time.Sleep(rand.N(20 * time.Millisecond))
		start := time.Now()
		fault(c, e)
		last, longest := start, time.Duration(0)
		for n := len(answer) + 1; n <= tokens; n++ {
			answer = c.readTokens(s, answer, n)
			longest, last = max(longest, time.Since(last)), time.Now()
		}
		times = append(times, longest)
		c.readComplete(s, answer, tokens)
		for _, e := range c.backends {
			counts := e.Counts()
			discarded += counts.Computed
			prefilled += counts.Prefilled
			e.server.CloseClientConnections()
			e.server.Listener.Close()
		}
		discarded -= tokens
		for _, n := range c.nodes {
			n.kill()
		}
	}
	reportPercentiles(b, times)
	b.ReportMetric(float64(discarded)/float64(b.N), "discarded-tokens")
	b.ReportMetric(float64(prefilled)/float64(b.N), "prefix-tokens")
}

func BenchmarkResumeAfterReset(b *testing.B) {
	benchmarkResume(b, func(_ *cluster, e *backend) { e.kill() })
}

func BenchmarkResumeAfterFreeze(b *testing.B) {
	benchmarkResume(b, func(_ *cluster, e *backend) { e.Freeze() })
}

func BenchmarkResumeAfterSilentConnection(b *testing.B) {
	benchmarkResume(b, func(c *cluster, e *backend) { c.links.between("n1", e.address).silence() })
}

func BenchmarkHolderReset(b *testing.B) {
	benchmarkResume(b, func(c *cluster, _ *backend) { c.copyHolder(c.nodes[0]).kill() })
}

func BenchmarkHolderFrozen(b *testing.B) {
	benchmarkResume(b, func(c *cluster, _ *backend) { c.setFrozen(c.copyHolder(c.nodes[0]), true) })
}

// BenchmarkTakeOver measures the time from a caller's reconnect to its next
// token after the owner was lost: killed, or frozen.
func BenchmarkTakeOver(b *testing.B) {
	for name, fault := range map[string]func(*cluster, *node){
		"killed": func(_ *cluster, n *node) { n.kill() },
		"frozen": func(c *cluster, n *node) { c.setFrozen(n, true) },
	} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				c := newCluster(b, clusterOptions{
					dataCentres: threeDataCentres, engineCount: 3, tokenInterval: 20 * time.Millisecond, attemptChains: true,
					linkDelay: 1500 * time.Microsecond,
				})
				s, err := c.nodes[0].service.Open(context.Background(), newRequest(60))
				c.Assert(err, quicktest.IsNil)
				answer := c.readTokens(s, nil, 10+rand.IntN(30))
				fault(c, c.nodes[0])
				start := time.Now()
				s, err = c.nodes[1+rand.IntN(2)].service.Resume(context.Background(), "o", s.StreamID(), len(answer)-1)
				c.Assert(err, quicktest.IsNil)
				answer = c.readTokens(s, answer, len(answer)+1)
				times = append(times, time.Since(start))
				c.readComplete(s, answer, 60)
				c.setFrozen(c.nodes[0], false)
				for _, n := range c.nodes {
					n.kill()
				}
			}
			reportPercentiles(b, times)
		})
	}
}

// BenchmarkHeldLatency measures the time until the holder has acknowledged a token
// and the token is readable, with one-way link delays of 0 and 1.5 ms.
func BenchmarkHeldLatency(b *testing.B) {
	for _, delay := range []time.Duration{0, 1500 * time.Microsecond} {
		b.Run(delay.String(), func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: threeDataCentres, linkDelay: delay})
			st := c.ownStream("s", nil)
			watch := st.Watch()
			times := make([]time.Duration, 0, b.N)
			for p := range b.N {
				start := time.Now()
				c.Assert(st.Append(p, " token"), quicktest.IsNil)
				_, err := st.Read(context.Background(), watch, p)
				c.Assert(err, quicktest.IsNil)
				times = append(times, time.Since(start))
				time.Sleep(time.Millisecond)
			}
			reportPercentiles(b, times)
		})
	}
}

func (c *cluster) ownStream(stream string, request []byte) *streamrecord.Stream {
	st, err := c.nodes[0].records.BecomeOwner(streamrecord.Record{
		StreamID: stream, Organisation: "o", Request: request, Term: streamrecord.Term{Epoch: 1, Owner: "n1"},
	})
	c.Assert(err, quicktest.IsNil)
	c.Assert(st.SetEngine(streamrecord.EngineLocation{Address: "192.0.2.10:8000", StreamID: stream + ".1.1", Attempt: 1}), quicktest.IsNil)
	return st
}

// BenchmarkReplicationBytes measures the bytes per token between owner and
// holder, including acknowledgements, at one token per stream every 20 ms.
func BenchmarkReplicationBytes(b *testing.B) {
	for _, streams := range []int{1, 20, 200} {
		b.Run(fmt.Sprint(streams, "-streams"), func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: []string{"a", "b"}})
			var list []*streamrecord.Stream
			for i := range streams {
				list = append(list, c.ownStream(fmt.Sprintf("s%024d-n1", i), []byte("{}")))
			}
			time.Sleep(100 * time.Millisecond)
			link := c.links.between("n1", c.membershipList.members[1].PeerAddress)
			before := link.forwardedTotal()
			const tokens = 50
			for p := range tokens {
				for _, st := range list {
					c.Assert(st.Append(p, " token"), quicktest.IsNil)
				}
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(list[streams-1].WaitReadable(context.Background(), tokens), quicktest.IsNil)
			b.ReportMetric(float64(link.forwardedTotal()-before)/float64(tokens*streams), "bytes/token")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (l *link) forwardedTotal() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwardedBytes
}

// instantEngine is an engine that generates tokens without delay.
type instantEngine struct{ engine.Engine }

type instantStream struct{ position, max int }

func (instantEngine) Start(_ context.Context, r engine.Request) (engine.Stream, error) {
	return &instantStream{position: len(r.Prefix), max: r.MaxTokens}, nil
}

func (s *instantStream) Next(context.Context) (engine.Event, error) {
	if s.position == s.max {
		return engine.Event{Kind: engine.Finished, Position: s.position, FinishReason: "length"}, nil
	}
	s.position++
	return engine.Event{Kind: engine.Token, Position: s.position - 1, Text: " token"}, nil
}

func (*instantStream) Close() {}

// BenchmarkRunnerToken measures the cost of one token in the Runner with and
// without a holder.
func BenchmarkRunnerToken(b *testing.B) {
	for name, centres := range map[string][]string{"alone": {"a"}, "with-holder": {"a", "b"}} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: centres, storeBytes: 8 << 30})
			c.slots.engines = []string{"192.0.2.10:8000"}
			n := c.nodes[0].service
			n.newEngine = func(string) engine.Engine { return instantEngine{} }
			b.ReportAllocs()
			b.ResetTimer()
			const maxPerStream = 4000
			for generated := 0; generated < b.N; generated += maxPerStream {
				s, err := n.Open(context.Background(), newRequest(min(maxPerStream, b.N-generated)))
				c.Assert(err, quicktest.IsNil)
				for {
					e, err := s.Next(context.Background())
					c.Assert(err, quicktest.IsNil)
					if e.Finished {
						break
					}
				}
				s.Close()
			}
		})
	}
}

// BenchmarkMemoryPerStream measures the heap of the owner and the holder per
// running stream, without the engine connection.
func BenchmarkMemoryPerStream(b *testing.B) {
	for _, size := range []struct{ prompt, tokens int }{{500, 100}, {4000, 1000}, {30000, 4000}} {
		b.Run(fmt.Sprintf("prompt-%d-tokens-%d", size.prompt, size.tokens), func(b *testing.B) {
			const streams = 200
			c := newCluster(b, clusterOptions{dataCentres: []string{"a", "b"}, storeBytes: 8 << 30})
			c.slots.engines = []string{"192.0.2.10:8000"}
			n := c.nodes[0].service
			n.newEngine = func(string) engine.Engine { return pausingEngine{tokens: size.tokens} }
			before := heapBytes()
			var sessions []Session
			for i := range streams {
				r := newRequest(size.tokens + 1)
				r.Prompt = strings.Repeat(string(rune('a'+i%26)), size.prompt)
				s, err := n.Open(context.Background(), r)
				c.Assert(err, quicktest.IsNil)
				sessions = append(sessions, s)
				c.readTokens(s, nil, size.tokens)
			}
			b.ReportMetric(float64(heapBytes()-before)/streams/1024, "KiB/stream")
			b.ReportMetric(float64(c.nodes[0].records.Stats().Bytes)/streams/1024, "counted-KiB/record")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(sessions)
		})
	}
}

// pausingEngine is an engine that sends a number of tokens and then only heartbeats.
type pausingEngine struct {
	engine.Engine
	tokens int
}

type pausingStream struct{ instantStream }

func (p pausingEngine) Start(_ context.Context, r engine.Request) (engine.Stream, error) {
	return &pausingStream{instantStream{position: len(r.Prefix), max: p.tokens}}, nil
}

func (p pausingEngine) Cancel(context.Context, string) error { return nil }

func (s *pausingStream) Next(ctx context.Context) (engine.Event, error) {
	if s.position < s.max {
		e, err := s.instantStream.Next(ctx)
		e.Text = strings.Clone(e.Text)
		return e, err
	}
	select {
	case <-time.After(200 * time.Millisecond):
		return engine.Event{Kind: engine.Heartbeat}, nil
	case <-ctx.Done():
		return engine.Event{}, ctx.Err()
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
