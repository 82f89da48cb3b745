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
	// tickInterval is how often roles, timeouts and queues are checked.
	tickInterval = 50 * time.Millisecond
	// heartbeatInterval is how often a client sends a heartbeat in a session. The broker
	// replies to it.
	heartbeatInterval = 300 * time.Millisecond
	// silenceTimeout is the time without a message after which a session is reopened.
	silenceTimeout = time.Second
	// instanceLossTimeout is the time without a message after which the requests and
	// grants of an entry instance are dropped. It is long enough to reopen a session
	// twice.
	instanceLossTimeout = 3 * time.Second
	// responseTimeout is the time without a response from a broker after which an instance
	// decides locally, or gives up on the broker of another data centre.
	responseTimeout = 500 * time.Millisecond
	// initialGrantDelay is the time before the first grant of a new broker, in which the
	// other instances register their leases. They detect the new role at a tick and then
	// connect.
	initialGrantDelay = 300 * time.Millisecond
	// storedLeaveTTL is how long a leave is stored, to be applied to pools that this
	// instance hosts later and to reject earlier announcements.
	storedLeaveTTL = 10 * time.Second
	// pauseThreshold is the time between two ticks above which the process is assumed to
	// have been paused.
	pauseThreshold = time.Second
	// poolIdleTTL is how long a hosted pool without requests and servers is kept.
	poolIdleTTL = time.Minute
	// reportInterval is how often demands are reported to other sites.
	reportInterval = time.Second
)

// Stats holds the counters of the service and its current state.
type Stats struct {
	// LocalDecisions counts grants decided without a broker.
	LocalDecisions uint64
	// RemoteGrants counts grants from other data centres.
	RemoteGrants uint64
	// ReopenedSessions counts sessions that ended and were reopened.
	ReopenedSessions uint64
	// LostInstances counts lost entry instances whose requests and grants were dropped.
	LostInstances uint64
	// MovedRequests counts pending requests that were sent again to another broker.
	MovedRequests uint64
	// PendingRequests and Leases are the current numbers of this instance.
	PendingRequests, Leases int
	// Pools holds the statistics of the pools that this instance hosts.
	Pools map[string]sched.Stats
}

// Service is the broker of some pools and a client of the brokers of the others.
type Service struct {
	view   membership.View
	config configwatch.Source
	dialer *rpc.Dialer
	policy sched.Policy
	log    *slog.Logger
	// processID identifies this process to brokers. It differs between processes of the
	// same instance, so that a restarted one does not take over the requests and leases
	// of the previous one.
	processID string

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	// mu guards the fields below.
	mu  sync.Mutex
	rng *rand.Rand
	// pools, clients (by process identifier), leaves (by backend server) and siteReports
	// are the state of the broker role.
	pools         map[string]*hostedPool
	clients       map[string]*client
	leaves        map[string]storedLeave
	siteReports   map[sched.Site]siteReport
	configVersion uint64
	hasLimits     bool
	lastReportAt  time.Time
	lastTickAt    time.Time
	stopped       bool

	// localMembers holds the alive instances of this data centre as of the last tick, or
	// nil if they were not needed since.
	localMembers []membership.Member
	// brokerByPool, links (by broker), requests, leases and serverCache (by backend server)
	// are the state of the client role. A lease has the number of its request.
	brokerByPool map[string]string
	links        map[string]*link
	requests     map[uint64]*pendingRequest
	leases       map[uint64]*lease
	lastID       uint64
	serverCache  map[string]*cachedServer
	// announcements holds the latest announcement of each backend server that was sent to
	// this instance, including servers without a pool.
	announcements map[string]receivedAnnouncement
	// leasesByServer counts this instance's leases by backend server.
	leasesByServer map[string]int
	stats          Stats
}

// storedLeave is the leave of a backend server, stored for storedLeaveTTL.
type storedLeave struct {
	incarnation uint64
	leftAt      time.Time
}

// New returns a Service. The policy is "fair" or "fifo".
func New(view membership.View, config configwatch.Source, dialer *rpc.Dialer, policy string, log *slog.Logger) *Service {
	s := &Service{
		view: view, config: config, dialer: dialer, log: log,
		rng:   rand.New(rand.NewSource(time.Now().UnixNano())),
		pools: map[string]*hostedPool{}, clients: map[string]*client{}, leaves: map[string]storedLeave{}, siteReports: map[sched.Site]siteReport{},
		brokerByPool: map[string]string{}, links: map[string]*link{}, requests: map[uint64]*pendingRequest{},
		leases: map[uint64]*lease{}, serverCache: map[string]*cachedServer{}, announcements: map[string]receivedAnnouncement{}, leasesByServer: map[string]int{},
	}
	if policy == "fifo" {
		s.policy = sched.FIFO
	}
	s.processID = view.Self().ID + "#" + strconv.FormatUint(s.rng.Uint64(), 36)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// ServiceName implements kernel.Service.
func (s *Service) ServiceName() string { return "broker" }

// Register registers the RPC service for other instances.
func (s *Service) Register(mux drpc.Mux) error {
	return eris.Wrap(wire.DRPCRegisterBroker(mux, endpoint{s}), "register the broker")
}

// Start starts the service, which runs until ctx ends or Stop is called.
func (s *Service) Start(ctx context.Context) error {
	context.AfterFunc(ctx, s.cancel)
	s.tasks.Go(s.run)
	return nil
}

// Stop redirects the requests that are still queued here to the next broker and ends the
// sessions. Few are left: an instance that is leaving is no broker any more, so its queues
// are redirected at every tick before Stop is called.
func (s *Service) Stop(context.Context) error {
	s.mu.Lock()
	s.redirectAllQueued(time.Now())
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
	if !s.lastTickAt.IsZero() && now.Sub(s.lastTickAt) > pauseThreshold {
		s.handlePause(now)
	}
	s.lastTickAt, s.localMembers = now, nil
	s.applyConfig()
	s.tickPools(now)
	s.dropLostClients(now)
	s.tickRequests(now)
	if now.Sub(s.lastReportAt) >= reportInterval {
		s.lastReportAt = now
		s.reportDemands(now)
	}
}

// handlePause keeps a process that was paused from treating its clients as lost and from
// refusing requests because it missed announcements: for clients and for the pools, the
// time without messages starts again now.
func (s *Service) handlePause(now time.Time) {
	s.log.Warn("this process was paused", "seconds", now.Sub(s.lastTickAt).Seconds())
	for _, c := range s.clients {
		c.lastReceivedAt = now
	}
	for _, h := range s.pools {
		h.pool.RestartAnnouncementWait(now)
	}
}

// spawn runs fn in the background. Stop waits for it. The caller holds the mutex.
func (s *Service) spawn(fn func()) {
	if !s.stopped {
		s.tasks.Go(fn)
	}
}

// Stats returns the current counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.PendingRequests, stats.Leases = len(s.requests), len(s.leases)
	stats.Pools = map[string]sched.Stats{}
	for name, h := range s.pools {
		stats.Pools[name] = h.pool.Stats()
	}
	return stats
}

// rankedInstances returns the alive instances of a data centre in the rendezvous order
// for a key. If the key is a pool, the first one is its broker.
func (s *Service) rankedInstances(key, dataCentre string) []membership.Member {
	return membership.RankByHash(key+"@"+dataCentre, aliveMembers(dataCentre, s.view.Members()))
}

func aliveMembers(dataCentre string, members []membership.Member) []membership.Member {
	return slices.DeleteFunc(membership.InDataCentre(dataCentre, members),
		func(m membership.Member) bool { return m.State != membership.Alive })
}

// topRanked returns the instance of this data centre that is ranked first for a key as of
// the last tick, or "" if there is none. If the key is a pool, it is the broker.
func (s *Service) topRanked(key string) string {
	dataCentre := s.view.Self().DataCentre
	if s.localMembers == nil {
		s.localMembers = aliveMembers(dataCentre, s.view.Members())
	}
	if ranked := membership.RankByHash(key+"@"+dataCentre, s.localMembers); len(ranked) > 0 {
		return ranked[0].ID
	}
	return ""
}

// isBroker reports whether this instance is the broker of a pool.
func (s *Service) isBroker(pool string) bool { return s.topRanked(pool) == s.view.Self().ID }
