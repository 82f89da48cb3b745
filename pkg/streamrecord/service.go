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
	// ackTimeout is the longest time that a batch may stay unacknowledged
	// before its connection is closed.
	ackTimeout = 500 * time.Millisecond
	// maxConnectFailures is the number of consecutive connection failures
	// after which the streams of a holder move to other holders.
	maxConnectFailures = 2
	// probeInterval is the interval of probes to a failed holder, which is not
	// selected again before it responds to one.
	probeInterval = time.Second
	// fullHolderBackoff is how long a holder that had no room for a stream is
	// not selected for it again.
	fullHolderBackoff = 10 * time.Second
	// rebalanceInterval is the interval of checks for streams that have a
	// better holder, for example in another data centre.
	rebalanceInterval = time.Second
	// maintenanceInterval is the interval of checks for failed and leaving holders.
	maintenanceInterval = 100 * time.Millisecond
	// expiryInterval is the interval of checks for expired records.
	expiryInterval = 5 * time.Second
	// callTimeout limits one call to one instance.
	callTimeout = 400 * time.Millisecond
	// suspectWait is how long a takeover waits for suspect instances after all
	// others have responded.
	suspectWait = 50 * time.Millisecond
	// takeOverRetryDelay is the pause between two tries of a takeover while
	// instances do not respond, takeOverTimeout the total time of the tries.
	takeOverRetryDelay = 200 * time.Millisecond
	takeOverTimeout    = 2 * time.Second
)

// MaxRecordBytes is the largest size of one record, measured as in Store.Bytes, so
// that a record fits into one drpc message of 4 MiB.
const MaxRecordBytes = 3 << 20

// Errors of streams.
var (
	// ErrNotFound means that no reachable instance has a record of the stream.
	ErrNotFound = errors.New("no record of the stream")
	// ErrStaleCopy means that every reachable copy lacks tokens that the
	// caller already received.
	ErrStaleCopy = errors.New("no complete record of the stream is reachable")
	// ErrTakenOver means that another instance owns the stream.
	ErrTakenOver = errors.New("another instance owns the stream")
	// ErrFull means that the byte limit leaves no room for a new stream.
	ErrFull = errors.New("the store of stream records is full")
	// ErrTooLarge means that a record would be larger than MaxRecordBytes.
	ErrTooLarge = errors.New("the record of the stream is too large")
	// ErrGone means that the record expired or was removed.
	ErrGone = errors.New("the record of the stream is gone")
)

// Service stores the records of this instance and replicates the records of the
// streams that it owns to other instances.
type Service struct {
	view   membership.View
	dialer *rpc.Dialer
	log    *slog.Logger

	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	store    *Store
	owned    map[string]*Stream
	sessions map[string]*holderSession
	// nextProbeAt holds the time of the next probe of each failed instance.
	nextProbeAt map[string]time.Time
	// withoutHolder holds the replicated streams for which no holder is available.
	withoutHolder map[*Stream]struct{}
	// isolated is set when every other instance has failed, and reset when one
	// acknowledges a batch.
	isolated bool

	holderMoves        metric.Int64Counter
	unreplicatedTokens metric.Int64Counter
	takeoverCount      metric.Int64Counter
}

// New returns a service that stores records up to maxBytes. With a nil meter no
// metrics are recorded.
func New(view membership.View, dialer *rpc.Dialer, maxBytes int64, meter metric.Meter, log *slog.Logger) *Service {
	if meter == nil {
		meter = noop.Meter{}
	}
	s := &Service{
		view: view, dialer: dialer, log: log, store: NewStore(view.Self().ID, maxBytes),
		owned: map[string]*Stream{}, sessions: map[string]*holderSession{},
		nextProbeAt: map[string]time.Time{}, withoutHolder: map[*Stream]struct{}{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.holderMoves, _ = meter.Int64Counter("gp_replica_holder_moves",
		metric.WithDescription("Streams that were moved to another holder."))
	s.unreplicatedTokens, _ = meter.Int64Counter("gp_replica_tokens_without_holder",
		metric.WithDescription("Tokens sent while no other instance could be reached."))
	s.takeoverCount, _ = meter.Int64Counter("gp_replica_takeovers",
		metric.WithDescription("Streams that this instance took over."))
	_, _ = meter.Int64ObservableGauge("gp_replica_record_bytes", metric.WithUnit("By"),
		metric.WithDescription("Approximate size of the stream records in memory."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(s.Stats().Bytes)
			return nil
		}))
	return s
}

// ServiceName returns the name of the service. It implements kernel.Service.
func (s *Service) ServiceName() string { return ServiceName }

// Register registers the RPC handlers of the service.
func (s *Service) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterReplica(mux, (*server)(s))
}

// Start starts the background maintenance. It implements kernel.Starter.
func (s *Service) Start(context.Context) error {
	go s.maintain()
	return nil
}

// Stop ends replication and maintenance; streams must have ended before. It
// implements kernel.Stopper.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	return nil
}

// Stats holds the number of stored and owned records and their size.
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

// BecomeOwner makes this instance the owner of a stream. Replication to a holder starts
// with the first call of SetEngine or Replicate.
func (s *Service) BecomeOwner(r Record) (*Stream, error) {
	if r.bytes() > MaxRecordBytes {
		return nil, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.owned[r.StreamID]
	if previous != nil && !previous.term.Before(r.Term) {
		return nil, ErrTakenOver
	}
	switch s.store.Open(r, time.Now()) {
	case Accepted:
	case Full:
		return nil, ErrFull
	default:
		return nil, ErrTakenOver
	}
	if previous != nil {
		previous.loseOwnership()
	}
	st := &Stream{service: s, id: r.StreamID, term: r.Term, lost: make(chan struct{})}
	s.owned[r.StreamID] = st
	return st, nil
}

// Owned returns a stream that this instance owns, running or finished, and
// reports whether there is one.
func (s *Service) Owned(stream string) (*Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.owned[stream]
	return st, ok
}

// endStaleOwnership ends the ownership of a stream whose record has a different term.
func (s *Service) endStaleOwnership(stream string) {
	st := s.owned[stream]
	if st == nil {
		return
	}
	if r, ok := s.store.Get(stream); !ok || r.Term != st.term {
		st.loseOwnership()
	}
}

// maintain periodically moves streams away from failed and leaving holders and
// removes expired records.
func (s *Service) maintain() {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	lastExpiry, lastRebalance := time.Now(), time.Now()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			members := s.view.Members()
			s.mu.Lock()
			s.probeFailedInstances(members, now)
			s.replaceHolders(members)
			if now.Sub(lastRebalance) >= rebalanceInterval {
				lastRebalance = now
				s.rebalanceStreams()
			}
			if now.Sub(lastExpiry) >= expiryInterval {
				lastExpiry = now
				s.expireRecords(now)
			}
			s.mu.Unlock()
		}
	}
}

// probeFailedInstances sends probes to failed instances and clears those that respond.
func (s *Service) probeFailedInstances(members []membership.Member, now time.Time) {
	memberIDs := map[string]bool{}
	for _, m := range members {
		memberIDs[m.ID] = true
		probeAt, failed := s.nextProbeAt[m.ID]
		if !failed || now.Before(probeAt) {
			continue
		}
		s.nextProbeAt[m.ID] = now.Add(probeInterval)
		go func() {
			_, err := callInstance(s.ctx, s, m, func(ctx context.Context, c wire.DRPCReplicaClient) (*wire.TakeOverResponse, error) {
				return c.TakeOver(ctx, &wire.TakeOverRequest{})
			})
			if err == nil {
				s.mu.Lock()
				delete(s.nextProbeAt, m.ID)
				s.mu.Unlock()
			}
		}()
	}
	for id := range s.nextProbeAt {
		if !memberIDs[id] {
			delete(s.nextProbeAt, id)
		}
	}
}

// rebalanceStreams moves streams for which a holder of higher priority is
// available, for example one outside the data centre of the owner.
func (s *Service) rebalanceStreams() {
	self := s.view.Self()
	for _, c := range s.sessions {
		currentPriority := holderPriority(self, c.holder)
		if currentPriority == 0 {
			continue
		}
		for st := range c.streams {
			r, found := s.store.Get(st.id)
			m, _, ok := s.chooseHolder(st)
			if found && !r.Finished && ok && holderPriority(self, m) < currentPriority {
				delete(c.streams, st)
				s.holderMoves.Add(s.ctx, 1)
				s.assign(st)
			}
		}
	}
}

// expireRecords removes expired records and refreshes the copies of running
// streams before they expire at their holders.
func (s *Service) expireRecords(now time.Time) {
	s.store.Expire(now, func(stream string) bool { return s.owned[stream] != nil })
	for name, st := range s.owned {
		r, ok := s.store.Get(name)
		switch {
		case !ok:
			st.endOwnership(ErrGone)
		case !r.Finished && now.Sub(st.sentAt) >= RefreshInterval && st.holderSession != nil:
			st.holderSession.enqueue(st)
		}
	}
}

// replaceHolders assigns new holders to streams whose holder is gone or leaving and
// to streams without one.
func (s *Service) replaceHolders(members []membership.Member) {
	usableIDs := map[string]bool{}
	otherHolders := 0
	for _, m := range members {
		usableIDs[m.ID] = true
		if m.ID != s.view.Self().ID && !s.hasFailed(m.ID) {
			otherHolders++
		}
	}
	for id, c := range s.sessions {
		if usableIDs[id] {
			continue
		}
		// A leaving holder is kept when no other one is available.
		if _, leaving := s.view.Member(id); !leaving || otherHolders > 0 {
			c.reassignStreams()
		}
	}
	for st := range s.withoutHolder {
		s.assign(st)
	}
}

// markFailed excludes an instance that did not respond from the selection of
// holders until it responds to a probe.
func (s *Service) markFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextProbeAt[id] = time.Now().Add(probeInterval)
}

// hasFailed reports whether an instance has failed and not yet responded to a probe.
func (s *Service) hasFailed(id string) bool {
	_, failed := s.nextProbeAt[id]
	return failed
}

// assign selects a holder for a stream and queues the record for it. If every
// instance has failed, the tokens become readable without a copy.
func (s *Service) assign(st *Stream) {
	st.holderSession, st.recordSent, st.queued = nil, false, false
	member, failed, ok := s.chooseHolder(st)
	if !ok {
		s.withoutHolder[st] = struct{}{}
		if failed {
			s.releaseUnreplicated(st)
		}
		return
	}
	delete(s.withoutHolder, st)
	c := s.sessions[member.ID]
	if c == nil {
		c = newHolderSession(s, member)
		s.sessions[member.ID] = c
		go c.run()
	}
	st.holderSession = c
	c.streams[st] = struct{}{}
	c.enqueue(st)
}

// chooseHolder returns the first available instance in the order of Holders. If
// there is none, failed reports whether all instances have failed; an instance
// without room does not count as failed.
func (s *Service) chooseHolder(st *Stream) (member membership.Member, failed, ok bool) {
	now := time.Now()
	failed = true
	for _, m := range Holders(st.id, s.view.Self(), s.view.Members()) {
		switch {
		case s.hasFailed(m.ID):
		case st.fullHolder == m.ID && now.Before(st.fullHolderUntil):
			failed = false
		default:
			return m, false, true
		}
	}
	return membership.Member{}, failed, false
}

// releaseUnreplicated makes the tokens of a stream readable without a copy, because
// no other instance can be reached.
func (s *Service) releaseUnreplicated(st *Stream) {
	if !s.isolated {
		s.isolated = true
		s.log.Warn("no other instance can be reached, tokens are sent without a copy")
	}
	r, ok := s.store.Get(st.id)
	if !ok {
		return
	}
	if n := len(r.Tokens) - st.readableTokens; n > 0 {
		s.unreplicatedTokens.Add(s.ctx, int64(n))
	}
	st.setReadable(len(r.Tokens), r.Finished)
}

// endIsolation clears isolated after an instance has acknowledged a batch.
func (s *Service) endIsolation(id string) {
	if s.isolated {
		s.isolated = false
		s.log.Info("another instance can be reached again", "holder", id)
	}
}

// Holders returns the instances that can hold the copy of a stream, by priority:
// other data centres of the same region, other regions, the same data centre, and
// after all of these the suspect instances in the same order.
func Holders(stream string, self membership.Member, members []membership.Member) []membership.Member {
	candidates := slices.DeleteFunc(membership.RankByHash(stream, members), func(m membership.Member) bool {
		return m.ID == self.ID || m.State == membership.Dead
	})
	slices.SortStableFunc(candidates, func(a, b membership.Member) int { return holderPriority(self, a) - holderPriority(self, b) })
	return candidates
}

// holderPriority returns the priority of m as a holder; 0 is the best.
func holderPriority(self, m membership.Member) int {
	priority := 0
	switch {
	case m.DataCentre == self.DataCentre:
		priority = 2
	case m.Region != self.Region:
		priority = 1
	}
	if m.State != membership.Alive {
		priority += 3
	}
	return priority
}
