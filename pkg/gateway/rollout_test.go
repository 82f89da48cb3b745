package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/follow"
	"github.com/geraniumpitch/geraniumpitch/pkg/rollout"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
)

// newRolloutFixture returns a gateway with rollouts, to which a leader confirms the records all the time.
func newRolloutFixture(t *testing.T) *fixture {
	t.Helper()
	f := newUnconfirmedFixture(t)
	go func() {
		for sleepContext(t.Context(), 50*time.Millisecond) {
			f.HandleRollouts(nil, 0)
		}
	}()
	return f
}

// newUnconfirmedFixture returns a gateway with rollouts that has heard of no leader yet.
func newUnconfirmedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixtureWith(t, func(s *settings.Gateway) {
		s.RetrySlack = 10_000
		s.Rollouts = &settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackMS: 5000}
	})
	go f.runMoves(t.Context())
	return f
}

// addVersion starts a test server of a version; servers that are added later started later.
func (f *fixture) addVersion(service, id, version string, handler http.HandlerFunc) *testServer {
	f.t.Helper()
	return f.addVersionAt(service, id, "local", version, handler)
}

func (f *fixture) addVersionAt(service, id, dataCentre, version string, handler http.HandlerFunc) *testServer {
	f.t.Helper()
	b := f.addServer(service, id, dataCentre, handler)
	f.announceVersion(b, service, version, directory.Ready, int64(10+len(id)))
	return b
}

func (f *fixture) announceVersion(b *testServer, service, version string, state directory.State, startedMS int64) {
	s := b.announcement(service, state, uint64(time.Now().UnixNano()))
	s.Version, s.StartedMS = version, startedMS
	f.HandleAnnouncements([]directory.Server{s})
}

// order puts a step of a rollout from v1 to v2 in force and confirms it at once.
func (f *fixture) order(service string, state rollout.State, step int, share float64, duration time.Duration) {
	f.t.Helper()
	f.HandleRollouts([]rollout.Record{{
		Service: service, Number: 4, Version: "v2", Established: "v1", State: state, Step: step, Share: share, Duration: duration, AcceptedAt: time.Now(),
	}}, 0)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rollouts.confirmedAt, f.rollouts.resumedAt = time.Now(), time.Now().Add(-time.Minute)
}

func (f *fixture) report(service string) rollout.Report {
	f.t.Helper()
	reports, _ := f.ReportRollouts()
	r, ok := reports[service]
	qt.Assert(f.t, ok, qt.IsTrue)
	return r
}

// countsFor returns the counts of a route and a version, zero if there are none.
func countsFor(r rollout.Report, route string, isNew bool) rollout.Counts {
	for _, c := range r.Counts {
		if c.Route == route && c.NewVersion == isNew {
			return c
		}
	}
	return rollout.Counts{}
}

func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		qt.Assert(f.t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
	}
}

const hour = time.Hour

// Guards against a new version that receives more or less than its share, and against reports that do not
// agree with what its servers received.
func TestRequestsFollowTheShare(t *testing.T) {
	f := newRolloutFixture(t)
	f.publish(1, testConfig())
	old := f.addVersion("app", "a1", "v1", respondDone)
	updated := f.addVersion("app", "b22", "v2", respondDone)
	f.order("app", rollout.InProgress, 1, 0.25, hour)
	const requests = 400
	for range requests {
		qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, http.StatusOK)
	}
	got := len(updated.receivedRequests())
	// Five standard deviations of the number of draws.
	qt.Assert(t, got >= 57 && got <= 143, qt.IsTrue, qt.Commentf("%d of %d", got, requests))
	qt.Assert(t, len(old.receivedRequests())+got, qt.Equals, requests)
	f.eventually("the end of all sends", func() bool { return f.report("app").OldInFlight == 0 })
	report := f.report("app")
	qt.Assert(t, report.Number, qt.Equals, uint64(4))
	qt.Assert(t, report.Step, qt.Equals, 1)
	for isNew, want := range map[bool]int{true: got, false: requests - got} {
		counts := countsFor(report, "once", isNew)
		qt.Check(t, counts.Sent, qt.Equals, uint64(want))
		qt.Check(t, counts.Succeeded, qt.Equals, uint64(want))
		qt.Check(t, counts.Failed, qt.Equals, uint64(0))
		qt.Check(t, counts.Latencies.Total(), qt.Equals, uint64(want))
	}
}

// Guards against retries of any kind that carry a request to the new version for which it was not drawn, and
// against requests that are lost with a bad version: they leave it for the established one.
func TestRetriesKeepTheDraw(t *testing.T) {
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	slow := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(90 * time.Millisecond):
		case <-r.Context().Done():
		}
		respondDone(w, r)
	}
	breakOff := streamHandler(func(event int) bool {
		if event == 3 {
			panic(http.ErrAbortHandler)
		}
		return true
	})
	for _, tt := range []struct {
		name, path string
		handler    http.HandlerFunc
	}{
		{"failed call", "/safe/x", fail},
		{"refused call", "/once/x", respondNotRun},
		{"call broken off", "/safe/x", abortConnection},
		{"slow call", "/safe/x", slow},
		{"failed stream", "/stream/x", fail},
		{"refused stream", "/stream/x", respondNotRun},
		{"stream broken off", "/stream/x", breakOff},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newRolloutFixture(t)
			f.publish(1, testConfig())
			service, sound := "app", http.HandlerFunc(respondDone)
			if strings.HasPrefix(tt.path, "/stream") {
				service, sound = "pool", streamHandler(nil)
			}
			var mu sync.Mutex
			versions := map[string]string{}
			// badVersion is the version whose servers misbehave.
			badVersion := "v1"
			for i, version := range []string{"v1", "v1", "v2", "v2"} {
				f.addVersion(service, strings.Repeat("s", i+1), version, func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					versions[r.Header.Get("X-Id")] += version
					bad := version == badVersion
					mu.Unlock()
					if bad {
						tt.handler(w, r)
						return
					}
					sound(w, r)
				})
			}
			f.order(service, rollout.InProgress, 1, 0.5, hour)
			for range 16 {
				f.send("POST", tt.path, map[string]string{"X-Patience": "1000"})
			}
			mu.Lock()
			for id, visited := range versions {
				if strings.HasPrefix(visited, "v1") {
					qt.Check(t, strings.Contains(visited, "v2"), qt.IsFalse, qt.Commentf("%s: %s", id, visited))
				}
			}
			clear(versions)
			badVersion = "v2"
			mu.Unlock()
			for range 16 {
				got := f.send("POST", tt.path, map[string]string{"X-Patience": "2000"})
				qt.Check(t, got.err, qt.IsNil)
				qt.Check(t, got.status, qt.Equals, http.StatusOK)
				if service == "pool" {
					qt.Check(t, got.body, qt.Equals, expectedEvents(1))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			left := 0
			for _, visited := range versions {
				if strings.HasPrefix(visited, "v2") && strings.HasSuffix(visited, "v1") {
					left++
				}
			}
			qt.Check(t, left > 0, qt.IsTrue, qt.Commentf("%v", versions))
		})
	}
}

// Guards against a gateway without a leader that goes on sending to a version which may have been found bad
// meanwhile, and against one that does not use the share again afterwards.
func TestShareLapses(t *testing.T) {
	f := newUnconfirmedFixture(t)
	f.publish(1, testConfig())
	f.addVersion("app", "a1", "v1", respondDone)
	updated := f.addVersion("app", "b22", "v2", respondDone)
	f.order("app", rollout.InProgress, 1, 0.9, hour)
	sendSome := func() int {
		before := len(updated.receivedRequests())
		for range 30 {
			qt.Assert(t, f.send("POST", "/once/x", nil).status, qt.Equals, http.StatusOK)
		}
		return len(updated.receivedRequests()) - before
	}
	qt.Assert(t, sendSome() > 0, qt.IsTrue)
	age := func(by time.Duration) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.rollouts.confirmedAt = time.Now().Add(-by)
	}
	age(rollout.LapseTime + time.Millisecond)
	qt.Assert(t, sendSome(), qt.Equals, 0)
	// A coordinator without a leader confirms nothing.
	f.HandleRollouts(nil, rollout.LapseTime+time.Millisecond)
	qt.Assert(t, sendSome(), qt.Equals, 0)
	f.HandleRollouts(nil, 100*time.Millisecond)
	qt.Assert(t, sendSome() > 0, qt.IsTrue)
	// The last step stays in force.
	f.order("app", rollout.InProgress, 2, 1, hour)
	age(time.Hour)
	qt.Assert(t, sendSome(), qt.Equals, 30)
}

// Guards against events that a gateway receives at once after it was stopped for a while: they may be older
// than a rollback.
func TestEventsAfterASilenceConfirmNothing(t *testing.T) {
	r := newRollouts()
	now := time.Unix(1000, 0)
	r.recordEvent(now, 0)
	qt.Assert(t, r.confirmedAt.IsZero(), qt.IsTrue)
	now = now.Add(follow.HeartbeatInterval)
	r.recordEvent(now, 100*time.Millisecond)
	confirmed := now.Add(-100 * time.Millisecond)
	qt.Assert(t, r.confirmedAt, qt.Equals, confirmed)
	now = now.Add(10 * time.Second)
	for range 3 {
		now = now.Add(time.Millisecond)
		r.recordEvent(now, 0)
		qt.Assert(t, r.confirmedAt, qt.Equals, confirmed)
	}
	now = now.Add(follow.HeartbeatInterval)
	r.recordEvent(now, 0)
	qt.Assert(t, r.confirmedAt, qt.Equals, now)
	// A coordinator that lags behind takes back nothing.
	r.recordEvent(now, time.Minute)
	qt.Assert(t, r.confirmedAt, qt.Equals, now)
}

// Guards against requests at a version that was rolled back, also if no other server is left, and against
// a step that arrives late and undoes the rollback.
func TestRolledBackVersionGetsNothing(t *testing.T) {
	f := newRolloutFixture(t)
	f.publish(1, testConfig())
	old := f.addVersion("app", "a1", "v1", respondDone)
	updated := f.addVersion("app", "b22", "v2", respondDone)
	f.order("app", rollout.InProgress, 1, 0.9, hour)
	f.order("app", rollout.RolledBack, 2, 0, hour)
	f.order("app", rollout.InProgress, 3, 0.9, hour)
	for range 20 {
		qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	}
	f.announceVersion(old, "app", "v1", directory.Leaving, 12)
	got := f.send("POST", "/safe/x", map[string]string{"X-Patience": "600"})
	qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, updated.receivedRequests(), qt.HasLen, 0)
	reports, _ := f.ReportRollouts()
	qt.Assert(t, reports, qt.HasLen, 0)
}

// Guards against a stream that goes on ordering copies from an engine of a version that was rolled back, or
// that is resumed from a copy at such an engine: it may end where it is, or at the established version.
func TestStreamAtARolledBackVersion(t *testing.T) {
	for _, spareHoldsCopy := range []bool{false, true} {
		t.Run(fmt.Sprintf("copy at the new version %t", spareHoldsCopy), func(t *testing.T) {
			f := newRolloutFixture(t)
			f.publish(1, testConfig())
			begun, goOn := make(chan struct{}, 10), make(chan struct{})
			release := sync.OnceFunc(func() { close(goOn) })
			defer release()
			updated := f.addVersion("pool", "e1", "v2", streamHandler(func(event int) bool {
				if event == 3 {
					begun <- struct{}{}
					<-goOn
					panic(http.ErrAbortHandler)
				}
				return true
			}))
			spare := f.addVersionAt("pool", "e22", "remote", "v2", streamHandler(nil))
			if !spareHoldsCopy {
				f.announceVersion(spare, "pool", "v2", directory.Leaving, 13)
			}
			old := f.addVersionAt("pool", "e333", "remote", "v1", streamHandler(nil))
			f.order("pool", rollout.InProgress, 1, 0.99999, hour)
			done := make(chan callerResponse, 1)
			go func() { done <- f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"}) }()
			<-begun
			f.order("pool", rollout.RolledBack, 2, 0, hour)
			time.Sleep(2 * copyCheckInterval)
			qt.Assert(t, updated.receivedCopyRequests(), qt.Equals, "")
			release()
			got := <-done
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			qt.Assert(t, updated.receivedRequests(), qt.HasLen, 1)
			wantBackup := ""
			if spareHoldsCopy {
				wantBackup = spare.address()
			}
			qt.Assert(t, updated.receivedRequests()[0].Get("X-Backup"), qt.Equals, wantBackup)
			qt.Assert(t, spare.receivedRequests(), qt.HasLen, 0)
			qt.Assert(t, old.receivedRequests(), qt.HasLen, 1)
		})
	}
}

// slowEngine returns a handler whose first run waits after its third event until it is stopped, and a
// channel that receives a value when a run has begun.
func slowEngine(wait time.Duration) (handler http.HandlerFunc, begun chan struct{}) {
	begun = make(chan struct{}, 10)
	return func(w http.ResponseWriter, r *http.Request) {
		streamHandler(func(event int) bool {
			if event != 3 {
				return true
			}
			begun <- struct{}{}
			select {
			case <-time.After(wait):
				return true
			case <-r.Context().Done():
				return false
			}
		})(w, r)
	}, begun
}

// Guards against an old server that gets requests after a rollout is complete, and against streams that are
// lost with the old engines although they can be resumed: those that cannot may only end there.
func TestCompleteWithAStreamAtAnOldEngine(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		t.Run(fmt.Sprintf("resumable %t", resumable), func(t *testing.T) {
			f := newRolloutFixture(t)
			f.publish(1, testConfig())
			handler, begun := slowEngine(time.Second)
			old := f.addVersion("pool", "e1", "v1", handler)
			updated := f.addVersion("pool", "e22", "v2", streamHandler(nil))
			path := map[bool]string{false: "/fixed/x", true: "/stream/x"}[resumable]
			done := make(chan callerResponse, 1)
			go func() { done <- f.send("POST", path, map[string]string{"X-Prompt": "8000"}) }()
			<-begun
			f.order("pool", rollout.Complete, 9, 1, hour)
			qt.Assert(t, f.send("POST", "/stream/x", nil).body, qt.Equals, expectedEvents(1))
			got := <-done
			qt.Assert(t, got.err, qt.IsNil)
			qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
			qt.Assert(t, old.receivedRequests(), qt.HasLen, 1)
			qt.Assert(t, strings.Contains(old.receivedCopyRequests(), "/copy/stop"), qt.IsFalse)
			resumed := updated.receivedRequests()
			if !resumable {
				qt.Assert(t, resumed, qt.HasLen, 1)
				return
			}
			qt.Assert(t, resumed, qt.HasLen, 2)
			qt.Assert(t, resumed[1].Get("X-Last")+resumed[0].Get("X-Last"), qt.Equals, "3")
		})
	}
}

// Guards against old engines that are still busy at the time limit: in the last step, streams that can be
// resumed are moved some time before it, with a copy, and none earlier.
func TestStreamsAreMovedBeforeTheTimeLimit(t *testing.T) {
	f := newRolloutFixture(t)
	c := testConfig()
	c.Routes[2].Timeout, c.Routes[2].MaxPause = 20*time.Second, 10*time.Second
	f.publish(1, c)
	handler, begun := slowEngine(15 * time.Second)
	old := f.addVersion("pool", "e1", "v1", handler)
	updated := f.addVersion("pool", "e22", "v2", streamHandler(nil))
	const duration = moveLead + time.Second
	f.order("pool", rollout.InProgress, 1, 0, duration)
	done := make(chan callerResponse, 1)
	go func() { done <- f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"}) }()
	<-begun
	f.order("pool", rollout.InProgress, 2, 1, duration)
	qt.Assert(t, f.report("pool").OldInFlight, qt.Equals, 1)
	time.Sleep(500 * time.Millisecond)
	qt.Assert(t, updated.receivedRequests(), qt.HasLen, 0)
	got := <-done
	qt.Assert(t, got.err, qt.IsNil)
	qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	qt.Assert(t, got.duration < duration, qt.IsTrue, qt.Commentf("%s", got.duration))
	run := old.receivedRequests()[0]
	qt.Assert(t, old.receivedCopyRequests(), qt.Contains, "POST /copy/stop "+run.Get("X-Id")+" "+updated.address())
	resumed := updated.receivedRequests()
	qt.Assert(t, resumed, qt.HasLen, 1)
	qt.Assert(t, resumed[0].Get("X-Copy"), qt.Equals, old.address()+"/handle-of-e1")
	qt.Assert(t, resumed[0].Get("X-Last"), qt.Equals, "3")
	report := f.report("pool")
	qt.Assert(t, report.OldInFlight, qt.Equals, 0)
	qt.Assert(t, countsFor(report, "stream", false).Failed, qt.Equals, uint64(0))
	// The old engine is not taken for a failed one.
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.pool("pool").DueProbes(time.Now()), qt.HasLen, 0)
}

// Guards against a gateway that starts during a rollout and sends its first requests to old servers, on which
// the leader no longer counts.
func TestRestartedGatewayKnowsTheRollout(t *testing.T) {
	f := newUnconfirmedFixture(t)
	old := f.addVersion("app", "a1", "v1", respondDone)
	updated := f.addVersion("app", "b22", "v2", respondDone)
	f.HandleRollouts([]rollout.Record{{Service: "app", Number: 4, Version: "v2", Established: "v1", Step: 6, Share: 1}}, 0)
	f.publish(1, testConfig())
	for range 20 {
		qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, old.receivedRequests(), qt.HasLen, 0)
	report := f.report("app")
	qt.Assert(t, report.Step, qt.Equals, 6)
	qt.Assert(t, report.OldInFlight, qt.Equals, 0)
	qt.Assert(t, countsFor(report, "safe", true).Sent, qt.Equals, uint64(len(updated.receivedRequests())))
}

// Guards against a version that gets requests without an order because its servers are better, against an
// established version that changes with a restart, and against a service without servers if only others are
// left.
func TestVersionsWithoutAnOrder(t *testing.T) {
	f := newRolloutFixture(t)
	f.publish(1, testConfig())
	old := f.addVersion("app", "a1", "v1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Running", "20")
		respondDone(w, r)
	})
	updated := f.addVersion("app", "b22", "v2", respondDone)
	for range 20 {
		qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, old.receivedRequests(), qt.HasLen, 20)
	f.announceVersion(old, "app", "v1", directory.Leaving, 12)
	for range 20 {
		qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, updated.receivedRequests(), qt.HasLen, 20)
}

// Guards against versions that have an effect in deployments without rollouts.
func TestVersionsWithoutRollouts(t *testing.T) {
	f := newFixture(t)
	f.publish(1, testConfig())
	old := f.addVersion("app", "a1", "v1", respondDone)
	updated := f.addVersion("app", "b22", "v2", respondDone)
	f.HandleRollouts([]rollout.Record{{Service: "app", Number: 4, Version: "v2", Established: "v1", Share: 1}}, 0)
	for range 40 {
		qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	}
	qt.Assert(t, len(old.receivedRequests()) > 0 && len(updated.receivedRequests()) > 0, qt.IsTrue)
}

// Guards against a verdict on responses that say nothing about a version, and against bad responses that are
// not counted.
func TestOutcomesAreCounted(t *testing.T) {
	type counts struct{ sent, succeeded, failed, void, latencies uint64 }
	large := strings.Repeat("x", maxBufferedResponseBytes+1000)
	for _, tt := range []struct {
		name, path string
		handler    http.HandlerFunc
		// leaveAfter is when the caller leaves, if it does.
		leaveAfter time.Duration
		want       counts
	}{
		{"call", "/once/x", respondDone, 0, counts{1, 1, 0, 0, 1}},
		{"error response to a call", "/once/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 0, counts{1, 0, 1, 0, 0}},
		{"client error", "/once/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, 0, counts{1, 1, 0, 0, 1}},
		{"call broken off", "/once/x", abortConnection, 0, counts{1, 0, 1, 0, 0}},
		{"call without a response", "/once/x", hang, 0, counts{1, 0, 1, 0, 0}},
		{"caller of a call left", "/once/x", hang, 100 * time.Millisecond, counts{1, 0, 0, 1, 0}},
		{"large response", "/once/x", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, large) }, 0, counts{1, 1, 0, 0, 1}},
		{"large response cut", "/once/x", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, large)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, 0, counts{1, 0, 1, 0, 0}},
		{"stream", "/fixed/x", streamHandler(nil), 0, counts{1, 1, 0, 0, 1}},
		{"error response to a stream", "/fixed/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 0, counts{1, 0, 1, 0, 0}},
		{"stream cut", "/fixed/x", streamHandler(func(event int) bool {
			if event == 3 {
				panic(http.ErrAbortHandler)
			}
			return true
		}), 0, counts{1, 0, 1, 0, 1}},
		{"caller of a stream left", "/fixed/x", func(w http.ResponseWriter, r *http.Request) {
			streamHandler(func(event int) bool { return event < 3 })(w, r)
			<-r.Context().Done()
		}, 100 * time.Millisecond, counts{1, 0, 0, 1, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newRolloutFixture(t)
			c := testConfig()
			for i := range c.Routes {
				c.Routes[i].Timeout = 500 * time.Millisecond
			}
			f.publish(1, c)
			route, service := strings.Split(tt.path, "/")[1], "app"
			if route == "fixed" {
				service = "pool"
			}
			f.addVersion(service, "b22", "v2", tt.handler)
			f.order(service, rollout.InProgress, 1, 1, hour)
			if tt.leaveAfter > 0 {
				ctx, cancel := context.WithTimeout(t.Context(), tt.leaveAfter)
				defer cancel()
				r, err := http.NewRequestWithContext(ctx, "POST", f.gatewayServer.URL+tt.path, strings.NewReader("ask"))
				qt.Assert(t, err, qt.IsNil)
				r.Host = "h"
				r.Header.Set("X-Id", "left")
				if response, err := f.gatewayServer.Client().Do(r); err == nil {
					_, err = io.ReadAll(response.Body)
					qt.Assert(t, err, qt.IsNotNil)
				}
			} else {
				f.send("POST", tt.path, nil)
			}
			var got counts
			f.eventually(fmt.Sprintf("%+v", tt.want), func() bool {
				f.mu.Lock()
				busy := len(f.rollouts.inFlight[service])
				f.mu.Unlock()
				counted := countsFor(f.report(service), route, true)
				got = counts{counted.Sent, counted.Succeeded, counted.Failed, counted.Void, counted.Latencies.Total()}
				return busy == 0
			})
			qt.Assert(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against requests that certainly did not run and count for a version.
func TestRequestsThatDidNotRunAreNotCounted(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		f := newRolloutFixture(t)
		f.publish(1, testConfig())
		service, route := "app", "once"
		if path == "/stream/x" {
			service, route = "pool", "stream"
		}
		f.addVersion(service, "b22", "v2", respondNotRun)
		f.order(service, rollout.InProgress, 1, 1, hour)
		f.send("POST", path, map[string]string{"X-Patience": "400"})
		counts := countsFor(f.report(service), route, true)
		qt.Check(t, counts.Sent > 0, qt.IsTrue)
		qt.Check(t, counts.Succeeded+counts.Failed, qt.Equals, uint64(0))
		qt.Check(t, counts.Void, qt.Equals, counts.Sent)
	}
}

// Guards against a slow version that does not show because each of its calls loses against a second attempt.
func TestCallThatLostAgainstAnotherCountsAsSlow(t *testing.T) {
	f := newRolloutFixture(t)
	f.publish(1, testConfig())
	f.addVersion("app", "a1", "v1", respondDone)
	f.addVersion("app", "b22", "v2", hang)
	f.order("app", rollout.InProgress, 1, 0.99999, hour)
	qt.Assert(t, f.send("POST", "/safe/x", nil).status, qt.Equals, http.StatusOK)
	f.eventually("the end of the slow send", func() bool { return countsFor(f.report("app"), "safe", true).Succeeded == 1 })
	latencies := countsFor(f.report("app"), "safe", true).Latencies
	for bucket, count := range latencies {
		if count > 0 {
			qt.Assert(t, rollout.UpperBound(bucket) >= 55*time.Millisecond, qt.IsTrue)
		}
	}
}

// Guards against streams that wait for the few engines of a new version and hold up those behind them.
func TestStreamDoesNotWaitForANewEngine(t *testing.T) {
	f := newRolloutFixture(t)
	f.publish(1, testConfig())
	old := f.addVersion("pool", "e1", "v1", streamHandler(nil))
	updated := f.addVersion("pool", "e22", "v2", streamHandler(nil))
	f.order("pool", rollout.InProgress, 1, 0.99999, hour)
	f.mu.Lock()
	f.pool("pool").Reserve("e22", 0, 0, 2)
	f.mu.Unlock()
	qt.Assert(t, f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"}).body, qt.Equals, expectedEvents(1))
	qt.Assert(t, old.receivedRequests(), qt.HasLen, 1)
	qt.Assert(t, updated.receivedRequests(), qt.HasLen, 0)
	f.mu.Lock()
	f.pool("pool").Reserve("e22", 0, 0, -2)
	f.mu.Unlock()
	qt.Assert(t, f.send("POST", "/stream/x", map[string]string{"X-Prompt": "8000"}).body, qt.Equals, expectedEvents(1))
	qt.Assert(t, updated.receivedRequests(), qt.HasLen, 1)
}
