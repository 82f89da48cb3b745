package broker

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// peer is an entry instance that is a client of this broker. It is kept across sessions
// until it is silent for instanceLossTimeout.
type peer struct {
	processID string
	// currentSession is the number of the latest session; messages of older ones are
	// rejected.
	currentSession uint64
	cancelSession  context.CancelFunc
	lastReceivedAt time.Time
	outbox         outbox[*wire.BrokerReply]
	// unconfirmed holds the requests that the current session has not resent yet. It is
	// nil once the session is synced.
	unconfirmed map[sched.Key]*hostedPool
}

func (p *peer) send(r *wire.BrokerReply) { p.outbox.push(r) }

// endpoint implements the RPC service that other instances call.
type endpoint struct{ service *Service }

// Session implements wire.DRPCBrokerServer.
func (e endpoint) Session(stream wire.DRPCBroker_SessionStream) error {
	s := e.service
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Instance == "" {
		return eris.New("first message of a session has no instance")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	p, session, out := s.openSession(first.Instance, cancel)
	go func() {
		defer cancel()
		for {
			for _, r := range out.takeAll() {
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
		if !s.handleMessage(p, session, m) {
			return eris.New("session was replaced by a newer one")
		}
	}
}

// openSession starts a new session of an instance and ends the previous one.
func (s *Service) openSession(processID string, cancelSession context.CancelFunc) (*peer, uint64, outbox[*wire.BrokerReply]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[processID]
	if p == nil {
		p = &peer{processID: processID}
		s.peers[processID] = p
	} else {
		p.cancelSession()
	}
	p.currentSession++
	p.outbox = newOutbox[*wire.BrokerReply]()
	p.cancelSession, p.lastReceivedAt, p.unconfirmed = cancelSession, time.Now(), map[sched.Key]*hostedPool{}
	for _, h := range s.pools {
		for _, k := range h.pool.InstanceKeys(processID) {
			p.unconfirmed[k] = h
		}
	}
	return p, p.currentSession, p.outbox
}

// handleMessage handles a message and reports whether its session is still the current
// one.
func (s *Service) handleMessage(p *peer, session uint64, m *wire.BrokerRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.currentSession != session || s.peers[p.processID] != p {
		return false
	}
	now := time.Now()
	p.lastReceivedAt = now
	switch {
	case m.Synced:
		for k, h := range p.unconfirmed {
			s.sendDecisions(h.pool.Cancel(now, k))
		}
		p.unconfirmed = nil
	case len(m.Announcements) > 0:
		s.applyAnnouncements(m.Announcements)
	case m.Id == 0:
		p.send(&wire.BrokerReply{})
	default:
		delete(p.unconfirmed, sched.Key{Instance: p.processID, Number: m.Id})
		s.handleRequest(now, p.processID, m)
	}
	return true
}

// tickPeers drops the requests and grants of lost entry instances.
func (s *Service) tickPeers(now time.Time) {
	for processID, p := range s.peers {
		if now.Sub(p.lastReceivedAt) <= instanceLossTimeout {
			continue
		}
		p.cancelSession()
		delete(s.peers, processID)
		dropped := 0
		for _, h := range s.pools {
			dropped += len(h.pool.InstanceKeys(processID))
			s.sendDecisions(h.pool.DropInstance(now, processID))
		}
		if dropped > 0 {
			s.stats.ReclaimedInstances++
			s.log.Info("entry instance lost, its requests are dropped", "process", processID, "requests", dropped)
		}
	}
}
