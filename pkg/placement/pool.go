// Package placement decides at a gateway which backend server gets a request,
// when a request is sent once more and when it is refused. It is pure: time and
// random numbers are arguments. Each decision names the load pattern that it
// answers.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/directory"
)

const (
	// firstPenalty and longestPenalty bound the time for which a server that
	// could not be reached is passed over. The first covers a restart of its
	// listener, the longest a partition, after which it must be found again.
	firstPenalty   = 200 * time.Millisecond
	longestPenalty = 1600 * time.Millisecond
	// loadLife is how long a reported load is used; it is older than the
	// requests that this gateway sent since.
	loadLife = 400 * time.Millisecond
	// remoteCost is the price of another data centre in requests: two network
	// delays against a usual run time of 15 ms.
	remoteCost = 0.4
	// failureWeight scales the cost of a server by its recent share of failures.
	failureWeight = 12
	// failureMemory is the weight of the newest outcome in the share of failures.
	failureMemory = 0.12
	// slowFactor is the ratio to the median run time from which on a server is slow.
	slowFactor = 2.5
	// latencyMemory is the weight of the newest run time in the average.
	latencyMemory = 0.2
	// warmCost is the price of a server that is slow after its start, in requests.
	warmCost = 2.0
)

// Load is what a backend server told about itself.
type Load struct {
	Running, Waiting, Slots int
}

// Server is a candidate and what this gateway knows of it.
type Server struct {
	directory.Server
	// Inflight counts this gateway's requests there.
	Inflight int
	// Tokens is the memory of this gateway's runs there, and Copies the memory
	// of copies that it keeps there, in tokens.
	Tokens, Copies int
	// Reading counts this gateway's runs whose first event has not come.
	Reading int

	load       Load
	loadAt     time.Time
	failures   float64
	latency    float64
	penalty    time.Duration
	avoidUntil time.Time
	// elsewhere are the runs that other gateways placed here, copies included.
	elsewhere []elsewhere
	// readings are the times at which prompts were placed here.
	readings  []time.Time
	firstSeen time.Time
	// lastAnswer is when the server showed a sign of life, lostAt when it could
	// not be reached last.
	lastAnswer, lostAt time.Time
	// probeAt is when the server may be probed next, probeWait the wait before it.
	probeAt   time.Time
	probeWait time.Duration
	// inAll and inLocal are the places in the lists of the pool.
	inAll, inLocal int
	// noCopiesUntil is when a copy may be sent here again.
	noCopiesUntil time.Time
}

// Pool holds the candidates of one service. It is not safe for concurrent use.
type Pool struct {
	dataCentre string
	rand       *rand.Rand
	servers    map[string]*Server
	// all are the servers, local those of this data centre, for samples.
	all, local list
	// losses are the servers that were lost last, by data centre.
	losses map[string][]time.Time
	// lastLoss is when any server was lost last.
	lastLoss time.Time
}

// NewPool returns an empty pool for a gateway in a data centre.
func NewPool(dataCentre string, random *rand.Rand) *Pool {
	return &Pool{
		dataCentre: dataCentre, rand: random, servers: map[string]*Server{}, losses: map[string][]time.Time{},
		all:   list{place: func(s *Server) *int { return &s.inAll }},
		local: list{place: func(s *Server) *int { return &s.inLocal }},
	}
}

// Update takes an announcement. It returns true if the set of servers that take
// work changed. A server that started again loses what was known of it.
func (p *Pool) Update(s directory.Server, now time.Time) bool {
	old := p.servers[s.ID]
	if old == nil {
		if s.State == directory.Gone {
			return false
		}
		p.put(&Server{Server: s, firstSeen: now})
		return true
	}
	changed := old.State != s.State || old.StartedMS != s.StartedMS || old.Address != s.Address
	if old.StartedMS != s.StartedMS {
		p.put(&Server{Server: s, firstSeen: now, Inflight: old.Inflight})
		return true
	}
	moved := old.DataCentre != s.DataCentre
	if moved {
		p.Remove(s.ID)
	}
	old.Server = s
	switch {
	case s.State == directory.Gone && old.Inflight == 0:
		p.Remove(s.ID)
	case moved:
		p.put(old)
	}
	return changed
}

// Len returns the number of known servers.
func (p *Pool) Len() int { return len(p.servers) }

// Inflight returns the requests in flight at all servers.
func (p *Pool) Inflight() (open int) {
	for _, s := range p.servers {
		open += s.Inflight
	}
	return open
}

// Get returns a server, nil if it is unknown.
func (p *Pool) Get(id string) *Server { return p.servers[id] }

// ready returns the servers that take work, but for the excluded ones. Servers
// that could not be reached lately come back only if no other is left.
func (p *Pool) ready(now time.Time, exclude []string) []*Server {
	var sound, avoided []*Server
	for _, s := range p.sample() {
		if s.State != directory.Ready || slices.Contains(exclude, s.ID) {
			continue
		}
		if p.avoided(s, now) {
			avoided = append(avoided, s)
		} else {
			sound = append(sound, s)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return avoided
}

// Call chooses the server for a call of a plain service: the least loaded one,
// preferably in this data centre, away from servers that fail or are slow while
// their health check is good. It returns nil if there is none.
func (p *Pool) Call(now time.Time, exclude []string) *Server {
	candidates := p.ready(now, exclude)
	median := medianLatency(candidates)
	return p.cheapest(candidates, func(s *Server) float64 { return p.callCost(s, now, median) })
}

func (p *Pool) callCost(s *Server, now time.Time, median float64) float64 {
	load := float64(s.Inflight)
	if now.Sub(s.loadAt) < loadLife {
		load = max(load, float64(s.load.Running+s.load.Waiting))
	}
	cost := 1 + load
	if s.DataCentre != p.dataCentre {
		cost += remoteCost
	}
	if s.WarmingMS > 0 && now.Sub(s.firstSeen) < time.Duration(s.WarmingMS)*time.Millisecond {
		cost += warmCost
	}
	if slots := s.Slots; slots > 0 && load >= float64(slots) {
		cost *= 2
	}
	if median > 0 && s.latency > slowFactor*median {
		cost *= s.latency / median
	}
	return cost * (1 + failureWeight*s.failures)
}

func medianLatency(servers []*Server) float64 {
	var known []float64
	for _, s := range servers {
		if s.latency > 0 {
			known = append(known, s.latency)
		}
	}
	if len(known) < 2 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

func (p *Pool) cheapest(servers []*Server, cost func(*Server) float64) *Server {
	// A fixed order makes equal seeds give equal choices.
	slices.SortFunc(servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	var best *Server
	lowest, ties := 0.0, 0
	for _, s := range servers {
		c := cost(s)
		switch {
		case best == nil || c < lowest:
			best, lowest, ties = s, c, 1
		case c == lowest:
			ties++
			if p.rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

// Began notes a request that is sent to a server.
func (p *Pool) Began(id string) {
	if s := p.servers[id]; s != nil {
		s.Inflight++
	}
}

// Ended notes the end of a request.
func (p *Pool) Ended(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.Inflight = max(0, s.Inflight-1)
	if s.State == directory.Gone && s.Inflight == 0 {
		p.Remove(id)
	}
}

// Reported notes the load that a server told.
func (p *Pool) Reported(id string, l Load, now time.Time) {
	if s := p.servers[id]; s != nil {
		s.load, s.loadAt, s.lastAnswer = l, now, now
	}
}

// Succeeded notes an answer and how long it took.
func (p *Pool) Succeeded(id string, took time.Duration, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	s.failures *= 1 - failureMemory
	s.penalty = 0
	s.lastAnswer = now
	ms := float64(took) / float64(time.Millisecond)
	if s.latency == 0 {
		s.latency = ms
	}
	s.latency += latencyMemory * (ms - s.latency)
}

// Failed notes an answer that tells of a failure, or a broken or missing one.
func (p *Pool) Failed(id string) {
	if s := p.servers[id]; s != nil {
		s.failures += failureMemory * (1 - s.failures)
	}
}
