// Package placement makes a gateway's decisions on which backend server receives a request, and
// when requests are retried or rejected. It does no I/O: time and random numbers are passed in.
//
// Throughout the package, a server is unreachable if a request or a probe could not connect to it,
// or if it ended without an announcement. A data centre has an outage if several of its servers
// become unreachable within a short time. A server is avoided, that is selected only if there is no
// other one, while it is unreachable, during an outage of its data centre, and for a backoff after
// a failed connection attempt.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
	"github.com/geraniumpitch/geraniumpitch/pkg/pace"
)

const (
	// initialAvoidBackoff and maxAvoidBackoff bound how long a server is avoided after it could
	// not be reached. The initial value covers a restart of the server's listener; the maximum
	// covers a partition, after which the server must be found again quickly.
	initialAvoidBackoff = 200 * time.Millisecond
	maxAvoidBackoff     = 1600 * time.Millisecond
	// callLoadTTL is the maximum age of a load report that is used to choose a server for a call.
	// An older report does not include the requests that this gateway has sent since.
	callLoadTTL = 400 * time.Millisecond
	// remoteCallCost is the cost of another data centre, in requests: two network delays compared
	// with a usual run time of 15 ms.
	remoteCallCost = 0.4
	// failureWeight scales the cost of a server by its recent failure rate.
	failureWeight = 12
	// failureSmoothing is the weight of the latest outcome in the moving average of the failure
	// rate.
	failureSmoothing = 0.12
	// latencySmoothing is the weight of the latest sample in the moving average of the latency.
	latencySmoothing = 0.2
	// latencyTTL is how long an estimate of the latency counts without a new sample. A server that
	// is not selected because it was slow gets no sample that shows that it no longer is.
	latencyTTL = 5 * time.Second
	// warmUpCost is the cost, in requests, of a server that is still slow after its start.
	warmUpCost = 2.0
)

// LoadReport is the load that a backend server reported.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the machine at this moment, relative to the usual: 1 is usual,
	// 2 is half the speed, and 0 is unknown.
	Slowdown float64
}

// Server holds the announcement of a backend server and the state that this gateway keeps for it.
type Server struct {
	directory.Server
	// Inflight is the number of this gateway's requests in flight at the server.
	Inflight int
	// RunTokens is the memory of this gateway's runs on the server, and CopyTokens the memory of
	// the copies that the server stores for them, in tokens.
	RunTokens, CopyTokens int
	// Prefilling is the number of this gateway's runs that have not produced an event yet.
	Prefilling int

	lastLoad       LoadReport
	loadReportedAt time.Time
	failureRate    float64
	// latencyMS is the moving average of the latency, 0 without samples, and latencySampledAt the time of
	// the last one.
	latencyMS        float64
	latencySampledAt time.Time
	avoidBackoff     time.Duration
	avoidedUntil     time.Time
	// peerRuns are the runs and copies that other gateways placed on the server.
	peerRuns []peerRun
	// prefillStarts are the times at which prompts were sent to the server for prefill.
	prefillStarts []time.Time
	firstSeenAt   time.Time
	// lastAliveAt is the last time that a response, a load report or a successful probe came from
	// the server. lastUnreachableAt is the last time that it was found to be unreachable.
	lastAliveAt, lastUnreachableAt time.Time
	// nextProbeAt is the earliest time of the next probe, and probeBackoff its delay after the
	// latest one.
	nextProbeAt  time.Time
	probeBackoff time.Duration
	// allIndex and localIndex are the positions in Pool.all and Pool.local.
	allIndex, localIndex int
	// versionIndex and versionLocalIndex are the positions in the group of the server's version.
	versionIndex, versionLocalIndex int
	// claimDrawnAt is when it was drawn whether this gateway may claim a place, and claimable the result.
	claimDrawnAt time.Time
	claimable    bool
	// copyBackoffUntil is the time from which copies may be sent to the server again.
	copyBackoffUntil time.Time
	callDuration     callDuration
	*processState
}

// Pool holds the backend servers of one service. It is not safe for concurrent use.
type Pool struct {
	dataCentre string
	rand       *rand.Rand
	servers    map[string]*Server
	// removed holds the states of processes whose servers were removed, by the ID of the server.
	removed map[string]*processState
	// all contains every server and local those of the gateway's data centre. They allow sampling
	// in constant time.
	all, local serverList
	// unreachableTimes holds, by data centre, the latest times at which a server became
	// unreachable.
	unreachableTimes map[string][]time.Time
	// lastUnreachableAt is the latest time at which any server was found to be unreachable.
	lastUnreachableAt time.Time
	demand            ServiceDemand
	// lastLimitAt is the latest time at which a limit of any server was recorded, and lastPauseEnd the
	// latest end of a pause.
	lastLimitAt, lastPauseEnd time.Time
	versions                  versionState
	callCapacity              capacityCache
	// engines is what is usual for the speed of the service's engines, and machines what is known of where they run.
	engines  pace.Engines
	machines machines
	// paceSamples are the samples of the pace of engines that other gateways have not received.
	paceSamples pace.Pending
}

// NewPool returns an empty pool for a gateway in dataCentre.
func NewPool(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{
		dataCentre: dataCentre, rand: random, servers: map[string]*Server{}, removed: map[string]*processState{},
		unreachableTimes: map[string][]time.Time{},
		all:              serverList{index: func(s *Server) *int { return &s.allIndex }},
		local:            serverList{index: func(s *Server) *int { return &s.localIndex }},
	}
}

// Update applies an announcement. It reports whether the set of servers that accept work changed.
// A restarted server keeps only its number of requests in flight.
func (p *Pool) Update(s directory.Server, now time.Time) bool {
	current := p.servers[s.ID]
	if current == nil {
		if s.State == directory.Gone {
			return false
		}
		p.insert(&Server{Server: s, firstSeenAt: now, processState: p.takeRemoved(s)})
		return true
	}
	changed := current.State != s.State || current.StartedMS != s.StartedMS || current.Address != s.Address || current.Version != s.Version
	if current.StartedMS != s.StartedMS {
		p.insert(&Server{Server: s, firstSeenAt: now, Inflight: current.Inflight, processState: &processState{startedMS: s.StartedMS}})
		return true
	}
	if changed {
		p.versions.readyKnown = false
	}
	if current.DataCentre != s.DataCentre || current.Version != s.Version {
		p.delete(current)
		current.Server = s
		p.insert(current)
	}
	current.Server = s
	if s.State == directory.Gone && current.Inflight == 0 {
		p.Remove(s.ID, now)
	}
	return changed
}

// Len returns the number of servers in the pool.
func (p *Pool) Len() int { return len(p.servers) }

// CountReady returns the number of servers that accept work.
func (p *Pool) CountReady() (count int) {
	for _, s := range p.servers {
		if s.State == directory.Ready {
			count++
		}
	}
	return count
}

// Inflight returns the number of this gateway's requests in flight at all servers.
func (p *Pool) Inflight() (total int) {
	for _, s := range p.servers {
		total += s.Inflight
	}
	return total
}

// Get returns the server with the given ID, or nil if it is not in the pool.
func (p *Pool) Get(id string) *Server { return p.servers[id] }

// acceptsWork reports whether a server accepts requests of this gateway, a pause and its limit aside.
func (p *Pool) acceptsWork(s *Server, exclude []string) bool {
	return s.State == directory.Ready && !s.leaving && p.allowsVersion(s) && !slices.Contains(exclude, s.ID)
}

// isSelectable reports whether a request may be sent to a server.
func (p *Pool) isSelectable(s *Server, now time.Time, exclude []string) bool {
	return p.acceptsWork(s, exclude) && !s.isPaused(now) && p.isWithinLimit(s, now)
}

// candidates returns the selectable servers. It returns avoided servers only if there are no others.
func (p *Pool) candidates(now time.Time, exclude []string) []*Server {
	return p.preferHealthy(now, func(s *Server) bool { return p.isSelectable(s, now, exclude) })
}

// preferHealthy returns the servers that are eligible and not avoided, or the avoided ones if there are
// no others.
func (p *Pool) preferHealthy(now time.Time, isEligible func(*Server) bool) []*Server {
	var healthy, avoided []*Server
	for _, s := range p.candidateSample() {
		if !isEligible(s) {
			continue
		}
		if p.isAvoided(s, now) {
			avoided = append(avoided, s)
		} else {
			healthy = append(healthy, s)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	return avoided
}

// SelectForCall selects the server for a call of a plain service: the least loaded one, preferably
// in this data centre. Servers that fail or are slow cost more even if their health checks succeed.
// It returns nil if no server is available.
func (p *Pool) SelectForCall(now time.Time, exclude []string) *Server {
	candidates := p.candidates(now, exclude)
	usualLog, known := usualServiceLog(candidates, now)
	return p.selectCheapest(candidates, func(s *Server) float64 { return p.callCost(s, now, usualLog, known) })
}

func (p *Pool) callCost(s *Server, now time.Time, usualLog float64, known bool) float64 {
	openRequests := float64(s.Inflight)
	if now.Sub(s.loadReportedAt) < callLoadTTL {
		openRequests = max(openRequests, float64(s.lastLoad.Running+s.lastLoad.Waiting))
	}
	cost := 1 + openRequests
	if s.DataCentre != p.dataCentre {
		cost += remoteCallCost
	}
	if s.WarmingMS > 0 && now.Sub(s.firstSeenAt) < time.Duration(s.WarmingMS)*time.Millisecond {
		cost += warmUpCost
	}
	if slots := s.calls.Limit(s.Slots); slots > 0 && openRequests >= float64(slots) {
		cost *= 2
	}
	cost *= s.expectedLatency(usualLog, known, now)
	return cost * (1 + failureWeight*s.failureRate)
}

func (p *Pool) selectCheapest(servers []*Server, cost func(*Server) float64) *Server {
	// A fixed order makes the choice reproducible for a given seed.
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	var selected *Server
	lowest, ties := 0.0, 0
	for _, s := range servers {
		serverCost := cost(s)
		switch {
		case selected == nil || serverCost < lowest:
			selected, lowest, ties = s, serverCost, 1
		case serverCost == lowest:
			ties++
			if p.rand.IntN(ties) == 0 {
				selected = s
			}
		}
	}
	return selected
}

// RecordRequestStart records that a request is sent to a server.
func (p *Pool) RecordRequestStart(id string) {
	if s := p.servers[id]; s != nil {
		s.Inflight++
	}
}

// RecordSend records that a request is sent to a server at now, which counts towards its limit.
func (p *Pool) RecordSend(id string, now time.Time) {
	if s := p.servers[id]; s != nil && s.limit != nil {
		s.limit.recordSend(now, 1)
	}
}

// RecordNotSent records that the request recorded for sentAt was not sent.
func (p *Pool) RecordNotSent(id string, sentAt time.Time) {
	if s := p.servers[id]; s != nil && s.limit != nil {
		s.limit.recordSend(sentAt, -1)
	}
}

// RecordRequestEnd records that a request at a server ended.
func (p *Pool) RecordRequestEnd(id string, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.Inflight = max(0, s.Inflight-1)
	if s.State == directory.Gone && s.Inflight == 0 {
		p.Remove(id, now)
	}
}

// RecordLoad records a load report of a server.
func (p *Pool) RecordLoad(id string, l LoadReport, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.lastLoad, s.loadReportedAt, s.lastAliveAt = l, now, now
		if l.Slowdown > 0 {
			s.callPace().RecordFigure(l.Slowdown, now)
			p.machines.slowdownReportedAt = now
		}
	}
}

// RecordSuccess records a successful response and its duration.
func (p *Pool) RecordSuccess(id string, duration time.Duration, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.failureRate *= 1 - failureSmoothing
	s.avoidBackoff = 0
	s.lastAliveAt = now
	s.recordCallDuration(duration, now)
	ms := float64(duration) / float64(time.Millisecond)
	if now.Sub(s.latencySampledAt) >= latencyTTL {
		s.latencyMS = ms
	}
	s.latencyMS += latencySmoothing * (ms - s.latencyMS)
	var load pace.Load
	if now.Sub(s.loadReportedAt) <= duration {
		load = pace.Load{Running: s.lastLoad.Running, Waiting: s.lastLoad.Waiting, Slots: s.lastLoad.Slots, Slowdown: s.lastLoad.Slowdown}
	}
	s.callPace().RecordLatency(duration, load, now)
	s.latencySampledAt = now
}

// RecordFailure records a response that reports an error, is incomplete or never came.
func (p *Pool) RecordFailure(id string) {
	if s := p.servers[id]; s != nil {
		s.failureRate += failureSmoothing * (1 - s.failureRate)
	}
}
