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

// report prints percentiles of a set of times, in milliseconds.
func report(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.95), "p95-ms")
	b.ReportMetric(at(1), "max-ms")
	b.ReportMetric(0, "ns/op")
}

// benchmarkResume measures the time from a fault to the caller's next token
// that the fault held up, and the work of the engines in excess.
func benchmarkResume(b *testing.B, fault func(c *cluster, e *backend)) {
	const tokens = 60
	var times []time.Duration
	extra, prefilled := 0, 0
	for range b.N {
		c := newCluster(b, clusterOptions{
			dataCentres: threeCentres, engines: 3, interval: 20 * time.Millisecond, attemptChains: true,
			delay: 1500 * time.Microsecond,
		})
		s, err := c.nodes[0].service.Open(context.Background(), request(tokens))
		c.Assert(err, quicktest.IsNil)
		answer := c.read(s, nil, 10+rand.IntN(30))
		e := c.current()
		time.Sleep(rand.N(20 * time.Millisecond))
		start := time.Now()
		fault(c, e)
		last, longest := start, time.Duration(0)
		for n := len(answer) + 1; n <= tokens; n++ {
			answer = c.read(s, answer, n)
			longest, last = max(longest, time.Since(last)), time.Now()
		}
		times = append(times, longest)
		c.whole(s, answer, tokens)
		for _, e := range c.backends {
			counts := e.Counts()
			extra += counts.Computed
			prefilled += counts.Prefilled
			e.server.CloseClientConnections()
			e.server.Listener.Close()
		}
		extra -= tokens
		for _, n := range c.nodes {
			n.kill()
		}
	}
	report(b, times)
	b.ReportMetric(float64(extra)/float64(b.N), "discarded-tokens")
	b.ReportMetric(float64(prefilled)/float64(b.N), "prefix-tokens")
}

func BenchmarkResumeAfterReset(b *testing.B) {
	benchmarkResume(b, func(_ *cluster, e *backend) { e.kill() })
}

func BenchmarkResumeAfterFreeze(b *testing.B) {
	benchmarkResume(b, func(_ *cluster, e *backend) { e.Freeze() })
}

func BenchmarkResumeAfterSilentConnection(b *testing.B) {
	benchmarkResume(b, func(c *cluster, e *backend) { c.links.to("n1", e.address).silence() })
}

func BenchmarkHolderReset(b *testing.B) {
	benchmarkResume(b, func(c *cluster, _ *backend) { c.holder(c.nodes[0]).kill() })
}

func BenchmarkHolderFrozen(b *testing.B) {
	benchmarkResume(b, func(c *cluster, _ *backend) { c.freeze(c.holder(c.nodes[0]), true) })
}

// BenchmarkTakeOver measures the time from a caller's reconnect to its next
// token after the owner was lost: killed, or frozen.
func BenchmarkTakeOver(b *testing.B) {
	for name, fault := range map[string]func(*cluster, *node){
		"killed": func(_ *cluster, n *node) { n.kill() },
		"frozen": func(c *cluster, n *node) { c.freeze(n, true) },
	} {
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			for range b.N {
				c := newCluster(b, clusterOptions{
					dataCentres: threeCentres, engines: 3, interval: 20 * time.Millisecond, attemptChains: true,
					delay: 1500 * time.Microsecond,
				})
				s, err := c.nodes[0].service.Open(context.Background(), request(60))
				c.Assert(err, quicktest.IsNil)
				answer := c.read(s, nil, 10+rand.IntN(30))
				fault(c, c.nodes[0])
				start := time.Now()
				s, err = c.nodes[1+rand.IntN(2)].service.Resume(context.Background(), "o", s.Stream(), len(answer)-1)
				c.Assert(err, quicktest.IsNil)
				answer = c.read(s, answer, len(answer)+1)
				times = append(times, time.Since(start))
				c.whole(s, answer, 60)
				c.freeze(c.nodes[0], false)
				for _, n := range c.nodes {
					n.kill()
				}
			}
			report(b, times)
		})
	}
}

// BenchmarkHeldLatency measures the time until a token may be sent, without a
// delay and with 1.5 ms one way to the holder.
func BenchmarkHeldLatency(b *testing.B) {
	for _, delay := range []time.Duration{0, 1500 * time.Microsecond} {
		b.Run(delay.String(), func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: threeCentres, delay: delay})
			st := c.own("s", nil)
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
			report(b, times)
		})
	}
}

func (c *cluster) own(stream string, request []byte) *streamrecord.Stream {
	st, err := c.nodes[0].store.Own(streamrecord.Record{
		Stream: stream, Organisation: "o", Request: request, Term: streamrecord.Term{Epoch: 1, Owner: "n1"},
	})
	c.Assert(err, quicktest.IsNil)
	c.Assert(st.SetEngine(streamrecord.Engine{Address: "192.0.2.10:8000", Stream: stream + ".1.1", Attempt: 1}), quicktest.IsNil)
	return st
}

// BenchmarkReplicationBytes measures the bytes per token between owner and
// holder, acknowledgements included, with tokens each 20 ms.
func BenchmarkReplicationBytes(b *testing.B) {
	for _, streams := range []int{1, 20, 200} {
		b.Run(fmt.Sprint(streams, "-streams"), func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: []string{"a", "b"}})
			var list []*streamrecord.Stream
			for i := range streams {
				list = append(list, c.own(fmt.Sprintf("s%024d-n1", i), []byte("{}")))
			}
			time.Sleep(100 * time.Millisecond)
			link := c.links.to("n1", c.table.members[1].PeerAddress)
			before := link.total()
			const tokens = 50
			for p := range tokens {
				for _, st := range list {
					c.Assert(st.Append(p, " token"), quicktest.IsNil)
				}
				time.Sleep(20 * time.Millisecond)
			}
			c.Assert(list[streams-1].WaitHeld(context.Background(), tokens), quicktest.IsNil)
			b.ReportMetric(float64(link.total()-before)/float64(tokens*streams), "bytes/token")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (l *link) total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// instant is an engine that makes tokens without any delay.
type instant struct{ engine.Engine }

type instantStream struct{ position, max int }

func (instant) Start(_ context.Context, r engine.Request) (engine.Stream, error) {
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

// BenchmarkRunnerToken measures the cost of one token in the runner, without
// and with a holder.
func BenchmarkRunnerToken(b *testing.B) {
	for name, centres := range map[string][]string{"alone": {"a"}, "with-holder": {"a", "b"}} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, clusterOptions{dataCentres: centres, storeBytes: 8 << 30})
			c.slots.engines = []string{"192.0.2.10:8000"}
			n := c.nodes[0].service
			n.connect = func(string) engine.Engine { return instant{} }
			b.ReportAllocs()
			b.ResetTimer()
			const most = 4000
			for done := 0; done < b.N; done += most {
				s, err := n.Open(context.Background(), request(min(most, b.N-done)))
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

// BenchmarkMemoryPerStream measures the heap of the owner and the holder for
// one running stream, besides its engine connection.
func BenchmarkMemoryPerStream(b *testing.B) {
	for _, size := range []struct{ prompt, tokens int }{{500, 100}, {4000, 1000}, {30000, 4000}} {
		b.Run(fmt.Sprintf("prompt-%d-tokens-%d", size.prompt, size.tokens), func(b *testing.B) {
			const streams = 200
			c := newCluster(b, clusterOptions{dataCentres: []string{"a", "b"}, storeBytes: 8 << 30})
			c.slots.engines = []string{"192.0.2.10:8000"}
			n := c.nodes[0].service
			n.connect = func(string) engine.Engine { return paused{tokens: size.tokens} }
			before := heap()
			var sessions []Session
			for i := range streams {
				r := request(size.tokens + 1)
				r.Prompt = strings.Repeat(string(rune('a'+i%26)), size.prompt)
				s, err := n.Open(context.Background(), r)
				c.Assert(err, quicktest.IsNil)
				sessions = append(sessions, s)
				c.read(s, nil, size.tokens)
			}
			b.ReportMetric(float64(heap()-before)/streams/1024, "KiB/stream")
			b.ReportMetric(float64(c.nodes[0].store.Stats().Bytes)/streams/1024, "counted-KiB/record")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(sessions)
		})
	}
}

// paused is an engine that makes a number of tokens and then only heartbeats.
type paused struct {
	engine.Engine
	tokens int
}

type pausedStream struct{ instantStream }

func (p paused) Start(_ context.Context, r engine.Request) (engine.Stream, error) {
	return &pausedStream{instantStream{position: len(r.Prefix), max: p.tokens}}, nil
}

func (p paused) Cancel(context.Context, string) error { return nil }

func (s *pausedStream) Next(ctx context.Context) (engine.Event, error) {
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

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
