// Package entry implements the public HTTP API: generations, calls to plain services,
// which respond to individual HTTP calls, and the announcements of backend servers.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// Backends receives the announcements and the leave notices of backend servers.
type Backends interface {
	Announce(ctx context.Context, announcements []*wire.BackendAnnouncement) error
	Leave(ctx context.Context, id string, incarnation uint64) error
}

// Once stores the state of one-time keys.
type Once interface {
	// Mint returns count new keys for an organisation. Their home, the instance that
	// records whether they were used, is this instance.
	Mint(organisation string, count int) []string
	// Claim asks the home instance of the key for the right to run the call.
	Claim(ctx context.Context, organisation, key string, digest once.Digest) once.Verdict
	// Complete stores the answer to a claimed call.
	Complete(ctx context.Context, claim once.Claim, answer once.Answer) error
	// Release ends a claim whose call provably did not run. It reports whether
	// the home instance accepted the release; the key can then be used again.
	Release(ctx context.Context, claim once.Claim) bool
}

// Dependencies holds the services and settings that the API uses.
type Dependencies struct {
	Settings settings.Entry
	Config   configwatch.Source
	Runner   generation.Runner
	Slots    broker.Acquirer
	Backends Backends
	Once     Once
	Log      *slog.Logger
	Meter    metric.Meter
}

// limits bounds the resources that one instance uses for callers.
type limits struct {
	// maxStreams limits the streams in progress. It is about 20 times the mean of
	// 400 per instance at the design size of 200,000 streams over 500 instances.
	maxStreams int64
	// maxCalls limits the calls to plain services in progress.
	maxCalls int64
	// bodyTimeout limits the time to receive a request body.
	bodyTimeout time.Duration
	// writeTimeout limits one write to the caller.
	writeTimeout time.Duration
	// heartbeatInterval is the interval of SSE comments while no token arrives,
	// which let callers distinguish a pause from a dead connection.
	heartbeatInterval time.Duration
}

func defaultLimits() limits {
	return limits{
		maxStreams: 8192, maxCalls: 8192, bodyTimeout: 15 * time.Second,
		writeTimeout: 5 * time.Second, heartbeatInterval: time.Second,
	}
}

// Service implements the HTTP API of one entry instance.
type Service struct {
	Dependencies
	limits         limits
	apiKeyIndex    apiKeyIndex
	activeStreams  atomic.Int64
	activeCalls    atomic.Int64
	retryBudgets   retryBudgets
	serviceClient  serviceClient
	requestCounter metric.Int64Counter
}

// New returns the API service. It fails if a metric cannot be created or the
// peer address in the settings is invalid.
func New(d Dependencies) (*Service, error) {
	source, err := rpc.SourceAddr(d.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	requestCounter, err := d.Meter.Int64Counter("entry_requests",
		metric.WithDescription("Requests of callers by route, rank and code."))
	if err != nil {
		return nil, eris.Wrap(err, "create request counter")
	}
	return &Service{
		Dependencies: d, limits: defaultLimits(), requestCounter: requestCounter,
		retryBudgets: newRetryBudgets(), serviceClient: newServiceClient(source),
	}, nil
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "entry" }

// Handler returns the HTTP handler for the routes of callers and backend servers.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, &apiError{status: http.StatusNotFound, code: "no_such_path", message: "there is no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		s.writeError(w, &apiError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path does not take this method"})
	})
	r.Post("/v1/completions", s.withAuthentication("completions", s.createCompletion))
	r.Post("/v1/chat/completions", s.withAuthentication("chat", s.createChatCompletion))
	r.Get("/v1/streams/{stream}", s.withAuthentication("streams", s.resumeStream))
	r.Get("/v1/models", s.withAuthentication("models", s.listModels))
	r.Post("/v1/keys", s.withAuthentication("keys", s.mintKeys))
	r.HandleFunc("/v1/services/{service}", s.withAuthentication("services", s.callService))
	r.HandleFunc("/v1/services/{service}/*", s.withAuthentication("services", s.callService))
	r.Post("/v1/backends/announce", s.withoutAuthentication("announce", s.announceBackends))
	r.Post("/v1/backends/leave", s.withoutAuthentication("leave", s.handleLeave))
	return r
}

// authenticatedHandler handles a request of an authenticated organisation. The
// returned error is sent to the caller unless a response was already started.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, c caller) error

// withAuthentication authenticates the caller before it calls h.
func (s *Service) withAuthentication(route string, h authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := s.authenticate(r)
		if err == nil {
			err = h(w, r, c)
		} else {
			err = withUnknownOutcomeIfResend(r, err)
		}
		s.completeRequest(w, r, route, c.organisation, err)
	}
}

// withoutAuthentication adapts the handler of a route that needs no API key.
func (s *Service) withoutAuthentication(route string, h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.completeRequest(w, r, route, "", h(w, r))
	}
}

// completeRequest counts a request, and sends err to the caller unless a response
// was already started.
func (s *Service) completeRequest(w http.ResponseWriter, r *http.Request, route, organisation string, err error) {
	code, abort := "ok", false
	if err != nil {
		e := asAPIError(err)
		code, abort = e.code, e.abort
		if !e.responseStarted {
			s.writeError(w, e)
		}
	}
	s.requestCounter.Add(r.Context(), 1, metric.WithAttributes(
		attribute.String("route", route), attribute.String("code", code)))
	if abort {
		panic(http.ErrAbortHandler)
	}
}

// tryReserve increments counter and reports whether it stayed within limit; if
// not, the increment is undone.
func tryReserve(counter *atomic.Int64, limit int64) bool {
	if counter.Add(1) > limit {
		counter.Add(-1)
		return false
	}
	return true
}
