package entry

import (
	"bytes"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/internal/testnet"
	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

// startBackends starts stand-in backend servers and adds them to the fake slots.
func (api *testAPI) startBackends(t *testing.T, options ...standin.PlainServiceOptions) []*standin.PlainService {
	var backends []*standin.PlainService
	for _, o := range options {
		o.Slots = 8
		s := standin.NewPlainService(o, nil, slog.New(slog.DiscardHandler))
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		api.slots.addresses = append(api.slots.addresses, server.Listener.Addr().String())
		backends = append(backends, s)
	}
	return backends
}

// TestCalls guards against calls that run more often than allowed and against responses
// that say not_run for a call that ran. For each kind of failure it checks how often a
// call runs, which response the caller gets, and how the claim of the key ends. "Broken
// before" and "broken after" are connections closed before and after the call ran.
func TestCalls(t *testing.T) {
	ok, refusing := standin.PlainServiceOptions{}, standin.PlainServiceOptions{RefusePercent: 100}
	breakingBefore, breakingAfter := standin.PlainServiceOptions{BreakBeforePercent: 100}, standin.PlainServiceOptions{BreakAfterPercent: 100}
	slow := standin.PlainServiceOptions{Delay: 3 * time.Second}
	const order, stock = "POST /v1/services/desk/orders", "PUT /v1/services/desk/stock/7"
	tests := []struct {
		name             string
		call             string
		firstUnreachable bool
		servers          []standin.PlainServiceOptions
		status           int
		want             string
		executions       uint64
		released         int
	}{
		{"order", order, false, []standin.PlainServiceOptions{ok}, 200, `"key":"k"`, 1, 0},
		{"order, no connection to the first", order, true, []standin.PlainServiceOptions{ok}, 200, `"key":"k"`, 1, 0},
		{"order, refused by the first", order, false, []standin.PlainServiceOptions{refusing, ok}, 200, `"key":"k"`, 1, 0},
		{"order, refused by all", order, false, []standin.PlainServiceOptions{refusing, refusing}, 503, `"outcome":"not_run"`, 0, 1},
		{"order, no backend server", order, false, nil, 503, `"outcome":"not_run","code":"no_backend"`, 0, 1},
		{"order, broken before", order, false, []standin.PlainServiceOptions{breakingBefore, ok}, 502, `"outcome":"unknown"`, 0, 0},
		{"order, broken after", order, false, []standin.PlainServiceOptions{breakingAfter, ok}, 502, `"outcome":"unknown"`, 1, 0},
		{"order, too slow", order, false, []standin.PlainServiceOptions{slow, ok}, 504, `"outcome":"unknown","code":"timeout"`, 1, 0},
		{"stock, broken after", stock, false, []standin.PlainServiceOptions{breakingAfter, ok}, 200, `"execution":1`, 2, 0},
		{"stock, broken after by all", stock, false, []standin.PlainServiceOptions{breakingAfter, breakingAfter}, 502, `"outcome":"unknown"`, 2, 0},
		{"stock, refused by all", stock, false, []standin.PlainServiceOptions{refusing, refusing}, 503, `"outcome":"not_run"`, 0, 0},
		{"stock, broken after, then refused", stock, false, []standin.PlainServiceOptions{breakingAfter, refusing, refusing}, 502, `"outcome":"unknown"`, 1, 0},
		{"stock, refused by the first", stock, true, []standin.PlainServiceOptions{refusing, ok}, 200, `"execution":1`, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			api := newTestAPI(t)
			if test.firstUnreachable {
				api.slots.addresses = append(api.slots.addresses, testnet.UnusedAddress(t))
			}
			servers := api.startBackends(t, test.servers...)
			method, path, _ := strings.Cut(test.call, " ")
			response, text := api.send(t, method, path, `{"item":7}`, fillKey, "Idempotency-Key: k")
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			qt.Assert(t, text, qt.Contains, test.want)
			executions := uint64(0)
			for _, s := range servers {
				executions += s.Executed()
			}
			qt.Assert(t, executions, qt.Equals, test.executions)
			qt.Assert(t, api.once.released, qt.Equals, test.released)
			completed := test.call == order && test.status == 200
			qt.Assert(t, len(api.once.completed) == 1, qt.Equals, completed)
		})
	}
}

// TestVerdicts checks that a call whose key could not be claimed is not sent.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		verdict once.Verdict
		status  int
		want    string
	}{
		{once.Verdict{Outcome: once.Answered, Answer: &once.Answer{Status: 201, Body: []byte("kept")}}, 201, "kept"},
		{once.Verdict{Outcome: once.Unknown, Reason: once.ReasonStarted}, 409, `"outcome":"unknown","code":"started"`},
		{once.Verdict{Outcome: once.Unknown, Reason: once.ReasonNoRecord}, 409, `"outcome":"unknown","code":"no_record"`},
		{once.Verdict{Outcome: once.Mismatch}, 422, `"outcome":"unknown","code":"key_reused"`},
		{once.Verdict{Outcome: once.Invalid}, 422, `"outcome":"unknown","code":"invalid_key"`},
		{once.Verdict{Outcome: once.NotRun, Reason: once.ReasonClaimLost}, 503, `"outcome":"not_run"`},
	}
	for _, test := range tests {
		t.Run(string(test.verdict.Outcome)+test.verdict.Reason, func(t *testing.T) {
			api := newTestAPI(t)
			servers := api.startBackends(t, standin.PlainServiceOptions{})
			api.once.verdict = test.verdict
			response, text := api.send(t, "POST", "/v1/services/desk/orders", "", fillKey, "Idempotency-Key: k")
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			qt.Assert(t, text, qt.Contains, test.want)
			qt.Assert(t, servers[0].Executed(), qt.Equals, uint64(0))
			// No slot may be requested: a refusal would be reported as not_run.
			api.slots.err = &broker.Refusal{Reason: "limit"}
			_, second := api.send(t, "POST", "/v1/services/desk/orders", "", fillKey, "Idempotency-Key: k")
			qt.Assert(t, second, qt.Equals, text)
		})
	}
}

// TestNeverSentTwice guards against resends by net/http, which repeats a request
// with an Idempotency-Key header if an idle connection was closed.
func TestNeverSentTwice(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if received.Add(1) > 1 {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
	}))
	defer server.Close()
	api := newTestAPI(t)
	api.slots.addresses = []string{server.Listener.Addr().String()}
	for want := range int64(3) {
		_, _ = api.send(t, "POST", "/v1/services/desk/orders", "x", fillKey, "Idempotency-Key: k")
		qt.Assert(t, received.Load(), qt.Equals, want+1)
	}
}

// TestResendIsNeverNotRun checks that a resend which is rejected before its key or
// stream is looked up is not reported as not_run: the original request may have run.
func TestResendIsNeverNotRun(t *testing.T) {
	tests := []struct{ name, path, header string }{
		{"bad path", "/v1/services/desk/../orders", fillKey},
		{"bad rank", "/v1/services/desk/orders", "X-Rank: now"},
		{"unknown caller", "/v1/services/desk/orders", "Authorization: Bearer nobody"},
		{"unknown caller of a generation", "/v1/completions", "Authorization: Bearer nobody"},
		{"no configuration", "/v1/services/desk/orders", ""},
		{"bad body", "/v1/completions", fillKey},
	}
	for _, test := range tests {
		for _, resend := range []string{"Idempotency-Key: k", "Last-Event-ID: s1.1"} {
			if strings.HasPrefix(resend, "Last") && strings.Contains(test.path, "services") {
				continue
			}
			t.Run(test.name+resend[:4], func(t *testing.T) {
				api := newTestAPI(t)
				if test.header == "" {
					api.service.Config = &configwatch.SettableSource{}
				}
				response, text := api.send(t, "POST", test.path, "", fillKey, resend, test.header)
				qt.Assert(t, text, qt.Contains, `"outcome":"unknown"`)
				qt.Assert(t, response.StatusCode == 503, qt.Equals, test.header == "")
			})
		}
	}
}

// TestRetryBudget checks that retries cannot triple the load on a failing service.
func TestRetryBudget(t *testing.T) {
	b := newRetryBudgets().forService("desk")
	granted := 0
	for range 1000 {
		b.recordCall()
		for range maxAttempts - 1 {
			if b.allowRetry() {
				granted++
			}
		}
	}
	// 1000 calls add 200 retries; the minimum rate adds 3 more per second, and the
	// loop may be slow on a busy host.
	qt.Assert(t, granted >= 200 && granted < 300, qt.IsTrue, qt.Commentf("%d", granted))
}

// TestSlowSender checks that a stalled request body times out, because it holds
// memory and a connection.
func TestSlowSender(t *testing.T) {
	api := newTestAPI(t)
	api.service.limits.bodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", api.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + fillKey + "\r\nContent-Length: 100\r\n\r\n{"))
	qt.Assert(t, err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	statusLine := make([]byte, 12)
	_, err = conn.Read(statusLine)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(statusLine), qt.Equals, "HTTP/1.1 408")
}

// TestSlowReader checks that the session of a caller that stops reading is closed,
// so that it no longer counts towards the limit of streams.
func TestSlowReader(t *testing.T) {
	api := newTestAPI(t)
	api.runner.endless = true
	api.service.limits.writeTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", api.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	body := `{"model":"summary","prompt":"a","stream":true}`
	request, err := http.NewRequest("POST", "http://x/v1/completions", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer fill-key")
	var requestBytes bytes.Buffer
	qt.Assert(t, request.Write(&requestBytes), qt.IsNil)
	_, err = conn.Write(requestBytes.Bytes())
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-api.runner.closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the session of a caller that does not read is still open")
	}
}

// TestHeartbeat checks that heartbeats are sent during a pause, so that callers do
// not mistake it for a dead connection.
func TestHeartbeat(t *testing.T) {
	api := newTestAPI(t)
	api.service.limits.heartbeatInterval = 20 * time.Millisecond
	api.runner.gate, api.runner.blockAt = make(chan struct{}), 1
	time.AfterFunc(200*time.Millisecond, func() { close(api.runner.gate) })
	_, text := api.send(t, "POST", "/v1/completions", `{"model":"summary","prompt":"a b","stream":true}`, fillKey)
	beforePause, afterPause, _ := strings.Cut(text, "id: s1.1")
	qt.Assert(t, beforePause, qt.Contains, ": heartbeat\n\n")
	qt.Assert(t, afterPause, qt.Contains, "id: s1.2")
}
