// Package instance assembles the services of a role in one process and manages its
// life cycle: start, readiness and planned stop.
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

// adminTimeout limits reading and writing a request at the admin address.
const adminTimeout = 5 * time.Second

// Entry is the process of one entry instance.
type Entry struct {
	settings     settings.Entry
	log          *slog.Logger
	telemetry    *telemetry.Telemetry
	counters     *rpc.Counters
	kernel       *kernel.Kernel
	dialer       *rpc.Dialer
	peerServer   *rpc.Server
	callerServer *http.Server
	adminServer  *http.Server
	draining     atomic.Bool
}

// rpcRegistrar is implemented by services that other instances call by RPC.
type rpcRegistrar interface {
	Register(mux drpc.Mux) error
}

// RunEntry runs an entry instance until ctx ends, and then performs a planned stop.
func RunEntry(ctx context.Context, s settings.Entry, log *slog.Logger) error {
	e, err := newEntry(s, log)
	if err != nil {
		return err
	}
	// The services outlive ctx, because they finish their work during the planned
	// stop.
	serviceCtx, cancelServices := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelServices()
	if err := e.start(serviceCtx); err != nil {
		return err
	}
	<-ctx.Done()
	e.stop(serviceCtx)
	return nil
}

// newEntry returns an instance whose services are registered but not started.
func newEntry(s settings.Entry, log *slog.Logger) (*Entry, error) {
	tlsConfig, err := s.TLS.Config()
	if err != nil {
		return nil, err
	}
	if tlsConfig == nil {
		log.Warn("mutual TLS between processes is disabled: use this for tests only")
	}
	t, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	counters := &rpc.Counters{}
	e := &Entry{
		settings: s, log: log, telemetry: t, counters: counters, kernel: kernel.New(log),
		dialer: rpc.NewDialer(tlsConfig, counters), peerServer: rpc.NewServer(tlsConfig, counters, log),
	}
	if err := e.dialer.BindSource(s.PeerAddress); err != nil {
		return nil, err
	}
	if err := telemetry.RegisterPeerBytes(t.Meter("rpc"), counters.Sent.Load, counters.Received.Load); err != nil {
		return nil, err
	}
	return e, e.registerServices()
}

// registerServices creates and registers the services. Each constructor can look
// up the services that were registered before.
func (e *Entry) registerServices() error {
	for _, newService := range []func() (kernel.Service, error){
		e.newMembership, e.newConfigWatch, e.newBroker, e.newStreamRecord, e.newGeneration, e.newOnce, e.newAPI,
	} {
		service, err := newService()
		if err != nil {
			return err
		}
		if err := e.kernel.Register(service); err != nil {
			return err
		}
		if registrar, ok := service.(rpcRegistrar); ok {
			if err := registrar.Register(e.peerServer.Mux()); err != nil {
				return eris.Wrapf(err, "register %s", service.ServiceName())
			}
		}
	}
	return nil
}

func (e *Entry) membershipView() membership.View {
	return mustLookup[membership.View](e.kernel, "membership")
}

func (e *Entry) configSource() configwatch.Source {
	return mustLookup[configwatch.Source](e.kernel, "configwatch")
}

// mustLookup returns a service that registerServices has registered. It panics if
// the service is missing, which is a programming error in this package.
func mustLookup[T any](k *kernel.Kernel, name string) T {
	service, err := kernel.Lookup[T](k, name)
	if err != nil {
		panic(err)
	}
	return service
}

func (e *Entry) newMembership() (kernel.Service, error) {
	return membership.New(e.settings, e.dialer, e.log), nil
}

func (e *Entry) newConfigWatch() (kernel.Service, error) {
	return configwatch.New(e.settings, e.dialer), nil
}

func (e *Entry) newBroker() (kernel.Service, error) {
	s := broker.New(e.membershipView(), e.configSource(), e.dialer, e.settings.Policy, e.log)
	return s, s.RegisterMetrics(e.telemetry.Meter("broker"))
}

func (e *Entry) newStreamRecord() (kernel.Service, error) {
	return streamrecord.New(e.membershipView(), e.dialer, e.settings.RecordBytes, e.telemetry.Meter(streamrecord.ServiceName), e.log), nil
}

func (e *Entry) newGeneration() (kernel.Service, error) {
	source, err := rpc.SourceAddr(e.settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	client := engine.NewClient(source)
	return generation.New(e.membershipView(), e.configSource(), mustLookup[broker.Acquirer](e.kernel, "broker"),
		mustLookup[*streamrecord.Service](e.kernel, streamrecord.ServiceName), e.log,
		generation.WithMeter(e.telemetry.Meter("generation")),
		generation.WithEngines(func(address string) engine.Engine { return engine.NewHTTP(address, client) })), nil
}

func (e *Entry) newOnce() (kernel.Service, error) {
	return once.New(e.membershipView(), e.dialer, e.settings.KeySecret, e.log), nil
}

func (e *Entry) newAPI() (kernel.Service, error) {
	return entry.New(entry.Dependencies{
		Settings: e.settings, Config: e.configSource(),
		Runner:   mustLookup[generation.Runner](e.kernel, "generation"),
		Slots:    mustLookup[broker.Acquirer](e.kernel, "broker"),
		Backends: mustLookup[entry.Backends](e.kernel, "broker"),
		Once:     mustLookup[entry.Once](e.kernel, "once"),
		Log:      e.log, Meter: e.telemetry.Meter("entry"),
	})
}

// start listens for peers and starts the services; then it listens for callers and
// at the admin address.
func (e *Entry) start(ctx context.Context) error {
	if err := e.peerServer.Listen(ctx, e.settings.PeerAddress); err != nil {
		return err
	}
	if err := e.kernel.Start(ctx); err != nil {
		return err
	}
	api := mustLookup[*entry.Service](e.kernel, "entry")
	e.callerServer = entry.NewServer(api.Handler(), e.log)
	e.adminServer = &http.Server{Handler: e.adminHandler(), ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	if err := e.serve(e.callerServer, e.settings.CallerAddress, entry.MaxConnections); err != nil {
		return err
	}
	if err := e.serve(e.adminServer, e.settings.AdminAddress, entry.MaxConnections); err != nil {
		return err
	}
	e.log.Info("entry instance started", "callers", e.settings.CallerAddress, "peers", e.settings.PeerAddress)
	return nil
}

// serve binds address and serves at most maxConnections connections in the
// background.
func (e *Entry) serve(server *http.Server, address string, maxConnections int) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	go func() {
		err := server.Serve(entry.LimitListener(listener, maxConnections))
		if err != nil && !eris.Is(err, http.ErrServerClosed) {
			e.log.Error("listener failed", "address", address, "error", err)
		}
	}()
	return nil
}

// adminHandler returns the handler for health, readiness, status and metrics.
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
	r.Get("/v1/status", e.serveStatus)
	r.Handle("/metrics", e.telemetry.Handler())
	return r
}

// Status is the status of an entry instance that operators read.
type Status struct {
	Instance string `json:"instance"`
	Draining bool   `json:"draining"`
	// ConfigVersion is the configuration version that this instance applies.
	ConfigVersion uint64 `json:"version"`
	// Members maps instance identifiers to membership states.
	Members map[string]string `json:"members"`
	// Totals maps data centres to their numbers of instances.
	Totals map[string]int `json:"totals"`
}

func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	members := mustLookup[*membership.Service](e.kernel, "membership")
	s := Status{
		Instance: e.settings.Instance.ID, Draining: e.draining.Load(), ConfigVersion: e.configSource().Current().Version,
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
		e.log.Debug("failed to send the status", "error", err)
	}
}

// ready reports whether a load balancer may send new requests: the instance has a
// configuration and no planned stop has begun.
func (e *Entry) ready() bool {
	return !e.draining.Load() && mustLookup[interface{ Ready() bool }](e.kernel, "configwatch").Ready()
}

// stop performs a planned stop. The readiness check fails first, while requests are
// still accepted until the load balancer has noticed; then the requests in flight
// finish within the grace period.
func (e *Entry) stop(ctx context.Context) {
	e.draining.Store(true)
	e.log.Info("planned stop started")
	_ = e.kernel.Bus().Publish(kernel.TopicDraining, struct{}{})
	mustLookup[*membership.Service](e.kernel, "membership").Leave(ctx)
	time.Sleep(time.Duration(e.settings.BalancerDelayMS) * time.Millisecond)
	shutdownCtx, cancel := context.WithTimeout(ctx, time.Duration(e.settings.FinishTimeoutS)*time.Second)
	defer cancel()
	if err := e.callerServer.Shutdown(shutdownCtx); err != nil {
		e.log.Warn("requests were still in flight at the end of the grace period", "error", err)
	}
	e.kernel.Stop(shutdownCtx)
	_ = e.adminServer.Shutdown(shutdownCtx)
	_ = e.dialer.Close()
	e.log.Info("planned stop completed")
}
