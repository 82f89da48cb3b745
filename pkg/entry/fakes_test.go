package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/document"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// fakeRunner keeps streams in memory; each generation returns the words of its
// prompt.
type fakeRunner struct {
	mu      sync.Mutex
	err     error
	opened  []generation.Request
	streams map[string]generation.Request
	// blockAt is the position before which Next blocks until gate is closed. It
	// applies if gate is not nil.
	blockAt int
	gate    chan struct{}
	// endless makes generations never finish. Close sends to closed.
	endless bool
	closed  chan struct{}
}

func (f *fakeRunner) Open(_ context.Context, r generation.Request) (generation.Session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	f.opened = append(f.opened, r)
	f.streams["s1"] = r
	return &fakeSession{runner: f, request: r}, nil
}

func (f *fakeRunner) Resume(_ context.Context, organisation, streamID string, after int) (generation.Session, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.streams[streamID]
	if !ok || r.Organisation != organisation {
		return nil, generation.ErrNotFound
	}
	return &fakeSession{runner: f, request: r, next: after + 1}, nil
}

type fakeSession struct {
	runner  *fakeRunner
	request generation.Request
	next    int
}

func (s *fakeSession) StreamID() string            { return "s1" }
func (s *fakeSession) Request() generation.Request { return s.request }

func (s *fakeSession) Close() {
	select {
	case s.runner.closed <- struct{}{}:
	default:
	}
}

func (s *fakeSession) Next(ctx context.Context) (generation.Event, error) {
	words := strings.Fields(s.request.Prompt)
	if s.runner.gate != nil && s.next == s.runner.blockAt {
		select {
		case <-s.runner.gate:
		case <-ctx.Done():
			return generation.Event{}, ctx.Err()
		}
	}
	position := s.next
	s.next++
	switch {
	case s.runner.endless:
		return generation.Event{Position: position, Text: strings.Repeat("x", 1000)}, nil
	case position < len(words):
		return generation.Event{Position: position, Text: words[position] + " "}, nil
	case position == len(words):
		return generation.Event{Position: position, Finished: true, FinishReason: "stop"}, nil
	}
	return generation.Event{}, io.EOF
}

// fakeSlots grants a slot at the first address that is not excluded.
type fakeSlots struct {
	mu        sync.Mutex
	addresses []string
	err       error
	outcomes  []broker.Outcome
}

func (f *fakeSlots) Acquire(_ context.Context, r broker.Request) (broker.Lease, error) {
	if f.err != nil {
		return nil, f.err
	}
	for _, address := range f.addresses {
		excluded := false
		for _, id := range r.Exclude {
			excluded = excluded || id == address
		}
		if !excluded {
			return &fakeLease{slots: f, address: address}, nil
		}
	}
	return nil, &broker.Refusal{Reason: "no_backend", RetryAfter: time.Second}
}

type fakeLease struct {
	slots   *fakeSlots
	address string
}

func (l *fakeLease) Backend() (id, address string) { return l.address, l.address }
func (l *fakeLease) Preempted() <-chan struct{}    { return nil }
func (l *fakeLease) Release(u broker.Usage) {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	l.slots.outcomes = append(l.slots.outcomes, u.Outcome)
}

type fakeBackends struct {
	announced []*wire.BackendAnnouncement
	left      []string
}

func (f *fakeBackends) Announce(_ context.Context, announcements []*wire.BackendAnnouncement) error {
	f.announced = append(f.announced, announcements...)
	return nil
}

func (f *fakeBackends) Leave(_ context.Context, id string, _ uint64) error {
	f.left = append(f.left, id)
	return nil
}

// fakeOnce returns the same verdict for every claim.
type fakeOnce struct {
	verdict   once.Verdict
	completed []once.Answer
	released  int
}

func (f *fakeOnce) Mint(organisation string, count int) []string {
	keys := make([]string, count)
	for i := range keys {
		keys[i] = organisation + "-key"
	}
	return keys
}

func (f *fakeOnce) Claim(context.Context, string, string, once.Digest) once.Verdict {
	return f.verdict
}

func (f *fakeOnce) Complete(_ context.Context, _ once.Claim, a once.Answer) error {
	f.completed = append(f.completed, a)
	return nil
}

func (f *fakeOnce) Release(context.Context, once.Claim) bool {
	f.released++
	return true
}

// testAPI is an API server whose dependencies are fakes.
type testAPI struct {
	service  *Service
	config   *configwatch.SettableSource
	runner   *fakeRunner
	slots    *fakeSlots
	backends *fakeBackends
	once     *fakeOnce
	server   *httptest.Server
}

func testDocument() *document.Document {
	d := document.Empty()
	d.Version = 1
	d.Services["summary"] = document.Service{Kind: document.KindGeneration, MaxTokens: 100}
	d.Services["desk"] = document.Service{Kind: document.KindPlain, TimeoutMS: 400, Routes: []document.Route{
		{Method: "PUT", PathPrefix: "/stock", Idempotent: true},
	}}
	d.Organisations["fill"] = document.Organisation{
		KeyHashes: []string{document.HashKey("fill-key")}, Weight: 1, Ranks: []string{"urgent", "patient"},
	}
	d.Organisations["drafts"] = document.Organisation{
		KeyHashes: []string{document.HashKey("drafts-key")}, Weight: 1, Ranks: []string{"patient"}, Services: []string{"summary"},
	}
	return d
}

func newTestAPI(t testing.TB) *testAPI {
	t.Helper()
	return newLoggingTestAPI(t, slog.New(slog.DiscardHandler))
}

func newLoggingTestAPI(t testing.TB, log *slog.Logger) *testAPI {
	t.Helper()
	api := &testAPI{
		config: &configwatch.SettableSource{}, runner: &fakeRunner{streams: map[string]generation.Request{}, closed: make(chan struct{}, 1)},
		slots: &fakeSlots{}, backends: &fakeBackends{}, once: &fakeOnce{verdict: once.Verdict{Outcome: once.Claimed}},
	}
	api.config.Set(testDocument())
	entrySettings := settings.DefaultEntry()
	entrySettings.MaxBodyBytes, entrySettings.PeerAddress = 4096, "127.0.0.1:1"
	service, err := New(Dependencies{
		Settings: entrySettings, Config: api.config, Runner: api.runner, Slots: api.slots, Backends: api.backends,
		Once: api.once, Log: log, Meter: noop.Meter{},
	})
	qt.Assert(t, err, qt.IsNil)
	api.service = service
	api.server = httptest.NewUnstartedServer(service.Handler())
	api.server.Config = NewServer(service.Handler(), log)
	api.server.Start()
	t.Cleanup(api.server.Close)
	return api
}

// send sends one request and returns the response and its body. Headers have the
// form "Name: value".
func (api *testAPI) send(t testing.TB, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, api.server.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for _, line := range headers {
		if name, value, ok := strings.Cut(line, ": "); ok {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	return response, string(raw)
}
