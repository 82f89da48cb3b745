// Package entry serves the callers' HTTP API and the announcements of backend
// servers.
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

// Backends takes the announcements of backend servers.
type Backends interface {
	Announce(ctx context.Context, announcements []*wire.BackendAnnouncement) error
	Leave(ctx context.Context, id string, incarnation uint64) error
}

// Once is the record of one-time keys.
type Once interface {
	// Mint returns new keys of this instance for an organisation.
	Mint(organisation string, count int) []string
	// Claim asks the home of the key for the right to run the call.
	Claim(ctx context.Context, organisation, key string, digest once.Digest) once.Verdict
	// Complete stores the answer of a claimed call.
	Complete(ctx context.Context, claim once.Claim, answer once.Answer) error
	// Release ends a claim whose call provably did not run. It reports whether
	// the home accepted, so that the key can be used again.
	Release(ctx context.Context, claim once.Claim) bool
}

// Dependencies are the parts that the API is built on.
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

// limits are the bounds on what one instance holds for callers.
type limits struct {
	// streams is about 20 times the mean load of 400 running streams that
	// follows from the stated size (200,000 streams over 500 nodes).
	streams int64
	// calls bounds plain calls in progress.
	calls int64
	// bodyTimeout bounds the time in which a body must arrive.
	bodyTimeout time.Duration
	// writeTimeout bounds one write to a slow reader.
	writeTimeout time.Duration
	// heartbeat is the interval of SSE comments while no token comes, so that
	// callers can tell a pause from a dead connection.
	heartbeat time.Duration
}

func defaultLimits() limits {
	return limits{
		streams: 8192, calls: 8192, bodyTimeout: 15 * time.Second,
		writeTimeout: 5 * time.Second, heartbeat: time.Second,
	}
}

// Service is the callers' HTTP API of one entry instance.
type Service struct {
	Dependencies
	limits   limits
	keys     keyIndex
	streams  atomic.Int64
	calls    atomic.Int64
	budgets  budgets
	backend  serviceClient
	requests metric.Int64Counter
}

// New returns the API. It fails when a metric cannot be created or the peer
// address of the settings is no address.
func New(d Dependencies) (*Service, error) {
	source, err := rpc.SourceOf(d.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	requests, err := d.Meter.Int64Counter("entry_requests",
		metric.WithDescription("Requests of callers by route, rank and code."))
	if err != nil {
		return nil, eris.Wrap(err, "create a counter")
	}
	return &Service{
		Dependencies: d, limits: defaultLimits(), requests: requests,
		budgets: newBudgets(), backend: newServiceClient(source),
	}, nil
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "entry" }

// Handler returns the routes of callers and backend servers.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		s.fail(w, &apiError{status: http.StatusNotFound, code: "no_such_path", message: "there is no such path"})
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		s.fail(w, &apiError{status: http.StatusMethodNotAllowed, code: "method_not_allowed", message: "the path does not take this method"})
	})
	r.Post("/v1/completions", s.authenticated("completions", s.completions))
	r.Post("/v1/chat/completions", s.authenticated("chat", s.chatCompletions))
	r.Get("/v1/streams/{stream}", s.authenticated("streams", s.resume))
	r.Get("/v1/models", s.authenticated("models", s.models))
	r.Post("/v1/keys", s.authenticated("keys", s.mint))
	r.HandleFunc("/v1/services/{service}", s.authenticated("services", s.call))
	r.HandleFunc("/v1/services/{service}/*", s.authenticated("services", s.call))
	r.Post("/v1/backends/announce", s.plainRoute("announce", s.announce))
	r.Post("/v1/backends/leave", s.plainRoute("leave", s.leave))
	return r
}

// handler answers one request of a known organisation, or returns the error to answer with.
type handler func(w http.ResponseWriter, r *http.Request, c caller) error

func (s *Service) authenticated(route string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, err := s.authenticate(r)
		if err == nil {
			err = h(w, r, c)
		} else {
			err = mayHaveRun(r, err)
		}
		s.finish(w, r, route, c.organisation, err)
	}
}

func (s *Service) plainRoute(route string, h func(w http.ResponseWriter, r *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.finish(w, r, route, "", h(w, r))
	}
}

// finish counts a request and answers it when it failed before any answer was sent.
func (s *Service) finish(w http.ResponseWriter, r *http.Request, route, organisation string, err error) {
	code := "ok"
	if err != nil {
		e := asAPIError(err)
		code = e.code
		if !e.sent {
			s.fail(w, e)
		}
	}
	s.requests.Add(r.Context(), 1, metric.WithAttributes(
		attribute.String("route", route), attribute.String("code", code)))
}

// take reserves one of the places counted by counter.
func take(counter *atomic.Int64, limit int64) bool {
	if counter.Add(1) > limit {
		counter.Add(-1)
		return false
	}
	return true
}
