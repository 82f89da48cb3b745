package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/placement"
	"github.com/geraniumpitch/geraniumpitch/pkg/routing"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/upstream"
	"github.com/geraniumpitch/geraniumpitch/pkg/usage"
)

// testProtocol is a Protocol with header names that only the tests use.
type testProtocol struct{}

func (testProtocol) ParseRequest(h http.Header) RequestFields {
	timeoutMS, _ := strconv.Atoi(h.Get("X-Patience"))
	prompt, _ := strconv.Atoi(h.Get("X-Prompt"))
	return RequestFields{
		ID: h.Get("X-Id"), Key: h.Get("X-Key"), Timeout: time.Duration(timeoutMS) * time.Millisecond,
		LastEventID: h.Get("X-Last"), SessionPart: h.Get("X-Subject"), PromptTokens: prompt,
		SharedParts: strings.Fields(h.Get("X-Shared")),
	}
}

func (testProtocol) PrepareHeaders(h http.Header, s ServerFields) {
	h.Del("X-Key")
	h.Set("X-Instance", s.ServerID)
	h.Set("X-Organisation", s.Organisation)
	h.Set("X-Patience", strconv.Itoa(int(s.TimeLeft.Milliseconds())))
	h.Set("X-Last", s.LastEventID)
	h.Set("X-Backup", s.BackupAddress)
	h.Set("X-Copy", s.CopyAddress+"/"+s.CopyHandle)
}

func (testProtocol) ParseResponse(status int, h http.Header) ResponseFields {
	a := ResponseFields{RequestID: h.Get("X-Id"), NotRun: h.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest}
	if running, err := strconv.Atoi(h.Get("X-Running")); err == nil {
		waiting, _ := strconv.Atoi(h.Get("X-Waiting"))
		a.Load = &placement.LoadReport{Running: running, Waiting: waiting, Slots: 6}
	}
	if seconds, err := strconv.ParseFloat(h.Get("X-Pause"), 64); err == nil {
		a.Pause = time.Duration(seconds * float64(time.Second))
	}
	a.Leaving = h.Get("X-Leaving") != ""
	a.Limit, _ = strconv.ParseFloat(h.Get("X-Limit"), 64)
	return a
}

func (testProtocol) CopyRequest(runID, destination string, stopRun bool) EngineRequest {
	target := "/copy"
	if stopRun {
		target = "/copy/stop"
	}
	return EngineRequest{Method: "POST", Target: target, Header: http.Header{}, Body: []byte(runID + " " + destination)}
}

func (testProtocol) ReleaseRequest(handle string) EngineRequest {
	return EngineRequest{Method: "DELETE", Target: "/copy/" + handle, Header: http.Header{}}
}

func (testProtocol) IdentifyEngineRequest(h http.Header, requestID, engineID string) {
	h.Set("X-Id", requestID)
	h.Set("X-Instance", engineID)
}

// ParseCopyResponse reads "HANDLE" or "HANDLE EVENTS".
func (testProtocol) ParseCopyResponse(body []byte) (CopyResponse, error) {
	handle, count, _ := strings.Cut(string(body), " ")
	if events, err := strconv.Atoi(count); err == nil {
		return CopyResponse{Handle: handle, Events: &events}, nil
	}
	return CopyResponse{Handle: handle}, nil
}

func (testProtocol) ParseConfig(content []byte) (*routing.Config, error) {
	c := &routing.Config{}
	return c, json.Unmarshal(content, c)
}

// testConfig returns a configuration with a route of each kind; calls go to the service
// "app", streams to the service "pool".
func testConfig() *routing.Config {
	engine := &routing.Engine{Slots: 8, MemoryTokens: 88000, ContinuousCopies: true, CopiesOnRequest: true}
	route := func(name string, kind routing.Kind, service string) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
			MaxPause: 700 * time.Millisecond, MaxPossibleRuns: 5, Resumable: kind == routing.Stream, Public: true,
			Targets: []routing.Target{{Service: service, Weight: 1}},
		}
	}
	c := &routing.Config{
		Routes: []routing.Route{
			route("safe", routing.Idempotent, "app"), route("once", routing.AtMostOnce, "app"), route("stream", routing.Stream, "pool"),
			route("fixed", routing.Stream, "pool"), route("keyed", routing.Idempotent, "app"),
		},
		Services:      []routing.Service{{Name: "app", MaxConnections: 400}, {Name: "pool", MaxConnections: 400, Engine: engine}},
		Organisations: []routing.Organisation{{Name: "bakery", Keys: []string{"good"}}},
	}
	c.Routes[3].Resumable = false
	c.Routes[4].Public = false
	return c
}

// fixture is a gateway whose backend servers are test servers.
type fixture struct {
	t *testing.T
	*Gateway
	gatewayServer *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWith(t, func(*settings.Gateway) {})
}

// newFixtureWith returns a fixture whose settings were changed by adjust.
func newFixtureWith(t *testing.T, adjust func(*settings.Gateway)) *fixture {
	t.Helper()
	s := settings.DefaultGateway()
	s.Instance = settings.Instance{ID: "g", Region: "r", DataCentre: "local"}
	s.RetrySlack = 100
	adjust(&s)
	dialer := rpc.NewDialer(nil, &rpc.Counters{})
	g := New(s, testProtocol{}, upstream.NewClient(nil), dialer, slog.New(slog.DiscardHandler))
	// It is the only gateway, and knows that.
	g.HandleUsageTotals(usage.Totals{Reporting: 1, Connected: 1, Settled: true}, usage.Report{})
	server := httptest.NewServer(http.HandlerFunc(g.serve))
	t.Cleanup(func() { server.Close(); _ = dialer.Close() })
	return &fixture{t: t, Gateway: g, gatewayServer: server}
}

func (f *fixture) publish(revision uint64, c *routing.Config) {
	f.t.Helper()
	content, err := json.Marshal(c)
	qt.Assert(f.t, err, qt.IsNil)
	f.HandlePublication(revision, content)
}

// testServer is a backend server for tests that records the requests it receives.
type testServer struct {
	*httptest.Server
	id, dataCentre string

	mu       sync.Mutex
	requests []http.Header
	// copyRequests are the requests of the gateway itself, as "METHOD /path body".
	copyRequests []string
	// copyHandler and callHandler, if set, handle copy requests and callers' requests in place of the
	// default handler and of that given to addServer.
	copyHandler, callHandler http.HandlerFunc
}

// addServer starts and announces a test server; handler serves the callers' requests.
func (f *fixture) addServer(service, id, dataCentre string, handler http.HandlerFunc) *testServer {
	b := &testServer{id: id, dataCentre: dataCentre}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.HasPrefix(r.URL.Path, "/copy") {
			var copyHandler http.HandlerFunc
			b.withLock(func() {
				b.copyRequests = append(b.copyRequests, r.Method+" "+r.URL.Path+" "+string(body))
				copyHandler = b.copyHandler
			})
			if copyHandler != nil {
				copyHandler(w, r)
				return
			}
			_, _ = io.WriteString(w, "handle-of-"+id)
			return
		}
		handler := handler
		b.withLock(func() {
			b.requests = append(b.requests, r.Header.Clone())
			if b.callHandler != nil {
				handler = b.callHandler
			}
		})
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Stamp", id)
		handler(w, r)
	}))
	f.t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	f.HandleAnnouncements([]directory.Server{b.announcement(service, directory.Ready, 1)})
	return b
}

func (b *testServer) announcement(service string, state directory.State, sequence uint64) directory.Server {
	return directory.Server{
		ID: b.id, Service: service, Address: b.address(), DataCentre: b.dataCentre, StartedMS: 1, Sequence: sequence,
		State: state, Slots: 6,
	}
}

func (b *testServer) address() string { return b.Listener.Addr().String() }

func (b *testServer) withLock(fn func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn()
}

func (b *testServer) receivedRequests() []http.Header {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]http.Header(nil), b.requests...)
}

func (b *testServer) receivedCopyRequests() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.copyRequests, "\n")
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is set if there was no complete response.
	err      error
	duration time.Duration
}

var requestCounter struct {
	sync.Mutex
	last int
}

func (f *fixture) send(method, path string, headers map[string]string) callerResponse {
	f.t.Helper()
	requestCounter.Lock()
	requestCounter.last++
	id := fmt.Sprintf("q%d", requestCounter.last)
	requestCounter.Unlock()
	r, err := http.NewRequestWithContext(context.Background(), method, f.gatewayServer.URL+path, strings.NewReader("ask"))
	qt.Assert(f.t, err, qt.IsNil)
	r.Host = "h"
	r.Header.Set("X-Id", id)
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	startedAt := time.Now()
	response, err := f.gatewayServer.Client().Do(r)
	if err != nil {
		return callerResponse{err: err, duration: time.Since(startedAt)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err, duration: time.Since(startedAt)}
}

func respondDone(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// hang blocks until the connection of the request is closed.
func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// streamEvents is the number of events in the streams of test engines.
const streamEvents = 10

// streamHandler returns a handler that sends the events after the last event of the
// request. It calls afterEvent after each event and ends the stream early if that
// returns false.
func streamHandler(afterEvent func(event int) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("X-Last"))
		w.Header().Set("Content-Type", "text/event-stream")
		for i := last + 1; i <= streamEvents; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			if afterEvent != nil && !afterEvent(i) {
				return
			}
		}
	}
}

// expectedEvents returns the events of a complete stream, starting with the given one.
func expectedEvents(first int) string {
	var b strings.Builder
	for i := first; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
