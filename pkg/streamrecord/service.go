package streamrecord

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"storj.io/drpc"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "streamrecord"

// Timing of replication.
const (
	// ackTimeout is the longest time without an acknowledgement before a
	// connection is dropped.
	ackTimeout = 500 * time.Millisecond
	// connectTries is the number of connections to one holder that may fail in
	// a row before its streams move to the next holder.
	connectTries = 2
	// probeEvery is the interval of probes to a failed holder, which is not
	// chosen again before it answers one.
	probeEvery = time.Second
	// avoidFull is how long a holder without room is not chosen for a stream.
	avoidFull = 10 * time.Second
	// returnEvery is the interval of checks for streams whose holder is not in
	// the best data centre any more.
	returnEvery = time.Second
	// maintainEvery is the interval of checks for lost and leaving holders.
	maintainEvery = 100 * time.Millisecond
	// expireEvery is the interval of checks for expired records.
	expireEvery = 5 * time.Second
	// takeOverTimeout bounds one question for a record to one instance.
	takeOverTimeout = 400 * time.Millisecond
	// suspectGrace is how long a takeover waits for suspected instances after all
	// others have answered.
	suspectGrace = 50 * time.Millisecond
	// takeOverRetry is the pause and takeOverLimit the total time of a search
	// while instances do not answer.
	takeOverRetry = 200 * time.Millisecond
	takeOverLimit = 2 * time.Second
)

// MaxRecordBytes bounds the record of one stream, counted as by Store.Bytes. A
// record has to fit into one drpc message of 4 MiB.
const MaxRecordBytes = 3 << 20

// Errors of streams.
var (
	// ErrNotFound tells that no reachable instance has a record of the stream.
	ErrNotFound = errors.New("no record of the stream")
	// ErrStaleCopy tells that all reachable copies lack tokens that the caller has.
	ErrStaleCopy = errors.New("no complete record of the stream is reachable")
	// ErrTakenOver tells that another instance owns the stream.
	ErrTakenOver = errors.New("another instance owns the stream")
	// ErrFull tells that the byte limit leaves no room for a new stream.
	ErrFull = errors.New("the store of stream records is full")
	// ErrTooLarge tells that a record would be larger than MaxRecordBytes.
	ErrTooLarge = errors.New("the record of the stream is too large")
	// ErrGone tells that the record expired or was removed.
	ErrGone = errors.New("the record of the stream is gone")
)

// Service keeps the records of this instance and copies those that it owns to
// other instances.
type Service struct {
	view   membership.View
	dialer *rpc.Dialer
	log    *slog.Logger

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	store    *Store
	owned    map[string]*Stream
	sessions map[string]*session
	// failed maps an instance that failed as a holder to the time of its next probe.
	failed map[string]time.Time
	// unheld holds the streams without a holder.
	unheld map[*Stream]struct{}
	// alone tells that every known instance failed and none has answered since.
	alone bool

	moves       metric.Int64Counter
	withoutCopy metric.Int64Counter
	takeovers   metric.Int64Counter
}

// New returns a service that keeps at most limit bytes of records. A nil meter
// records nothing.
func New(view membership.View, dialer *rpc.Dialer, limit int64, meter metric.Meter, log *slog.Logger) *Service {
	if meter == nil {
		meter = noop.Meter{}
	}
	s := &Service{
		view: view, dialer: dialer, log: log, store: NewStore(view.Self().ID, limit),
		owned: map[string]*Stream{}, sessions: map[string]*session{},
		failed: map[string]time.Time{}, unheld: map[*Stream]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.moves, _ = meter.Int64Counter("gp_replica_holder_moves",
		metric.WithDescription("Streams that were moved to another holder."))
	s.withoutCopy, _ = meter.Int64Counter("gp_replica_tokens_without_holder",
		metric.WithDescription("Tokens sent while no other instance could be reached."))
	s.takeovers, _ = meter.Int64Counter("gp_replica_takeovers",
		metric.WithDescription("Streams that this instance took over."))
	_, _ = meter.Int64ObservableGauge("gp_replica_record_bytes", metric.WithUnit("By"),
		metric.WithDescription("Approximate size of the stream records in memory."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(s.Stats().Bytes)
			return nil
		}))
	return s
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Register makes the service answer the calls of other instances.
func (s *Service) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterReplica(mux, (*server)(s))
}

// Start implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	go s.maintain()
	return nil
}

// Stop implements kernel.Stopper. Streams must have ended before.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Stats describes what the service keeps.
type Stats struct {
	Records, Owned int
	Bytes          int64
}

// Stats returns the number and size of the records.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Records: s.store.Len(), Owned: len(s.owned), Bytes: s.store.Bytes()}
}

// Own makes this instance the owner of a stream. The record is copied to a
// holder from the first call of SetEngine or Replicate on.
func (s *Service) Own(r Record) (*Stream, error) {
	if r.bytes() > MaxRecordBytes {
		return nil, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.owned[r.Stream]
	if old != nil && !old.term.Before(r.Term) {
		return nil, ErrTakenOver
	}
	switch s.store.Open(r, time.Now()) {
	case Accepted:
	case Full:
		return nil, ErrFull
	default:
		return nil, ErrTakenOver
	}
	if old != nil {
		old.lose()
	}
	st := &Stream{service: s, name: r.Stream, term: r.Term, lost: make(chan struct{})}
	s.owned[r.Stream] = st
	return st, nil
}

// Owned returns a stream that this instance owns, running or finished.
func (s *Service) Owned(stream string) (*Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.owned[stream]
	return st, ok
}

// checkOwned ends the local ownership of a stream when its record has another term.
func (s *Service) checkOwned(stream string) {
	st := s.owned[stream]
	if st == nil {
		return
	}
	if r, ok := s.store.Get(stream); !ok || r.Term != st.term {
		st.lose()
	}
}

// maintain moves streams away from lost and leaving holders and removes
// expired records.
func (s *Service) maintain() {
	ticker := time.NewTicker(maintainEvery)
	defer ticker.Stop()
	expired, returned := time.Now(), time.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			members := s.view.Members()
			s.mu.Lock()
			s.probe(members, now)
			s.checkHolders(members)
			if now.Sub(returned) >= returnEvery {
				returned = now
				s.returnStreams()
			}
			if now.Sub(expired) >= expireEvery {
				expired = now
				s.expire(now)
			}
			s.mu.Unlock()
		}
	}
}

// probe asks failed instances whether they answer again.
func (s *Service) probe(members []membership.Member, now time.Time) {
	known := map[string]bool{}
	for _, m := range members {
		known[m.ID] = true
		next, failed := s.failed[m.ID]
		if !failed || now.Before(next) {
			continue
		}
		s.failed[m.ID] = now.Add(probeEvery)
		go func() {
			_, err := callOne(s.ctx, s, m, func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.TakeOverResponse, error) {
				return c.TakeOver(ctx, &wire.TakeOverRequest{})
			})
			if err == nil {
				s.mu.Lock()
				delete(s.failed, m.ID)
				s.mu.Unlock()
			}
		}()
	}
	for id := range s.failed {
		if !known[id] {
			delete(s.failed, id)
		}
	}
}

// returnStreams moves streams whose holder is further down the order of holders
// than it has to be, for example in the owner's own data centre.
func (s *Service) returnStreams() {
	self := s.view.Self()
	for _, c := range s.sessions {
		here := distance(self, c.member)
		if here == 0 {
			continue
		}
		for st := range c.streams {
			r, known := s.store.Get(st.name)
			m, _, ok := s.choose(st)
			if known && !r.Finished && ok && distance(self, m) < here {
				delete(c.streams, st)
				s.moves.Add(s.ctx, 1)
				s.assign(st)
			}
		}
	}
}

func (s *Service) expire(now time.Time) {
	s.store.Expire(now, func(stream string) bool { return s.owned[stream] != nil })
	for name, st := range s.owned {
		r, ok := s.store.Get(name)
		switch {
		case !ok:
			st.end(ErrGone)
		case !r.Finished && now.Sub(st.sentAt) >= RefreshEvery && st.target != nil:
			st.target.enqueue(st)
		}
	}
}

// checkHolders gives every stream whose holder is gone or leaving another one.
func (s *Service) checkHolders(members []membership.Member) {
	usable := map[string]bool{}
	others := 0
	for _, m := range members {
		usable[m.ID] = true
		if m.ID != s.view.Self().ID && !s.hasFailed(m.ID) {
			others++
		}
	}
	for id, c := range s.sessions {
		if usable[id] {
			continue
		}
		// A leaving holder is kept when there is no other one.
		if _, leaving := s.view.Member(id); !leaving || others > 0 {
			c.abandon()
		}
	}
	for st := range s.unheld {
		s.assign(st)
	}
}

// fail keeps an instance that did not answer from being chosen as a holder
// until it answers a probe.
func (s *Service) fail(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed[id] = time.Now().Add(probeEvery)
}

func (s *Service) hasFailed(id string) bool {
	_, failed := s.failed[id]
	return failed
}

// assign chooses a holder for a stream. While every known instance has failed,
// the stream goes on alone.
func (s *Service) assign(st *Stream) {
	st.target, st.opened, st.queued = nil, false, false
	member, failed, ok := s.choose(st)
	if !ok {
		s.unheld[st] = struct{}{}
		if failed {
			s.goAlone(st)
		}
		return
	}
	delete(s.unheld, st)
	c := s.sessions[member.ID]
	if c == nil {
		c = newSession(s, member)
		s.sessions[member.ID] = c
		go c.run()
	}
	st.target = c
	c.streams[st] = struct{}{}
	c.enqueue(st)
}

// choose returns the first usable instance in the order of holders. Otherwise
// it reports whether all instances failed: one without room did not.
func (s *Service) choose(st *Stream) (member membership.Member, failed, ok bool) {
	now := time.Now()
	failed = true
	for _, m := range Holders(st.name, s.view.Self(), s.view.Members()) {
		switch {
		case s.hasFailed(m.ID):
		case st.refusedBy == m.ID && now.Before(st.refusedUntil):
			failed = false
		default:
			return m, false, true
		}
	}
	return membership.Member{}, failed, false
}

// goAlone lets the tokens of a stream be sent although no copy exists, because
// no other instance can be reached.
func (s *Service) goAlone(st *Stream) {
	if !s.alone {
		s.alone = true
		s.log.Warn("no other instance can be reached, tokens are sent without a copy")
	}
	r, ok := s.store.Get(st.name)
	if !ok {
		return
	}
	if n := len(r.Tokens) - st.held; n > 0 {
		s.withoutCopy.Add(s.ctx, int64(n))
	}
	st.hold(len(r.Tokens), r.Finished)
}

// answered notes that an instance acknowledged a batch.
func (s *Service) answered(id string) {
	if s.alone {
		s.alone = false
		s.log.Info("another instance can be reached again", "holder", id)
	}
}

// Holders orders the instances that can hold the copy of a stream: other data
// centres of the region first, then other regions, then the own data centre;
// those that are suspected last.
func Holders(stream string, self membership.Member, members []membership.Member) []membership.Member {
	ranked := slices.DeleteFunc(membership.Rank(stream, members), func(m membership.Member) bool {
		return m.ID == self.ID || m.State == membership.Dead
	})
	slices.SortStableFunc(ranked, func(a, b membership.Member) int { return distance(self, a) - distance(self, b) })
	return ranked
}

func distance(self, m membership.Member) int {
	d := 0
	switch {
	case m.DataCentre == self.DataCentre:
		d = 2
	case m.Region != self.Region:
		d = 1
	}
	if m.State != membership.Alive {
		d += 3
	}
	return d
}
