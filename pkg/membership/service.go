package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/kernel"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// indirectProbeCount is the number of members that are asked to probe a member that
	// did not respond.
	indirectProbeCount = 2
	// joinInterval is the time between attempts to join through a seed.
	joinInterval = time.Second
	// probesPerTotals is the number of probes of which one carries totals, which
	// change slowly.
	probesPerTotals = 10
	// maxLocalDelay is the delay of the probe loop beyond which a failed probe does
	// not count against its target, because this process was paused or had no CPU time.
	maxLocalDelay = 150 * time.Millisecond
)

// Service maintains the membership list by probes. Its kernel name is "membership".
type Service struct {
	settings settings.Entry
	dialer   *rpc.Dialer
	bus      *kernel.Bus
	log      *slog.Logger

	mu   sync.RWMutex
	list *List
	// members is the result of Members. It is replaced on each change, never modified.
	members []Member

	sentProbes int
	cancel     context.CancelFunc
	done       chan struct{}
}

// New returns a service that is not started.
func New(s settings.Entry, dialer *rpc.Dialer, log *slog.Logger) *Service {
	now := time.Now()
	self := Member{
		ID: s.Instance.ID, Region: s.Instance.Region, DataCentre: s.Instance.DataCentre,
		PeerAddress: s.AdvertisedPeerAddress(), CallerAddress: s.CallerAddress,
		Incarnation: uint64(now.UnixMilli()),
	}
	seed := uint64(now.UnixNano())
	list := NewList(self, rand.New(rand.NewPCG(seed, seed)))
	return &Service{
		settings: s, dialer: dialer, log: log, list: list,
		members: list.Members(), done: make(chan struct{}),
	}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "membership" }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.bus = k.Bus()
	return nil
}

// Register registers the RPC handlers of the service.
func (s *Service) Register(mux drpc.Mux) error { return wire.DRPCRegisterMembership(mux, s) }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper. It returns when the probe loop has ended.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	<-s.done
	return nil
}

// Self implements View.
func (s *Service) Self() Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list.Self()
}

// Members implements View. The caller must not modify the slice.
func (s *Service) Members() []Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members
}

// Member implements View.
func (s *Service) Member(id string) (Member, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.list.Member(id)
}

// Totals returns the number of members of each data centre.
func (s *Service) Totals() []DataCentreTotal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Totals(time.Now())
}

// Leave announces to all members of the list that this instance is leaving.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.list.Leave()
	s.members = s.list.Members()
	targets := s.list.Members()
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() { _, _ = s.probe(ctx, m, false) })
	}
	wg.Wait()
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	var lastJoinAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(lastJoinAt) >= joinInterval {
				lastJoinAt = now
				s.join(ctx)
			}
			s.probeCycle(ctx, now)
		}
	}
}

// join requests the lists of seeds that are not in the list of this instance: of all
// these seeds while there is no other member, else of one chosen at random. The latter
// joins two groups of instances that a partition separated when they started.
func (s *Service) join(ctx context.Context) {
	absent := s.shuffledAbsentSeeds()
	if len(s.Members()) > 1 {
		absent = absent[:min(1, len(absent))]
	}
	for _, seed := range absent {
		go func() {
			_, _ = s.probe(ctx, Member{ID: seed.ID, PeerAddress: seed.Address}, true)
		}()
	}
}

func (s *Service) shuffledAbsentSeeds() []settings.Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var absent []settings.Peer
	for _, seed := range s.settings.Seeds {
		if _, ok := s.list.Member(seed.ID); !ok && seed.ID != s.settings.Instance.ID {
			absent = append(absent, seed)
		}
	}
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	return absent
}

// probeCycle expires members, unless the loop ran late, and probes the next member.
func (s *Service) probeCycle(ctx context.Context, tickAt time.Time) {
	s.updateList(func(t *List) []Member {
		if time.Since(tickAt) > maxLocalDelay {
			return nil
		}
		return t.ExpireMembers(tickAt)
	})
	s.mu.Lock()
	target, ok := s.list.NextProbeTarget()
	s.mu.Unlock()
	if ok {
		go s.checkMember(ctx, target)
	}
}

// checkMember probes a member directly, then through other members, and records a
// failure of both.
func (s *Service) checkMember(ctx context.Context, target Member) {
	startedAt := time.Now()
	if _, err := s.probe(ctx, target, false); err == nil {
		return
	}
	// A direct probe that returns long after its timeout shows that this process did
	// not run, so its failure does not count against the target.
	if time.Since(startedAt) > ProbeTimeout+maxLocalDelay || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	probers := s.list.IndirectProbers(target.ID, indirectProbeCount)
	s.mu.Unlock()
	if s.probeIndirectly(ctx, target, probers) {
		return
	}
	s.updateList(func(t *List) []Member { return t.RecordProbeFailure(time.Now(), target.ID) })
}

// probeIndirectly reports whether one of the probers reached the target.
func (s *Service) probeIndirectly(ctx context.Context, target Member, probers []Member) bool {
	reached := make(chan bool, len(probers))
	for _, prober := range probers {
		go func() {
			response, err := rpc.Call(ctx, s.dialer, prober.PeerAddress, 2*ProbeTimeout,
				func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
					return wire.NewDRPCMembershipClient(conn).IndirectProbe(ctx, &wire.IndirectProbeRequest{
						TargetAddress: target.PeerAddress, From: toWire(s.Self()),
					})
				})
			reached <- err == nil && response.Reached
		}()
	}
	for range probers {
		if <-reached {
			return true
		}
	}
	return false
}

// probe sends one probe with the updates for target and merges the response. With
// join set, the target responds with its whole list.
func (s *Service) probe(ctx context.Context, target Member, join bool) (*wire.ProbeResponse, error) {
	s.mu.Lock()
	request := &wire.ProbeRequest{
		From: toWire(s.list.Self()), Updates: toWireAll(s.list.UpdatesFor(target.ID)), Join: join,
		Totals: s.totalsIfDue(),
	}
	s.mu.Unlock()
	response, err := rpc.Call(ctx, s.dialer, target.PeerAddress, ProbeTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
			return wire.NewDRPCMembershipClient(conn).Probe(ctx, request)
		})
	if err != nil {
		return nil, err
	}
	s.mergeMessage(response.From, response.Updates, response.Totals)
	return response, nil
}

// totalsIfDue returns totals at one in probesPerTotals calls and nil otherwise. The caller must
// hold the lock.
func (s *Service) totalsIfDue() []*wire.DataCentreTotal {
	s.sentProbes++
	if s.sentProbes%probesPerTotals != 0 {
		return nil
	}
	var list []*wire.DataCentreTotal
	for _, total := range s.list.Totals(time.Now()) {
		list = append(list, &wire.DataCentreTotal{
			DataCentre: total.DataCentre, Region: total.Region, Members: uint32(total.Members),
			CountedAt: uint64(total.CountedAt.UnixMilli()),
		})
	}
	return list
}

// mergeMessage merges the sender, the updates and the totals of a probe or of its
// response.
func (s *Service) mergeMessage(from *wire.MemberUpdate, updates []*wire.MemberUpdate, totals []*wire.DataCentreTotal) {
	members := fromWireAll(updates)
	if from != nil {
		members = append(members, fromWire(from))
	}
	s.updateList(func(t *List) []Member {
		changed := t.Merge(time.Now(), members)
		if from != nil {
			t.RecordResponse(from.Id)
		}
		t.MergeTotals(fromWireTotals(totals))
		return changed
	})
}

// updateList runs fn on the list, replaces the published members, and logs and
// publishes the changed members that fn returns.
func (s *Service) updateList(fn func(t *List) []Member) {
	s.mu.Lock()
	changed := fn(s.list)
	if len(changed) > 0 {
		s.members = s.list.Members()
	}
	s.mu.Unlock()
	for _, m := range changed {
		s.log.Info("member changed state", "member", m.ID, "state", m.State.String(), "incarnation", m.Incarnation)
		if s.bus != nil {
			_ = s.bus.Publish(kernel.TopicMemberChanged, kernel.MemberChanged{ID: m.ID, State: m.State.String()})
		}
	}
}

// Probe merges the updates of the sender and responds with those for the sender and,
// with Join set, with the whole list. It implements wire.DRPCMembershipServer.
func (s *Service) Probe(_ context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	s.mergeMessage(r.From, r.Updates, r.Totals)
	s.mu.Lock()
	defer s.mu.Unlock()
	receiver := ""
	if r.From != nil {
		receiver = r.From.Id
	}
	updates := s.list.UpdatesFor(receiver)
	if r.Join {
		updates = append(updates, s.list.JoinSnapshot()...)
	}
	return &wire.ProbeResponse{From: toWire(s.list.Self()), Updates: toWireAll(updates), Reached: true}, nil
}

// IndirectProbe probes the target for the sender and responds whether it was reached.
// It implements wire.DRPCMembershipServer.
func (s *Service) IndirectProbe(ctx context.Context, r *wire.IndirectProbeRequest) (*wire.ProbeResponse, error) {
	if _, err := s.probe(ctx, Member{PeerAddress: r.TargetAddress}, false); err != nil {
		return &wire.ProbeResponse{From: toWire(s.Self())}, nil
	}
	return &wire.ProbeResponse{From: toWire(s.Self()), Reached: true}, nil
}

func toWire(m Member) *wire.MemberUpdate {
	return &wire.MemberUpdate{
		Id: m.ID, Region: m.Region, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress,
		CallerAddress: m.CallerAddress, Incarnation: m.Incarnation, State: uint32(m.State),
	}
}

func toWireAll(members []Member) []*wire.MemberUpdate {
	var list []*wire.MemberUpdate
	for _, m := range members {
		list = append(list, toWire(m))
	}
	return list
}

func fromWire(u *wire.MemberUpdate) Member {
	return Member{
		ID: u.Id, Region: u.Region, DataCentre: u.DataCentre, PeerAddress: u.PeerAddress,
		CallerAddress: u.CallerAddress, Incarnation: u.Incarnation, State: State(min(u.State, uint32(Dead))),
	}
}

func fromWireAll(updates []*wire.MemberUpdate) []Member {
	var list []Member
	for _, u := range updates {
		list = append(list, fromWire(u))
	}
	return list
}

func fromWireTotals(totals []*wire.DataCentreTotal) []DataCentreTotal {
	var list []DataCentreTotal
	for _, t := range totals {
		list = append(list, DataCentreTotal{
			DataCentre: t.DataCentre, Region: t.Region, Members: int(t.Members),
			CountedAt: time.UnixMilli(int64(t.CountedAt)),
		})
	}
	return list
}
