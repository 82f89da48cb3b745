// Package instance puts the services of a role together in one process and runs
// its life: start, readiness, planned stop.
package instance

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/entry"
	"github.com/geraniumpitch/geraniumpitch/pkg/generation"
	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/once"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
	"github.com/geraniumpitch/geraniumpitch/pkg/telemetry"
)

// adminTimeout bounds requests to the admin address.
const adminTimeout = 5 * time.Second

// Entry is one entry instance.
type Entry struct {
	settings  settings.Entry
	log       *slog.Logger
	telemetry *telemetry.Telemetry
	counters  *rpc.Counters
	kernel    *kernel.Kernel
	dialer    *rpc.Dialer
	server    *rpc.Server
	callers   *http.Server
	admin     *http.Server
	draining  atomic.Bool
}

// registrar is implemented by services that other instances call.
type registrar interface {
	Register(mux drpc.Mux) error
}

// RunEntry runs an entry instance until ctx ends, then stops it gracefully.
func RunEntry(ctx context.Context, s settings.Entry, log *slog.Logger) error {
	e, err := newEntry(s, log)
	if err != nil {
		return err
	}
	// Services live longer than ctx: they finish their work in the planned stop.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	if err := e.start(life); err != nil {
		return err
	}
	<-ctx.Done()
	e.stop(life)
	return nil
}

func newEntry(s settings.Entry, log *slog.Logger) (*Entry, error) {
	tlsConfig, err := s.TLS.Config()
	if err != nil {
		return nil, err
	}
	if tlsConfig == nil {
		log.Warn("mutual TLS between our processes is off: for trials only")
	}
	t, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	counters := &rpc.Counters{}
	e := &Entry{
		settings: s, log: log, telemetry: t, counters: counters, kernel: kernel.New(log),
		dialer: rpc.NewDialer(tlsConfig, counters), server: rpc.NewServer(tlsConfig, counters, log),
	}
	if err := e.dialer.BindSource(s.PeerAddress); err != nil {
		return nil, err
	}
	if err := telemetry.CountBytes(t.Meter("rpc"), counters.Sent.Load, counters.Received.Load); err != nil {
		return nil, err
	}
	return e, e.build()
}

// build registers the services; each finds the earlier ones by name.
func (e *Entry) build() error {
	for _, add := range []func() (kernel.Service, error){
		e.membership, e.configWatch, e.broker, e.replica, e.generation, e.once, e.entry,
	} {
		service, err := add()
		if err != nil {
			return err
		}
		if err := e.kernel.Register(service); err != nil {
			return err
		}
		if r, ok := service.(registrar); ok {
			if err := r.Register(e.server.Mux()); err != nil {
				return eris.Wrapf(err, "register %s", service.ServiceName())
			}
		}
	}
	return nil
}

func (e *Entry) view() membership.View {
	return must[membership.View](e.kernel, "membership")
}

func (e *Entry) config() configwatch.Source {
	return must[configwatch.Source](e.kernel, "configwatch")
}

// must looks up a service that build registered before: its absence is a
// broken invariant of this package.
func must[T any](k *kernel.Kernel, name string) T {
	service, err := kernel.Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return service
}

func (e *Entry) membership() (kernel.Service, error) {
	return membership.New(e.settings, e.dialer, e.log), nil
}

func (e *Entry) configWatch() (kernel.Service, error) {
	return configwatch.New(e.settings, e.dialer), nil
}

func (e *Entry) broker() (kernel.Service, error) {
	s := broker.New(e.view(), e.config(), e.dialer, e.settings.Policy, e.log)
	return s, s.Observe(e.telemetry.Meter("broker"))
}

func (e *Entry) replica() (kernel.Service, error) {
	return streamrecord.New(e.view(), e.dialer, e.settings.RecordBytes, e.telemetry.Meter(streamrecord.ServiceName), e.log), nil
}

func (e *Entry) generation() (kernel.Service, error) {
	source, err := rpc.SourceOf(e.settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	client := engine.NewClient(source)
	return generation.New(e.view(), e.config(), must[broker.Acquirer](e.kernel, "broker"),
		must[*streamrecord.Service](e.kernel, streamrecord.ServiceName), e.log,
		generation.WithMeter(e.telemetry.Meter("generation")),
		generation.WithEngines(func(address string) engine.Engine { return engine.NewHTTP(address, client) })), nil
}

func (e *Entry) once() (kernel.Service, error) {
	return once.New(e.view(), e.dialer, e.settings.KeySecret, e.log), nil
}

func (e *Entry) entry() (kernel.Service, error) {
	return entry.New(entry.Dependencies{
		Settings: e.settings, Config: e.config(),
		Runner:   must[generation.Runner](e.kernel, "generation"),
		Slots:    must[broker.Acquirer](e.kernel, "broker"),
		Backends: must[entry.Backends](e.kernel, "broker"),
		Once:     must[entry.Once](e.kernel, "once"),
		Log:      e.log, Meter: e.telemetry.Meter("entry"),
	})
}

func (e *Entry) start(ctx context.Context) error {
	if err := e.server.Listen(ctx, e.settings.PeerAddress); err != nil {
		return err
	}
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	api := must[*entry.Service](e.kernel, "entry")
	e.callers = entry.NewServer(api.Handler(), e.log)
	e.admin = &http.Server{Handler: e.adminHandler(), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	if err := e.serve(e.callers, e.settings.CallerAddress, entry.MaxConnections); err != nil {
		return err
	}
	if err := e.serve(e.admin, e.settings.AdminAddress, entry.MaxConnections); err != nil {
		return err
	}
	e.log.Info("entry instance started", "callers", e.settings.CallerAddress, "peers", e.settings.PeerAddress)
	return nil
}

func (e *Entry) serve(server *http.Server, address string, connections int) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	go func() {
		err := server.Serve(entry.LimitListener(listener, connections))
		if err != nil && !eris.Is(err, http.ErrServerClosed) {
			e.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

func (e *Entry) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/v1/status", e.status)
	r.Handle("/metrics", e.telemetry.Handler())
	return r
}

// Status is what an entry instance tells operators about itself.
type Status struct {
	Instance string `json:"instance"`
	Draining bool   `json:"draining"`
	// Version is the configuration version in force at this instance.
	Version uint64 `json:"version"`
	// Members maps the known instances to their states.
	Members map[string]string `json:"members"`
	// Totals maps data centres to their numbers of instances.
	Totals map[string]int `json:"totals"`
}

func (e *Entry) status(w http.ResponseWriter, _ *http.Request) {
	members := must[*membership.Service](e.kernel, "membership")
	s := Status{
		Instance: e.settings.Instance.ID, Draining: e.draining.Load(), Version: e.config().Current().Version,
		Members: map[string]string{}, Totals: map[string]int{},
	}
	for _, m := range members.Members() {
		s.Members[m.ID] = m.State.String()
	}
	for _, t := range members.Totals() {
		s.Totals[t.DataCentre] = t.Members
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		e.log.Debug("the status was not sent", "error", err)
	}
}

// ready tells a balancer whether new requests may come: the configuration is
// known and no planned stop has begun.
func (e *Entry) ready() bool {
	return !e.draining.Load() && must[interface{ Ready() bool }](e.kernel, "configwatch").Ready()
}

// stop is the planned stop: readiness fails first, requests are still served
// while the balancer takes notice, then running ones finish.
func (e *Entry) stop(ctx context.Context) {
	e.draining.Store(true)
	e.log.Info("planned stop begins")
	_ = e.kernel.Bus().Publish(kernel.TopicDraining, struct{}{})
	must[*membership.Service](e.kernel, "membership").Leave(ctx)
	time.Sleep(time.Duration(e.settings.BalancerDelayMS) * time.Millisecond)
	limit, cancel := context.WithTimeout(ctx, time.Duration(e.settings.FinishLimitS)*time.Second)
	defer cancel()
	if err := e.callers.Shutdown(limit); err != nil {
		e.log.Warn("requests were still running at the finish limit", "error", err)
	}
	e.kernel.Stop(limit)
	_ = e.admin.Shutdown(limit)
	_ = e.dialer.Close()
	e.log.Info("planned stop ends")
}
