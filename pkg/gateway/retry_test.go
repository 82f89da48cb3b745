package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
)

// limitRetries sets the retry budget of a service to retries per request, without slack.
func (f *fixture) limitRetries(service string, ratio float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.budget(service)
	b.RetryRatio, b.RetrySlack = ratio, 0
}

// Guards against sends that pass the retry budget by: whatever ends an attempt, the arrivals beyond
// the first of each request stay within the budget of the service.
func TestAllArrivalsAreWithinTheRetryBudget(t *testing.T) {
	breakOff := func(after int) http.HandlerFunc {
		return streamHandler(func(i int) bool {
			if i == after {
				panic(http.ErrAbortHandler)
			}
			return true
		})
	}
	misdirect := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for _, tt := range []struct {
		name, path, service string
		handler             http.HandlerFunc
	}{
		{"refused stream", "/stream/x", "pool", respondNotRun},
		{"misdirected stream", "/stream/x", "pool", misdirect},
		{"failed stream", "/stream/x", "pool", fail},
		{"stream broken off before its head", "/stream/x", "pool", abortConnection},
		{"stream broken off after one event", "/stream/x", "pool", breakOff(1)},
		{"refused call", "/once/x", "app", respondNotRun},
		{"misdirected call", "/safe/x", "app", misdirect},
		{"failed call", "/safe/x", "app", fail},
		{"call broken off", "/safe/x", "app", abortConnection},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const requests, ratio = 10, 0.8
			f := newFixture(t)
			f.publish(1, testConfig())
			f.limitRetries(tt.service, ratio)
			var arrivals atomic.Int64
			for i := range 6 {
				f.addServer(tt.service, fmt.Sprintf("s%d", i), "local", func(w http.ResponseWriter, r *http.Request) {
					arrivals.Add(1)
					tt.handler(w, r)
				})
			}
			for range requests {
				f.send("POST", tt.path, map[string]string{"X-Patience": "500", "X-Prompt": "8000"})
			}
			beyondFirst := float64(arrivals.Load() - requests)
			qt.Assert(t, beyondFirst <= ratio*requests, qt.IsTrue, qt.Commentf("%g arrivals beyond the first of %d requests", beyondFirst, requests))
		})
	}
}

// Guards against requests that are charged for sends that never arrive.
func TestUnsentAttemptsAreNotCharged(t *testing.T) {
	for _, tt := range []struct{ path, service string }{{"/once/x", "app"}, {"/stream/x", "pool"}} {
		f := newFixture(t)
		f.publish(1, testConfig())
		f.limitRetries(tt.service, 0)
		gone := f.addServer(tt.service, "gone", "local", respondNotRun)
		qt.Assert(t, gone.Listener.Close(), qt.IsNil)
		f.addServer(tt.service, "remote", "remote", streamHandler(nil))
		got := f.send("POST", tt.path, nil)
		qt.Assert(t, got.status, qt.Equals, http.StatusOK)
		qt.Assert(t, got.body, qt.Equals, expectedEvents(1))
	}
}

// Guards against charges that are lost with an attempt that was not sent, or kept after the request.
func TestSendLedger(t *testing.T) {
	f := newFixture(t)
	f.limitRetries("app", 2)
	ledger := f.newSendLedger("app")
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsTrue)
	ledger.cancel()
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsTrue, qt.Commentf("the first send"))
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsTrue, qt.Commentf("one retry of 2 x 0.7"))
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsFalse)
	ledger.cancel()
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsTrue, qt.Commentf("the retry that was not sent"))
	ledger.cancel()
	ledger.release()
	qt.Assert(t, ledger.begin(placement.Restart), qt.IsTrue, qt.Commentf("the retry that was taken back"))
	other := f.newSendLedger("app")
	qt.Assert(t, other.reserve(placement.Optional), qt.IsTrue, qt.Commentf("two requests allow 4 x 0.5"))
	qt.Assert(t, other.begin(placement.Restart), qt.IsTrue)
	qt.Assert(t, other.begin(placement.Restart), qt.IsTrue)
	qt.Assert(t, other.begin(placement.Restart), qt.IsFalse)
}
