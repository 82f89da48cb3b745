package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// arrivalLog records when requests arrive at a test server.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

// handler returns a handler that records each request and names a limit, if it is not 0.
func (a *arrivalLog) handler(limit float64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.times = append(a.times, time.Now())
		a.mu.Unlock()
		if limit > 0 {
			w.Header().Set("X-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		}
		handler(w, r)
	}
}

// since returns the number of requests after a time.
func (a *arrivalLog) since(t time.Time) (count int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.times {
		if at.After(t) {
			count++
		}
	}
	return count
}

// Guards against a server that gets more requests than the limit that it names, and against callers
// that are not served although another server has room.
func TestRequestsKeepToTheLimitThatAServerNames(t *testing.T) {
	const limit = 8.0
	// A server whose first response was slow gets no calls for 5 s.
	const minLength, maxLength = 2500 * time.Millisecond, 8 * time.Second
	for _, tt := range []struct{ path, service string }{{"/safe/x", "app"}, {"/once/x", "app"}, {"/stream/x", "pool"}} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			var limited arrivalLog
			f.addServer(tt.service, "limited", "local", limited.handler(limit, streamHandler(nil)))
			f.addServer(tt.service, "open", "remote", streamHandler(nil))
			startedAt := time.Now()
			told := startedAt.Add(500 * time.Millisecond)
			var wait sync.WaitGroup
			for time.Since(startedAt) < minLength || time.Since(startedAt) < maxLength && limited.since(told) == 0 {
				wait.Go(func() {
					got := f.send("POST", tt.path, map[string]string{"X-Prompt": "100"})
					qt.Check(t, got.status, qt.Equals, http.StatusOK)
				})
				time.Sleep(10 * time.Millisecond)
			}
			wait.Wait()
			count, allowed := float64(limited.since(told)), 1.5*limit*time.Since(told).Seconds()+5
			qt.Assert(t, count <= allowed, qt.IsTrue, qt.Commentf("%g requests, %g allowed", count, allowed))
			qt.Assert(t, count > 0, qt.IsTrue)
		})
	}
}

// Guards against requests that wait in vain, or starve, when all servers have named limits: what
// cannot be served on time is refused at once and told when to come back, whatever its kind.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	for _, tt := range []struct{ path, service string }{{"/safe/x", "app"}, {"/once/x", "app"}, {"/stream/x", "pool"}} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			f.publish(1, testConfig())
			var arrivals arrivalLog
			f.addServer(tt.service, "limited", "local", arrivals.handler(4, streamHandler(nil)))
			qt.Assert(t, f.send("POST", tt.path, nil).status, qt.Equals, http.StatusOK)
			startedAt := time.Now()
			served, refused := 0, 0
			for time.Since(startedAt) < 2*time.Second {
				got := f.send("POST", tt.path, nil)
				if got.status == http.StatusOK {
					served++
					continue
				}
				refused++
				qt.Assert(t, got.status, qt.Equals, http.StatusServiceUnavailable)
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, retryAfter > 0 && retryAfter <= maxLimitRetryAfter.Seconds(), qt.IsTrue, qt.Commentf("Retry-After %g", retryAfter))
				qt.Assert(t, got.duration < 100*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", got.duration))
				time.Sleep(20 * time.Millisecond)
			}
			qt.Assert(t, served >= 4, qt.IsTrue, qt.Commentf("%d served of 8", served))
			qt.Assert(t, refused > 0, qt.IsTrue)
			qt.Assert(t, arrivals.since(startedAt) <= 1.5*4*2+5, qt.IsTrue, qt.Commentf("%d requests", arrivals.since(startedAt)))
		})
	}
}

// Guards against requests that go on waiting for a limit that the server has withdrawn.
func TestWithdrawnLimitEndsTheWait(t *testing.T) {
	for _, tt := range []struct{ path, service string }{{"/safe/x", "app"}, {"/once/x", "app"}, {"/stream/x", "pool"}} {
		t.Run(tt.path, func(t *testing.T) {
			f := newFixture(t)
			config := testConfig()
			for i := range config.Routes {
				config.Routes[i].Objective, config.Routes[i].Timeout = 10*time.Second, 10*time.Second
			}
			f.publish(1, config)
			var arrivals arrivalLog
			server := f.addServer(tt.service, "limited", "local", arrivals.handler(0.3, streamHandler(nil)))
			for range 2 {
				qt.Assert(t, f.send("POST", tt.path, nil).status, qt.Equals, http.StatusOK)
			}
			waited := make(chan callerResponse, 1)
			go func() { waited <- f.send("POST", tt.path, nil) }()
			time.Sleep(200 * time.Millisecond)
			qt.Assert(t, len(server.receivedRequests()), qt.Equals, 2)
			withdrawn := usage.Limit{Server: "limited", StartedMS: 1}
			f.HandleUsageTotals(usage.Totals{Reporting: 1, Connected: 1, Settled: true, Limits: []usage.Limit{withdrawn}}, usage.Report{})
			got := <-waited
			qt.Assert(t, got.status, qt.Equals, http.StatusOK)
			qt.Assert(t, got.duration < 500*time.Millisecond, qt.IsTrue, qt.Commentf("answered after %s", got.duration))
		})
	}
}
