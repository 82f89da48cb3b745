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

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
	"github.com/geraniumpitch/geraniumpitch/pkg/standin"
)

// backendServers starts stand-in services and puts them into the rig's slots.
func (g *rig) backendServers(t *testing.T, options ...standin.ServiceOptions) []*standin.PlainService {
	var list []*standin.PlainService
	for _, o := range options {
		o.Slots = 8
		s := standin.NewService(o, nil, slog.New(slog.DiscardHandler))
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		g.slots.addresses = append(g.slots.addresses, server.Listener.Addr().String())
		list = append(list, s)
	}
	return list
}

func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// TestCalls guards G4 and G5 at the backend side: how often a call runs, what
// the caller is told and how the claim ends, for each kind of failure.
func TestCalls(t *testing.T) {
	ok, refuses := standin.ServiceOptions{}, standin.ServiceOptions{RefusePercent: 100}
	breaksBefore, breaksAfter := standin.ServiceOptions{BreakBeforePercent: 100}, standin.ServiceOptions{BreakAfterPercent: 100}
	slow := standin.ServiceOptions{Delay: 3 * time.Second}
	const order, stock = "POST /v1/services/desk/orders", "PUT /v1/services/desk/stock/7"
	tests := []struct {
		name     string
		call     string
		closed   bool
		servers  []standin.ServiceOptions
		status   int
		want     string
		ran      uint64
		released int
	}{
		{"order", order, false, []standin.ServiceOptions{ok}, 200, `"key":"k"`, 1, 0},
		{"order, no connection to the first", order, true, []standin.ServiceOptions{ok}, 200, `"key":"k"`, 1, 0},
		{"order, refused by the first", order, false, []standin.ServiceOptions{refuses, ok}, 200, `"key":"k"`, 1, 0},
		{"order, refused by all", order, false, []standin.ServiceOptions{refuses, refuses}, 503, `"outcome":"not_run"`, 0, 1},
		{"order, no backend server", order, false, nil, 503, `"outcome":"not_run","code":"no_backend"`, 0, 1},
		{"order, broken before", order, false, []standin.ServiceOptions{breaksBefore, ok}, 502, `"outcome":"unknown"`, 0, 0},
		{"order, broken after", order, false, []standin.ServiceOptions{breaksAfter, ok}, 502, `"outcome":"unknown"`, 1, 0},
		{"order, too slow", order, false, []standin.ServiceOptions{slow, ok}, 504, `"outcome":"unknown","code":"timeout"`, 1, 0},
		{"stock, broken after", stock, false, []standin.ServiceOptions{breaksAfter, ok}, 200, `"execution":1`, 2, 0},
		{"stock, broken after by all", stock, false, []standin.ServiceOptions{breaksAfter, breaksAfter}, 502, `"outcome":"unknown"`, 2, 0},
		{"stock, refused by all", stock, false, []standin.ServiceOptions{refuses, refuses}, 503, `"outcome":"not_run"`, 0, 0},
		{"stock, broken after, then refused", stock, false, []standin.ServiceOptions{breaksAfter, refuses, refuses}, 502, `"outcome":"unknown"`, 1, 0},
		{"stock, refused by the first", stock, true, []standin.ServiceOptions{refuses, ok}, 200, `"execution":1`, 1, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newRig(t)
			if test.closed {
				g.slots.addresses = append(g.slots.addresses, closedAddress(t))
			}
			servers := g.backendServers(t, test.servers...)
			method, path, _ := strings.Cut(test.call, " ")
			response, text := g.send(t, method, path, `{"item":7}`, fillKey, "Idempotency-Key: k")
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			qt.Assert(t, text, qt.Contains, test.want)
			ran := uint64(0)
			for _, s := range servers {
				ran += s.Executed()
			}
			qt.Assert(t, ran, qt.Equals, test.ran)
			qt.Assert(t, g.once.released, qt.Equals, test.released)
			completed := test.call == order && test.status == 200
			qt.Assert(t, len(g.once.completed) == 1, qt.Equals, completed)
		})
	}
}

// TestVerdicts guards that a call without a successful claim is not sent.
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
			g := newRig(t)
			servers := g.backendServers(t, standin.ServiceOptions{})
			g.once.verdict = test.verdict
			response, text := g.send(t, "POST", "/v1/services/desk/orders", "", fillKey, "Idempotency-Key: k")
			qt.Assert(t, response.StatusCode, qt.Equals, test.status, qt.Commentf("%s", text))
			qt.Assert(t, text, qt.Contains, test.want)
			qt.Assert(t, servers[0].Executed(), qt.Equals, uint64(0))
			// The broker must not be asked: its refusal would be told as "not run".
			g.slots.err = &broker.Refusal{Reason: "limit"}
			_, again := g.send(t, "POST", "/v1/services/desk/orders", "", fillKey, "Idempotency-Key: k")
			qt.Assert(t, again, qt.Equals, text)
		})
	}
}

// TestNeverSentTwice guards against net/http, which sends a request with an
// Idempotency-Key header again when a kept connection was closed.
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
	g := newRig(t)
	g.slots.addresses = []string{server.Listener.Addr().String()}
	for want := range int64(3) {
		_, _ = g.send(t, "POST", "/v1/services/desk/orders", "x", fillKey, "Idempotency-Key: k")
		qt.Assert(t, received.Load(), qt.Equals, want+1)
	}
}

// TestResendIsNeverNotRun guards resends that are refused before their key or
// stream was looked at: the first sending may have run.
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
				g := newRig(t)
				if test.header == "" {
					g.service.Config = &configwatch.Holder{}
				}
				response, text := g.send(t, "POST", test.path, "", fillKey, resend, test.header)
				qt.Assert(t, text, qt.Contains, `"outcome":"unknown"`)
				qt.Assert(t, response.StatusCode == 503, qt.Equals, test.header == "")
			})
		}
	}
}

// TestRetryBudget guards a failing service against three times its load.
func TestRetryBudget(t *testing.T) {
	b := newBudgets().of("desk")
	granted := 0
	for range 1000 {
		b.called()
		for range maxAttempts - 1 {
			if b.retry() {
				granted++
			}
		}
	}
	// The loop may take a while on a busy machine, during which 3 a second are added.
	qt.Assert(t, granted >= 200 && granted < 300, qt.IsTrue, qt.Commentf("%d", granted))
}

// TestSlowSender guards the memory and the connection that a stalled body holds.
func TestSlowSender(t *testing.T) {
	g := newRig(t)
	g.service.limits.bodyTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + fillKey + "\r\nContent-Length: 100\r\n\r\n{"))
	qt.Assert(t, err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	raw := make([]byte, 12)
	_, err = conn.Read(raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(raw), qt.Equals, "HTTP/1.1 408")
}

// TestSlowReader guards the places for streams: a caller that stops reading
// loses its connection.
func TestSlowReader(t *testing.T) {
	g := newRig(t)
	g.runner.endless = true
	g.service.limits.writeTimeout = 50 * time.Millisecond
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	body := `{"model":"summary","prompt":"a","stream":true}`
	request, err := http.NewRequest("POST", "http://x/v1/completions", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer fill-key")
	var raw bytes.Buffer
	qt.Assert(t, request.Write(&raw), qt.IsNil)
	_, err = conn.Write(raw.Bytes())
	qt.Assert(t, err, qt.IsNil)
	select {
	case <-g.runner.closed:
	case <-time.After(20 * time.Second):
		t.Fatal("the session of a caller that does not read is still open")
	}
}

// TestHeartbeat guards callers against taking a pause for a dead connection.
func TestHeartbeat(t *testing.T) {
	g := newRig(t)
	g.service.limits.heartbeat = 20 * time.Millisecond
	g.runner.gate, g.runner.hold = make(chan struct{}), 1
	time.AfterFunc(200*time.Millisecond, func() { close(g.runner.gate) })
	_, text := g.send(t, "POST", "/v1/completions", `{"model":"summary","prompt":"a b","stream":true}`, fillKey)
	first, rest, _ := strings.Cut(text, "id: s1.1")
	qt.Assert(t, first, qt.Contains, ": heartbeat\n\n")
	qt.Assert(t, rest, qt.Contains, "id: s1.2")
}
