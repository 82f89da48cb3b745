package placement

import (
	"maps"
	"time"
)

const (
	// maxUnsampledServers is the size of the largest pool of which all servers are considered.
	maxUnsampledServers = 64
	// sampleSize is the number of servers drawn from a larger pool, and localSampleSize the
	// number of them drawn from the gateway's data centre. The best of a few dozen servers is
	// close to the best of all, and gateways select different ones.
	sampleSize      = 48
	localSampleSize = 24
)

// serverList supports adding, removing and drawing a random server in constant time.
type serverList struct {
	servers []*Server
	// index returns the field in which a server stores its position in this list.
	index func(*Server) *int
}

func (l *serverList) add(s *Server) {
	*l.index(s) = len(l.servers)
	l.servers = append(l.servers, s)
}

func (l *serverList) remove(s *Server) {
	i, last := *l.index(s), len(l.servers)-1
	l.servers[i] = l.servers[last]
	*l.index(l.servers[i]) = i
	l.servers[last] = nil
	l.servers = l.servers[:last]
}

// insert adds a server and replaces one with the same ID.
func (p *Pool) insert(s *Server) {
	p.delete(p.servers[s.ID])
	p.servers[s.ID] = s
	s.machines = &p.machines
	p.all.add(s)
	p.addVersion(s)
	if s.DataCentre == p.dataCentre {
		p.local.add(s)
	}
}

// Remove removes a server that expired or ended.
func (p *Pool) Remove(id string, now time.Time) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.delete(s)
	maps.DeleteFunc(p.removed, func(_ string, state *processState) bool { return now.Sub(state.removedAt) > removedTTL })
	if !s.processState.isEmpty() {
		s.removedAt = now
		p.removed[id] = s.processState
	}
}

// delete removes a server, if it is not nil, from the maps and lists of the pool.
func (p *Pool) delete(s *Server) {
	if s == nil {
		return
	}
	delete(p.servers, s.ID)
	p.all.remove(s)
	p.removeVersion(s)
	if s.DataCentre == p.dataCentre {
		p.local.remove(s)
	}
}

// candidateSample returns the servers that a decision considers, of the version that selections are
// restricted to: all servers of a small pool, or a random sample of a large one, so that the cost of a decision does not grow with the pool, for
// example from 24 to 11,000 servers.
func (p *Pool) candidateSample() []*Server {
	all, local := p.selectable()
	if len(all) <= maxUnsampledServers {
		return all
	}
	selected := make([]*Server, 0, sampleSize)
	seen := make(map[*Server]bool, sampleSize)
	drawFrom := func(from []*Server, n int) {
		for range n {
			if s := from[p.rand.IntN(len(from))]; !seen[s] {
				seen[s] = true
				selected = append(selected, s)
			}
		}
	}
	if len(local) > 0 {
		drawFrom(local, localSampleSize)
	}
	drawFrom(all, sampleSize-localSampleSize)
	return selected
}
