package broker

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/geraniumpitch/geraniumpitch/pkg/sched"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// client is an entry instance that is a client of this broker. It is kept across sessions
// until it is silent for instanceLossTimeout.
type client struct {
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

func (c *client) send(r *wire.BrokerReply) { c.outbox.push(r) }

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
	c, session, out := s.openSession(first.Instance, cancel)
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
		if !s.handleMessage(c, session, m) {
			return eris.New("session was replaced by a newer one")
		}
	}
}

// openSession starts a new session of an instance and ends the previous one.
func (s *Service) openSession(processID string, cancelSession context.CancelFunc) (*client, uint64, outbox[*wire.BrokerReply]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[processID]
	if c == nil {
		c = &client{processID: processID}
		s.clients[processID] = c
	} else {
		c.cancelSession()
	}
	c.currentSession++
	c.outbox = newOutbox[*wire.BrokerReply]()
	c.cancelSession, c.lastReceivedAt, c.unconfirmed = cancelSession, time.Now(), map[sched.Key]*hostedPool{}
	for _, h := range s.pools {
		for _, k := range h.pool.RequestKeys(processID) {
			c.unconfirmed[k] = h
		}
	}
	return c, c.currentSession, c.outbox
}

// handleMessage handles a message and reports whether its session is still the current
// one.
func (s *Service) handleMessage(c *client, session uint64, m *wire.BrokerRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.currentSession != session || s.clients[c.processID] != c {
		return false
	}
	now := time.Now()
	c.lastReceivedAt = now
	switch {
	case m.Synced:
		for k, h := range c.unconfirmed {
			s.sendDecisions(h.pool.Cancel(now, k))
		}
		c.unconfirmed = nil
	case len(m.Announcements) > 0:
		s.applyAnnouncements(m.Announcements)
	case m.Id == 0:
		c.send(&wire.BrokerReply{})
	default:
		delete(c.unconfirmed, sched.Key{ProcessID: c.processID, Number: m.Id})
		s.handleRequest(now, c.processID, m)
	}
	return true
}

// dropLostClients drops the requests and grants of lost entry instances.
func (s *Service) dropLostClients(now time.Time) {
	for processID, c := range s.clients {
		if now.Sub(c.lastReceivedAt) <= instanceLossTimeout {
			continue
		}
		c.cancelSession()
		delete(s.clients, processID)
		dropped := 0
		for _, h := range s.pools {
			dropped += len(h.pool.RequestKeys(processID))
			s.sendDecisions(h.pool.DropInstance(now, processID))
		}
		if dropped > 0 {
			s.stats.LostInstances++
			s.log.Info("entry instance lost, its requests are dropped", "process", processID, "requests", dropped)
		}
	}
}
