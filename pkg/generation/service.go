package generation

import (
	"context"
	crypto "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/geraniumpitch/geraniumpitch/pkg/broker"
	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/engine"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/streamrecord"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sync/singleflight"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "generation"

// DefaultMaxTokens limits the output when neither the request nor the
// configuration sets a limit.
const DefaultMaxTokens = 4096

// Timing of recovery.
const (
	// silenceTimeout is the longest time without any event on an engine
	// connection; engines send a heartbeat every 200 ms.
	silenceTimeout = 800 * time.Millisecond
	// reconnectTimeout limits a reconnect to the same engine stream, and then the
	// wait for its first event.
	reconnectTimeout = 500 * time.Millisecond
	// cancelTimeout limits one request to cancel an engine stream,
	// maxCancelAttempts the number of such requests.
	cancelTimeout     = time.Second
	maxCancelAttempts = 5
	// defaultDetachedTimeout is how long a stream continues without a caller.
	defaultDetachedTimeout = 60 * time.Second
	// claimBackoffInitial and claimBackoffMax bound the random backoff of an
	// instance whose stream with an idempotency key was taken over by another
	// one: the bound doubles from the first to the second value. Without the
	// backoff, two instances can take the stream from each other for tens of
	// seconds.
	claimBackoffInitial = 20 * time.Millisecond
	claimBackoffMax     = 640 * time.Millisecond
	// confirmTimeout limits the confirmation of the ownership with the holder
	// that precedes the attachment of a reconnecting caller.
	confirmTimeout = 2 * time.Second
	// retryBackoffInitial and retryBackoffMax limit the exponential backoff
	// between slot requests of one generation.
	retryBackoffInitial = 50 * time.Millisecond
	retryBackoffMax     = time.Second
)

// Option configures a Service.
type Option func(*Service)

// WithMeter sets the meter for the metrics of the service.
func WithMeter(m metric.Meter) Option { return func(s *Service) { s.meter = m } }

// WithEngines sets the function that returns the engine client for an address.
func WithEngines(connect func(address string) engine.Engine) Option {
	return func(s *Service) { s.newEngine = connect }
}

// Service runs the generations of this instance. It implements Runner.
type Service struct {
	view      membership.View
	config    configwatch.Source
	slots     broker.Acquirer
	records   *streamrecord.Service
	log       *slog.Logger
	meter     metric.Meter
	metrics   metrics
	newEngine func(address string) engine.Engine
	// detachedTimeout is defaultDetachedTimeout except in tests.
	detachedTimeout time.Duration

	ctx    context.Context
	cancel context.CancelFunc

	takeovers singleflight.Group

	mu      sync.Mutex
	running map[string]*generation
	// idle is closed when the last generation ends; it is nil unless Stop waits.
	idle chan struct{}
}

// New returns a service that runs no generations yet.
func New(
	view membership.View, config configwatch.Source, slots broker.Acquirer, records *streamrecord.Service,
	log *slog.Logger, options ...Option,
) *Service {
	client := engine.NewClient(nil)
	s := &Service{
		view: view, config: config, slots: slots, records: records, log: log,
		meter: noop.Meter{}, running: map[string]*generation{}, detachedTimeout: defaultDetachedTimeout,
		newEngine: func(address string) engine.Engine { return engine.NewHTTP(address, client) },
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(s)
	}
	s.metrics = newMetrics(s.meter)
	_, _ = s.meter.Int64ObservableGauge("gp_generation_running",
		metric.WithDescription("Generations that this instance runs."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(s.RunningCount()))
			return nil
		}))
	return s
}

// ServiceName returns the name of the service. It implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Stop waits until all generations have ended or ctx is done. It implements
// kernel.Stopper.
func (s *Service) Stop(ctx context.Context) error {
	defer s.cancel()
	s.mu.Lock()
	if len(s.running) == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RunningCount returns the number of generations that this instance runs.
func (s *Service) RunningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Seed returns the sampling seed of a stream, which all its attempts share.
func Seed(stream string) int64 { return int64(xxhash.Sum64String(stream) >> 1) }

// streamID derives the stream identifier from the idempotency key: 128 bits from a
// 64-bit hash, whose second half covers the key twice. Without a key it returns a
// random identifier that ends in the ID of this instance, the first owner.
func (s *Service) streamID(r Request) string {
	if r.IdempotencyKey != "" {
		encoded, _ := json.Marshal([2]string{r.Organisation, r.IdempotencyKey})
		digest := xxhash.New()
		_, _ = digest.Write(encoded)
		low := digest.Sum64()
		_, _ = digest.Write(encoded)
		return "k" + hex.EncodeToString(littleEndian(low, digest.Sum64()))
	}
	var random [12]byte
	_, _ = crypto.Read(random[:])
	return "s" + hex.EncodeToString(random[:]) + "-" + s.view.Self().ID
}

// littleEndian returns the parts as bytes, the least significant byte first.
func littleEndian(parts ...uint64) []byte {
	var encoded []byte
	for _, p := range parts {
		for shift := 0; shift < 64; shift += 8 {
			encoded = append(encoded, byte(p>>shift))
		}
	}
	return encoded
}

// Open implements Runner.Open.
func (s *Service) Open(ctx context.Context, r Request) (Session, error) {
	r.MaxTokens = s.effectiveMaxTokens(r)
	stream := s.streamID(r)
	if r.IdempotencyKey == "" {
		return s.open(ctx, stream, r, nil)
	}
	return s.openWithKey(ctx, stream, r)
}

// openWithKey resumes the stream of the idempotency key or opens it. Of the
// instances that open it at the same time, one is the claimant and the others
// resume its stream. If no stream of the claimant is found, the claim is replaced.
func (s *Service) openWithKey(ctx context.Context, stream string, r Request) (Session, error) {
	self, staleClaimant := s.view.Self().ID, ""
	for backoff := claimBackoffInitial; ctx.Err() == nil; backoff = min(2*backoff, claimBackoffMax) {
		session, err := s.Resume(ctx, r.Organisation, stream, -1)
		switch {
		case err == nil && session.Request() != r:
			session.Close()
			return nil, ErrKeyReused
		case err == nil:
			return session, nil
		case errors.Is(err, ErrTakenOver):
			sleepContext(ctx, rand.N(backoff))
			continue
		case !errors.Is(err, ErrNotFound):
			return nil, err
		}
		claim := func() bool {
			var claimant string
			claimant, err = s.records.Claim(ctx, stream, staleClaimant)
			if err == nil && claimant != self {
				staleClaimant = claimant
			}
			return err == nil && claimant == self
		}
		session, err = s.open(ctx, stream, r, claim)
		if !errors.Is(err, ErrTakenOver) {
			return session, err
		}
		sleepContext(ctx, rand.N(backoff))
	}
	return nil, ctx.Err()
}

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// open starts a new stream. It stores the record before it calls claim, so that
// instances whose claim is refused find the record. It returns ErrTakenOver if
// the claim fails or another instance took the stream over before it ran.
func (s *Service) open(ctx context.Context, stream string, r Request, claim func() bool) (Session, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	st, err := s.records.BecomeOwner(streamrecord.Record{
		StreamID: stream, Organisation: r.Organisation, Request: body,
		Term: streamrecord.Term{Epoch: 1, Owner: s.view.Self().ID},
	})
	if errors.Is(err, streamrecord.ErrFull) {
		return nil, &broker.Refusal{Reason: "queue_full", RetryAfter: time.Second}
	}
	if errors.Is(err, streamrecord.ErrTooLarge) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, ErrTakenOver
	}
	if claim != nil && !claim() {
		st.Drop()
		return nil, ErrTakenOver
	}
	g := s.startGeneration(st, r, NewState(r.MaxTokens, 0, 0), streamrecord.EngineLocation{})
	return g.attachWhenAdmitted(ctx, 0)
}

// effectiveMaxTokens returns the requested token limit, reduced to the limit of
// the model's service.
func (s *Service) effectiveMaxTokens(r Request) int {
	limit := DefaultMaxTokens
	if service, ok := s.config.Current().Services[r.Model]; ok && service.MaxTokens > 0 {
		limit = service.MaxTokens
	}
	if r.MaxTokens < 1 || r.MaxTokens > limit {
		return limit
	}
	return r.MaxTokens
}

// Resume implements Runner.Resume.
func (s *Service) Resume(ctx context.Context, organisation, stream string, after int) (Session, error) {
	if after < -1 {
		return nil, ErrNotFound
	}
	session, err := s.resumeLocal(ctx, organisation, stream, after)
	if !errors.Is(err, errNotOwned) {
		return session, err
	}
	// Concurrent callers share one takeover, which continues when their
	// contexts are cancelled.
	_, err, _ = s.takeovers.Do(organisation+"\x00"+stream, func() (any, error) {
		return nil, s.takeOver(context.WithoutCancel(ctx), organisation, stream, after)
	})
	if err != nil {
		return nil, err
	}
	if st, ok := s.records.Owned(stream); ok {
		session, err = s.attach(ctx, st, after)
		if !errors.Is(err, errNotOwned) {
			return session, err
		}
	}
	return nil, ErrTakenOver
}

// errNotOwned is returned for a stream that this instance does not own.
var errNotOwned = errors.New("this instance does not own the stream")

// takeOver makes this instance the owner of a stream and continues its generation.
func (s *Service) takeOver(ctx context.Context, organisation, stream string, after int) error {
	st, err := s.records.TakeOver(ctx, stream, organisation, after+1)
	switch {
	case errors.Is(err, streamrecord.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, streamrecord.ErrStaleCopy), errors.Is(err, streamrecord.ErrFull):
		return ErrUnrecoverable
	case errors.Is(err, streamrecord.ErrTakenOver):
		return ErrTakenOver
	case err != nil:
		return err
	}
	st.Replicate()
	record, ok := st.Record()
	if !ok {
		return ErrTakenOver
	}
	var r Request
	if err := json.Unmarshal(record.Request, &r); err != nil {
		return ErrUnrecoverable
	}
	if record.Finished {
		return nil
	}
	s.log.Info("stream taken over", "stream", stream, "epoch", record.Term.Epoch, "tokens", len(record.Tokens))
	g := s.startGeneration(st, r, NewState(r.MaxTokens, len(record.Tokens), record.Engine.Attempt), record.Engine)
	g.startDetachTimer()
	return nil
}

// resumeLocal attaches to a stream that this instance owns, after the holder has
// confirmed that no other instance took it over.
func (s *Service) resumeLocal(ctx context.Context, organisation, stream string, after int) (Session, error) {
	st, ok := s.records.Owned(stream)
	if !ok {
		return nil, errNotOwned
	}
	record, ok := st.Record()
	if !ok || record.Organisation != organisation || len(record.Tokens) < after+1 {
		return nil, errNotOwned
	}
	confirmCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if st.ConfirmOwnership(confirmCtx) != nil {
		return nil, errNotOwned
	}
	return s.attach(ctx, st, after)
}

// attach returns a session of a stream that this instance owns.
func (s *Service) attach(ctx context.Context, st *streamrecord.Stream, after int) (Session, error) {
	s.mu.Lock()
	g := s.running[st.ID()]
	s.mu.Unlock()
	if g != nil && g.stream == st {
		return g.attachWhenAdmitted(ctx, after+1)
	}
	var r Request
	if record, ok := st.Record(); !ok || !record.Finished || json.Unmarshal(record.Request, &r) != nil {
		return nil, errNotOwned
	}
	return newSession(nil, st, r, after+1), nil
}

// startGeneration starts a generation in the background.
func (s *Service) startGeneration(st *streamrecord.Stream, r Request, state State, location streamrecord.EngineLocation) *generation {
	g := newGeneration(s, st, r, state, location)
	s.mu.Lock()
	s.running[st.ID()] = g
	s.mu.Unlock()
	go func() {
		g.run()
		s.removeGeneration(g)
	}()
	return g
}

// removeGeneration removes a generation that has ended and signals idle.
func (s *Service) removeGeneration(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[g.stream.ID()] == g {
		delete(s.running, g.stream.ID())
	}
	if len(s.running) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}
