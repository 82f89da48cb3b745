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
	// indirectProbes is the number of members asked to probe a silent one.
	indirectProbes = 2
	// joinInterval is the time between attempts to join through a seed.
	joinInterval = time.Second
	// totalsEvery sends totals with each tenth probe: they change slowly.
	totalsEvery = 10
	// localDelayLimit is the late running of the probe loop beyond which failed
	// probes are put down to this instance, which was frozen or starved.
	localDelayLimit = 150 * time.Millisecond
)

// Service keeps the member table by probes. Its kernel name is "membership".
type Service struct {
	settings settings.Entry
	dialer   *rpc.Dialer
	bus      *kernel.Bus
	log      *slog.Logger

	mu    sync.RWMutex
	table *Table
	// members is the published view, replaced on each change.
	members []Member

	totalsCounter int
	stop          context.CancelFunc
	done          chan struct{}
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
	table := NewTable(self, rand.New(rand.NewPCG(seed, seed)))
	return &Service{
		settings: s, dialer: dialer, log: log, table: table,
		members: table.Members(), done: make(chan struct{}),
	}
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "membership" }

// Provision implements kernel.Provisioner.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.bus = k.Bus()
	return nil
}

// Register adds the drpc service to a mux.
func (s *Service) Register(mux drpc.Mux) error { return wire.DRPCRegisterMembership(mux, s) }

// Start implements kernel.Starter.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.stop = context.WithCancel(ctx)
	go s.run(ctx)
	return nil
}

// Stop implements kernel.Stopper: probes end.
func (s *Service) Stop(context.Context) error {
	s.stop()
	<-s.done
	return nil
}

// Self implements View.
func (s *Service) Self() Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.Self()
}

// Members implements View. The slice must not be changed.
func (s *Service) Members() []Member {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members
}

// Member implements View.
func (s *Service) Member(id string) (Member, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.table.Member(id)
}

// Totals returns the totals of all data centres.
func (s *Service) Totals() []Total {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Totals(time.Now())
}

// Leave announces to all known members that this instance is leaving.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.table.Leave()
	s.members = s.table.Members()
	targets := s.table.Members()
	s.mu.Unlock()
	var wait sync.WaitGroup
	for _, m := range targets {
		wait.Go(func() { _, _ = s.probe(ctx, m, false) })
	}
	wait.Wait()
}

func (s *Service) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	var lastJoin time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(lastJoin) >= joinInterval {
				lastJoin = now
				s.join(ctx)
			}
			s.step(ctx, now)
		}
	}
}

// join asks seeds that are not live members for their table: all of them while
// no other member is known, else one, which heals a partition at start.
func (s *Service) join(ctx context.Context) {
	absent := s.absentSeeds()
	if len(s.Members()) > 1 {
		absent = absent[:min(1, len(absent))]
	}
	for _, seed := range absent {
		go func() {
			_, _ = s.probe(ctx, Member{ID: seed.ID, PeerAddress: seed.Address}, true)
		}()
	}
}

func (s *Service) absentSeeds() []settings.Peer {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var absent []settings.Peer
	for _, seed := range s.settings.Seeds {
		if _, ok := s.table.Member(seed.ID); !ok && seed.ID != s.settings.Instance.ID {
			absent = append(absent, seed)
		}
	}
	rand.Shuffle(len(absent), func(i, j int) { absent[i], absent[j] = absent[j], absent[i] })
	return absent
}

func (s *Service) step(ctx context.Context, now time.Time) {
	s.change(func(t *Table) []Member {
		if time.Since(now) > localDelayLimit {
			return nil
		}
		return t.Tick(now)
	})
	s.mu.Lock()
	target, ok := s.table.NextProbe()
	s.mu.Unlock()
	if ok {
		go s.check(ctx, target)
	}
}

// check probes a member directly, then through others, and records the result.
func (s *Service) check(ctx context.Context, target Member) {
	started := time.Now()
	if _, err := s.probe(ctx, target, false); err == nil {
		return
	}
	// A direct probe that returns long after its time-out shows that this
	// process did not run; its failure says nothing about the target.
	if time.Since(started) > ProbeTimeout+localDelayLimit || ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	helpers := s.table.Helpers(target.ID, indirectProbes)
	s.mu.Unlock()
	if s.checkIndirect(ctx, target, helpers) {
		return
	}
	s.change(func(t *Table) []Member { return t.Failed(time.Now(), target.ID) })
}

func (s *Service) checkIndirect(ctx context.Context, target Member, helpers []Member) bool {
	reached := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			response, err := rpc.Call(ctx, s.dialer, helper.PeerAddress, 2*ProbeTimeout,
				func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
					return wire.NewDRPCMembershipClient(conn).IndirectProbe(ctx, &wire.IndirectProbeRequest{
						TargetAddress: target.PeerAddress, From: toWire(s.Self()),
					})
				})
			reached <- err == nil && response.Reached
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

func (s *Service) probe(ctx context.Context, target Member, join bool) (*wire.ProbeResponse, error) {
	s.mu.Lock()
	request := &wire.ProbeRequest{
		From: toWire(s.table.Self()), Updates: toWireAll(s.table.Updates(target.ID)), Join: join,
		Totals: s.totalsDue(),
	}
	s.mu.Unlock()
	response, err := rpc.Call(ctx, s.dialer, target.PeerAddress, ProbeTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.ProbeResponse, error) {
			return wire.NewDRPCMembershipClient(conn).Probe(ctx, request)
		})
	if err != nil {
		return nil, err
	}
	s.absorb(response.From, response.Updates, response.Totals)
	return response, nil
}

// totalsDue returns totals for each tenth probe; the caller holds the lock.
func (s *Service) totalsDue() []*wire.DataCentreTotal {
	s.totalsCounter++
	if s.totalsCounter%totalsEvery != 0 {
		return nil
	}
	var list []*wire.DataCentreTotal
	for _, total := range s.table.Totals(time.Now()) {
		list = append(list, &wire.DataCentreTotal{
			DataCentre: total.DataCentre, Region: total.Region, Members: uint32(total.Members),
			CountedAt: uint64(total.CountedAt.UnixMilli()),
		})
	}
	return list
}

func (s *Service) absorb(from *wire.MemberUpdate, updates []*wire.MemberUpdate, totals []*wire.DataCentreTotal) {
	members := fromWireAll(updates)
	if from != nil {
		members = append(members, fromWire(from))
	}
	s.change(func(t *Table) []Member {
		changed := t.Merge(time.Now(), members)
		if from != nil {
			t.Heard(from.Id)
		}
		t.MergeTotals(fromWireTotals(totals))
		return changed
	})
}

// change runs fn on the table, publishes the new view and tells of the changes.
func (s *Service) change(fn func(t *Table) []Member) {
	s.mu.Lock()
	changed := fn(s.table)
	if len(changed) > 0 {
		s.members = s.table.Members()
	}
	s.mu.Unlock()
	for _, m := range changed {
		s.log.Info("member changed state", "member", m.ID, "state", m.State.String(), "incarnation", m.Incarnation)
		if s.bus != nil {
			_ = s.bus.Publish(kernel.TopicMemberChanged, kernel.MemberChanged{ID: m.ID, State: m.State.String()})
		}
	}
}

// Probe implements the drpc service.
func (s *Service) Probe(_ context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	s.absorb(r.From, r.Updates, r.Totals)
	s.mu.Lock()
	defer s.mu.Unlock()
	receiver := ""
	if r.From != nil {
		receiver = r.From.Id
	}
	updates := s.table.Updates(receiver)
	if r.Join {
		updates = append(updates, s.table.Whole()...)
	}
	return &wire.ProbeResponse{From: toWire(s.table.Self()), Updates: toWireAll(updates), Reached: true}, nil
}

// IndirectProbe implements the drpc service.
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

func fromWireTotals(totals []*wire.DataCentreTotal) []Total {
	var list []Total
	for _, t := range totals {
		list = append(list, Total{
			DataCentre: t.DataCentre, Region: t.Region, Members: int(t.Members),
			CountedAt: time.UnixMilli(int64(t.CountedAt)),
		})
	}
	return list
}
