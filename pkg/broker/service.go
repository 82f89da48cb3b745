package broker

import (
	"context"
	"log/slog"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/configwatch"
	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// tickInterval is how often roles, time-outs and queues are looked at.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is how often both ends of a session send something.
	heartbeatInterval = 300 * time.Millisecond
	// silenceLimit is the time without a message after which a session is reopened.
	silenceLimit = time.Second
	// lostAfter is the time without a message after which everything that an
	// entry instance holds is reclaimed: long enough to reopen a session twice.
	lostAfter = 3 * time.Second
	// answerLimit is the time without an answer of a broker after which an
	// instance decides itself.
	answerLimit = 500 * time.Millisecond
	// settleTime is how long a new broker waits for the leases of the others
	// before its first grant: they see the new role at a tick and then connect.
	settleTime = 300 * time.Millisecond
	// leaveMemory is how long a leave is remembered for pools hosted later.
	leaveMemory = 10 * time.Second
	// pauseLimit is the time between two ticks that tells of a frozen process.
	pauseLimit = time.Second
	// poolIdle is how long a hosted pool without requests and servers is kept.
	poolIdle = time.Minute
	// reportInterval is how often demands for limits are told to other sites.
	reportInterval = time.Second
)

// Stats counts what the service did.
type Stats struct {
	// Local counts decisions made without a broker.
	Local uint64
	// Remote counts grants of other data centres.
	Remote uint64
	// Reopened counts sessions that were opened again after a fault.
	Reopened uint64
	// Reclaimed counts entry instances whose grants were taken back.
	Reclaimed uint64
	// Moved counts waiting requests that were repeated at another broker.
	Moved uint64
	// Waiting and Leases are current numbers of this instance's requests.
	Waiting, Leases int
	// Pools holds the counters of the pools that this instance hosts.
	Pools map[string]sched.Stats
}

// Service grants slots of the pools that this instance is the broker of, and
// asks the brokers of the others.
type Service struct {
	view   membership.View
	config configwatch.Source
	dialer *rpc.Dialer
	policy sched.Policy
	log    *slog.Logger
	// process names this process towards brokers: what an earlier process of
	// the same instance held must not be mistaken for its own.
	process string

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	pools    map[string]*hosted
	peers    map[string]*peer
	left     map[string]departure
	sites    map[sched.Site]siteReport
	version  uint64
	limited  bool
	reported time.Time
	ticked   time.Time
	stopped  bool

	// near holds the live instances of the data centre as of the last tick.
	near    []membership.Member
	brokers map[string]string
	links   map[string]*link
	calls   map[uint64]*call
	leases  map[uint64]*lease
	number  uint64
	known   map[string]*knownServer
	// announced holds the newest announcement of each backend server that was
	// sent to this instance, those without a pool included.
	announced map[string]arrival
	// holding counts this instance's leases by backend server.
	holding map[string]int
	stats   Stats
}

// departure is a remembered leave of a backend server.
type departure struct {
	incarnation uint64
	at          time.Time
}

// New returns the service. Policy is "fair" or "fifo".
func New(view membership.View, config configwatch.Source, dialer *rpc.Dialer, policy string, log *slog.Logger) *Service {
	s := &Service{
		view: view, config: config, dialer: dialer, log: log,
		rng:   rand.New(rand.NewSource(time.Now().UnixNano())),
		pools: map[string]*hosted{}, peers: map[string]*peer{}, left: map[string]departure{}, sites: map[sched.Site]siteReport{},
		brokers: map[string]string{}, links: map[string]*link{}, calls: map[uint64]*call{},
		leases: map[uint64]*lease{}, known: map[string]*knownServer{}, announced: map[string]arrival{}, holding: map[string]int{},
	}
	if policy == "fifo" {
		s.policy = sched.FIFO
	}
	s.process = view.Self().ID + "#" + strconv.FormatUint(s.rng.Uint64(), 36)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "broker" }

// Register adds the service for other instances to a drpc server.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterBroker(mux, endpoint{s}), "register the broker")
}

// Start runs the service until ctx ends or Stop is called.
func (s *Service) Start(ctx context.Context) error {
	context.AfterFunc(ctx, s.cancel)
	s.tasks.Go(s.run)
	return nil
}

// Stop ends the sessions. Waiting requests of other instances were sent on to
// the next broker since this instance announced that it leaves.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.handOver(time.Now())
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	s.tasks.Wait()
	return nil
}

func (s *Service) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			s.tick(now)
		}
	}
}

func (s *Service) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ticked.IsZero() && now.Sub(s.ticked) > pauseLimit {
		s.afterPause(now)
	}
	s.ticked, s.near = now, nil
	s.reconfigure()
	s.tickHosted(now)
	s.tickPeers(now)
	s.tickClient(now)
	if now.Sub(s.reported) >= reportInterval {
		s.reported = now
		s.report(now)
	}
}

// afterPause keeps a process that was frozen from taking its own silence for
// the loss of all others. The time stands for what they sent in the meantime.
func (s *Service) afterPause(now time.Time) {
	s.log.Warn("this process was paused", "seconds", now.Sub(s.ticked).Seconds())
	for _, p := range s.peers {
		p.heard = now
	}
	for _, h := range s.pools {
		h.pool.RestartGracePeriod(now)
	}
}

// spawn runs fn in the background until the service stops. The caller holds the mutex.
func (s *Service) spawn(fn func()) {
	if !s.stopped {
		s.tasks.Go(fn)
	}
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Waiting, stats.Leases = len(s.calls), len(s.leases)
	stats.Pools = map[string]sched.Stats{}
	for name, h := range s.pools {
		stats.Pools[name] = h.pool.Stats()
	}
	return stats
}

// candidates returns the instances that may be the broker of a pool in a data
// centre, best first.
func (s *Service) candidates(pool, dataCentre string) []membership.Member {
	return membership.Rank(pool+"@"+dataCentre, alive(dataCentre, s.view.Members()))
}

func alive(dataCentre string, members []membership.Member) []membership.Member {
	return slices.DeleteFunc(membership.InDataCentre(dataCentre, members),
		func(m membership.Member) bool { return m.State != membership.Alive })
}

// first returns the broker of a pool in the own data centre as of the last
// tick, "" if there is none.
func (s *Service) first(pool string) string {
	dataCentre := s.view.Self().DataCentre
	if s.near == nil {
		s.near = alive(dataCentre, s.view.Members())
	}
	if list := membership.Rank(pool+"@"+dataCentre, s.near); len(list) > 0 {
		return list[0].ID
	}
	return ""
}

// isBroker reports whether this instance is the broker of a pool.
func (s *Service) isBroker(pool string) bool { return s.first(pool) == s.view.Self().ID }
