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

// DefaultMaxTokens bounds the output when neither the request nor the
// configuration does.
const DefaultMaxTokens = 4096

// Timing of recovery.
const (
	// silenceLimit is the longest time without any event of an engine; engines
	// send a heartbeat every 200 ms.
	silenceLimit = 800 * time.Millisecond
	// resumeLimit bounds the attempt to resume the same engine stream.
	resumeLimit = 500 * time.Millisecond
	// cancelTimeout bounds one attempt to cancel an engine stream, cancelTries
	// the number of attempts.
	cancelTimeout = time.Second
	cancelTries   = 5
	// detachedLimit is how long a stream without a caller continues.
	detachedLimit = 60 * time.Second
	// claimPause and claimPauseMost bound the random pause after another
	// instance took over a stream of the same idempotency key. Without it, two
	// instances can take the stream from each other for tens of seconds.
	claimPause     = 20 * time.Millisecond
	claimPauseMost = 640 * time.Millisecond
	// confirmLimit bounds the question to the holder before an owner serves a
	// caller that reconnects.
	confirmLimit = 2 * time.Second
	// retryFirst and retryMost bound the back-off between requests for a slot
	// of a generation that already runs.
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
)

// Option changes a Service.
type Option func(*Service)

// WithMeter records the metrics of the service.
func WithMeter(m metric.Meter) Option { return func(s *Service) { s.meter = m } }

// WithEngines replaces the adapter to engines.
func WithEngines(connect func(address string) engine.Engine) Option {
	return func(s *Service) { s.connect = connect }
}

// Service runs the generations of this instance. It implements Runner.
type Service struct {
	view    membership.View
	config  configwatch.Source
	slots   broker.Acquirer
	store   *streamrecord.Service
	log     *slog.Logger
	meter   metric.Meter
	metrics metrics
	connect func(address string) engine.Engine
	// detached is how long a stream without a caller continues.
	detached time.Duration

	ctx    context.Context
	cancel context.CancelFunc

	takeovers singleflight.Group

	mu      sync.Mutex
	running map[string]*running
	// idle is closed when the last generation ends; nil while nobody waits.
	idle chan struct{}
}

// New returns a service without generations.
func New(
	view membership.View, config configwatch.Source, slots broker.Acquirer, store *streamrecord.Service,
	log *slog.Logger, options ...Option,
) *Service {
	client := engine.NewClient(nil)
	s := &Service{
		view: view, config: config, slots: slots, store: store, log: log,
		meter: noop.Meter{}, running: map[string]*running{}, detached: detachedLimit,
		connect: func(address string) engine.Engine { return engine.NewHTTP(address, client) },
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, option := range options {
		option(s)
	}
	s.metrics = newMetrics(s.meter)
	_, _ = s.meter.Int64ObservableGauge("gp_generation_running",
		metric.WithDescription("Generations that this instance runs."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(s.Running()))
			return nil
		}))
	return s
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Stop implements kernel.Stopper: it waits until all generations have ended or
// ctx ends.
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

// Running returns the number of generations that this instance runs.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// Seed returns the seed of a stream, which all its attempts share.
func Seed(stream string) int64 { return int64(xxhash.Sum64String(stream) >> 1) }

// streamID derives the identifier from the idempotency key, or makes one that
// names its first owner.
func (s *Service) streamID(r Request) string {
	if r.IdempotencyKey != "" {
		raw, _ := json.Marshal([2]string{r.Organisation, r.IdempotencyKey})
		d := xxhash.New()
		_, _ = d.Write(raw)
		low := d.Sum64()
		_, _ = d.Write(raw)
		return "k" + hex.EncodeToString(sum(low, d.Sum64()))
	}
	var random [12]byte
	_, _ = crypto.Read(random[:])
	return "s" + hex.EncodeToString(random[:]) + "-" + s.view.Self().ID
}

func sum(parts ...uint64) []byte {
	var raw []byte
	for _, p := range parts {
		for shift := 0; shift < 64; shift += 8 {
			raw = append(raw, byte(p>>shift))
		}
	}
	return raw
}

// Open implements Runner.
func (s *Service) Open(ctx context.Context, r Request) (Session, error) {
	r.MaxTokens = s.bound(r)
	stream := s.streamID(r)
	if r.IdempotencyKey == "" {
		return s.open(ctx, stream, r, nil)
	}
	return s.openKeyed(ctx, stream, r)
}

// openKeyed finds the stream of the same key or opens it. Of instances that
// open it at the same time, one gets the claim and the others find its stream.
func (s *Service) openKeyed(ctx context.Context, stream string, r Request) (Session, error) {
	self, other := s.view.Self().ID, ""
	for pause := claimPause; ctx.Err() == nil; pause = min(2*pause, claimPauseMost) {
		session, err := s.Resume(ctx, r.Organisation, stream, -1)
		switch {
		case err == nil && session.Request() != r:
			session.Close()
			return nil, ErrKeyReused
		case err == nil:
			return session, nil
		case errors.Is(err, ErrTakenOver):
			sleep(ctx, rand.N(pause))
			continue
		case !errors.Is(err, ErrNotFound):
			return nil, err
		}
		claim := func() bool {
			var holder string
			holder, err = s.store.Claim(ctx, stream, other)
			if err == nil && holder != self {
				other = holder
			}
			return err == nil && holder == self
		}
		session, err = s.open(ctx, stream, r, claim)
		if !errors.Is(err, ErrTakenOver) {
			return session, err
		}
		sleep(ctx, rand.N(pause))
	}
	return nil, ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// open starts a new stream. The record exists before claim is called, so that
// whoever is refused the claim finds it. Without the claim, or when another
// instance took the stream over before it ran, ErrTakenOver is returned.
func (s *Service) open(ctx context.Context, stream string, r Request, claim func() bool) (Session, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	st, err := s.store.Own(streamrecord.Record{
		Stream: stream, Organisation: r.Organisation, Request: body,
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
	g := s.start(st, r, NewState(r.MaxTokens, 0, 0), streamrecord.Engine{})
	return g.wait(ctx, 0)
}

func (s *Service) bound(r Request) int {
	most := DefaultMaxTokens
	if service, ok := s.config.Current().Services[r.Model]; ok && service.MaxTokens > 0 {
		most = service.MaxTokens
	}
	if r.MaxTokens < 1 || r.MaxTokens > most {
		return most
	}
	return r.MaxTokens
}

// Resume implements Runner.
func (s *Service) Resume(ctx context.Context, organisation, stream string, after int) (Session, error) {
	if after < -1 {
		return nil, ErrNotFound
	}
	session, err := s.resumeHere(ctx, organisation, stream, after)
	if !errors.Is(err, errNotHere) {
		return session, err
	}
	// Callers of one stream share one takeover, which outlives each of them.
	_, err, _ = s.takeovers.Do(organisation+"\x00"+stream, func() (any, error) {
		return nil, s.takeOver(context.WithoutCancel(ctx), organisation, stream, after)
	})
	if err != nil {
		return nil, err
	}
	if st, ok := s.store.Owned(stream); ok {
		session, err = s.attach(ctx, st, after)
		if !errors.Is(err, errNotHere) {
			return session, err
		}
	}
	return nil, ErrTakenOver
}

// errNotHere tells that this instance does not own the stream.
var errNotHere = errors.New("this instance does not own the stream")

// takeOver makes this instance the owner of a stream and continues it.
func (s *Service) takeOver(ctx context.Context, organisation, stream string, after int) error {
	st, err := s.store.TakeOver(ctx, stream, organisation, after+1)
	switch {
	case errors.Is(err, streamrecord.ErrNotFound):
		return ErrNotFound
	case errors.Is(err, streamrecord.ErrStaleCopy), errors.Is(err, streamrecord.ErrFull):
		return ErrLost
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
		return ErrLost
	}
	if record.Finished {
		return nil
	}
	s.log.Info("stream taken over", "stream", stream, "epoch", record.Term.Epoch, "tokens", len(record.Tokens))
	g := s.start(st, r, NewState(r.MaxTokens, len(record.Tokens), record.Engine.Attempt), record.Engine)
	g.watchDetached()
	return nil
}

// resumeHere attaches to a stream that this instance owns, after the holder
// has confirmed that no other instance took it over.
func (s *Service) resumeHere(ctx context.Context, organisation, stream string, after int) (Session, error) {
	st, ok := s.store.Owned(stream)
	if !ok {
		return nil, errNotHere
	}
	record, ok := st.Record()
	if !ok || record.Organisation != organisation || len(record.Tokens) < after+1 {
		return nil, errNotHere
	}
	confirmCtx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	if st.Confirm(confirmCtx) != nil {
		return nil, errNotHere
	}
	return s.attach(ctx, st, after)
}

// attach returns a session of a stream that this instance owns.
func (s *Service) attach(ctx context.Context, st *streamrecord.Stream, after int) (Session, error) {
	s.mu.Lock()
	g := s.running[st.Name()]
	s.mu.Unlock()
	if g != nil && g.st == st {
		return g.wait(ctx, after+1)
	}
	var r Request
	if record, ok := st.Record(); !ok || !record.Finished || json.Unmarshal(record.Request, &r) != nil {
		return nil, errNotHere
	}
	return newSession(nil, st, r, after+1), nil
}

// start runs a generation in the background.
func (s *Service) start(st *streamrecord.Stream, r Request, state State, last streamrecord.Engine) *running {
	g := newRunning(s, st, r, state, last)
	s.mu.Lock()
	s.running[st.Name()] = g
	s.mu.Unlock()
	go func() {
		g.run()
		s.ended(g)
	}()
	return g
}

func (s *Service) ended(g *running) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[g.st.Name()] == g {
		delete(s.running, g.st.Name())
	}
	if len(s.running) == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}
