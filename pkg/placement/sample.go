package placement

const (
	// sampleAll is the number of servers up to which all are looked at.
	sampleAll = 64
	// sampleSize is the number of servers that are looked at in larger pools, and
	// sampleLocal how many of them are of the own data centre. The best of a few
	// dozen is close to the best of all, and gateways choose different ones.
	sampleSize  = 48
	sampleLocal = 24
)

// list holds servers for random access.
type list struct {
	servers []*Server
	// place returns where a server notes its place.
	place func(*Server) *int
}

func (l *list) add(s *Server) {
	*l.place(s) = len(l.servers)
	l.servers = append(l.servers, s)
}

func (l *list) remove(s *Server) {
	i, last := *l.place(s), len(l.servers)-1
	l.servers[i] = l.servers[last]
	*l.place(l.servers[i]) = i
	l.servers[last] = nil
	l.servers = l.servers[:last]
}

// put adds a server, in place of the one with its identifier.
func (p *Pool) put(s *Server) {
	p.Remove(s.ID)
	p.servers[s.ID] = s
	p.all.add(s)
	if s.DataCentre == p.dataCentre {
		p.local.add(s)
	}
}

// Remove forgets a server that lapsed.
func (p *Pool) Remove(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	delete(p.servers, id)
	p.all.remove(s)
	if s.DataCentre == p.dataCentre {
		p.local.remove(s)
	}
}

// sample returns the servers that a decision looks at: all of a small pool, and some
// of a large one, so that a decision costs the same with 24 and with 11,000 servers.
func (p *Pool) sample() []*Server {
	if len(p.all.servers) <= sampleAll {
		return p.all.servers
	}
	chosen := make([]*Server, 0, sampleSize)
	seen := make(map[*Server]bool, sampleSize)
	draw := func(from []*Server, n int) {
		for range n {
			if s := from[p.rand.IntN(len(from))]; !seen[s] {
				seen[s] = true
				chosen = append(chosen, s)
			}
		}
	}
	if len(p.local.servers) > 0 {
		draw(p.local.servers, sampleLocal)
	}
	draw(p.all.servers, sampleSize-sampleLocal)
	return chosen
}
