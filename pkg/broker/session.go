package broker

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// peer is an entry instance that asks this broker. It outlives its sessions,
// until it is silent for lostAfter.
type peer struct {
	name string
	// session counts the sessions; only the newest one is read from.
	session uint64
	end     context.CancelFunc
	heard   time.Time
	out     outbox[*wire.BrokerReply]
	// stale holds what a new session has not repeated yet; nil once it is synced.
	stale map[sched.Key]*hosted
}

func (p *peer) send(r *wire.BrokerReply) { p.out.push(r) }

// endpoint is the part of the service that other instances call.
type endpoint struct{ service *Service }

// Session implements wire.DRPCBrokerServer.
func (e endpoint) Session(stream wire.DRPCBroker_SessionStream) error {
	s := e.service
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Instance == "" {
		return eris.New("the first message of a session names no instance")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p, session, out := s.open(first.Instance, cancel)
	go func() {
		defer cancel()
		for {
			for _, r := range out.take() {
				if stream.Send(r) != nil {
					return
				}
			}
			if !out.wait(ctx) {
				return
			}
		}
	}()
	go func() {
		<-ctx.Done()
		_ = stream.Close()
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if !s.hear(p, session, m) {
			return eris.New("the session was replaced")
		}
	}
}

// open makes a new session the current one of its instance.
func (s *Service) open(name string, end context.CancelFunc) (*peer, uint64, outbox[*wire.BrokerReply]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[name]
	if p == nil {
		p = &peer{name: name}
		s.peers[name] = p
	} else {
		p.end()
	}
	p.session++
	p.out = newOutbox[*wire.BrokerReply]()
	p.end, p.heard, p.stale = end, time.Now(), map[sched.Key]*hosted{}
	for _, h := range s.pools {
		for _, k := range h.pool.InstanceKeys(name) {
			p.stale[k] = h
		}
	}
	return p, p.session, p.out
}

// hear takes in a message and reports whether the session is still the current one.
func (s *Service) hear(p *peer, session uint64, m *wire.BrokerRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.session != session || s.peers[p.name] != p {
		return false
	}
	now := time.Now()
	p.heard = now
	switch {
	case m.Synced:
		for k, h := range p.stale {
			s.deliver(h.pool.Cancel(now, k))
		}
		p.stale = nil
	case len(m.Announcements) > 0:
		s.takeIn(m.Announcements)
	case m.Id == 0:
		p.send(&wire.BrokerReply{})
	default:
		delete(p.stale, sched.Key{Instance: p.name, Number: m.Id})
		s.serve(now, p.name, m)
	}
	return true
}

// tickPeers takes back what lost entry instances hold.
func (s *Service) tickPeers(now time.Time) {
	for name, p := range s.peers {
		if now.Sub(p.heard) <= lostAfter {
			continue
		}
		p.end()
		delete(s.peers, name)
		held := 0
		for _, h := range s.pools {
			held += len(h.pool.InstanceKeys(name))
			s.deliver(h.pool.DropInstance(now, name))
		}
		if held > 0 {
			s.stats.Reclaimed++
			s.log.Info("entry instance lost, its requests are dropped", "process", name, "requests", held)
		}
	}
}
