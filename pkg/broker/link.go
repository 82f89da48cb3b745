package broker

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// linkIdleTimeout is how long a link without requests and leases is kept open.
const linkIdleTimeout = time.Minute

// sessionRetryDelay is the delay between the failure of a session and the next one.
const sessionRetryDelay = 50 * time.Millisecond

// link is the client side of the sessions with one broker. Its fields are guarded by the
// mutex of the service.
type link struct {
	service  *Service
	brokerID string
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	// outbox is the queue of the open session, or nil. Messages are dropped while no
	// session is open, because a new session starts by sending the complete current
	// state.
	outbox         *outbox[*wire.BrokerRequest]
	lastReceivedAt time.Time
	lastUsedAt     time.Time
}

// openLink returns the link to a broker and opens it on first use.
func (s *Service) openLink(broker, address string) *link {
	if l := s.links[broker]; l != nil && (l.address == address || address == "") {
		return l
	} else if l != nil {
		l.cancel()
	}
	if address == "" {
		m, ok := s.view.Member(broker)
		if !ok {
			return nil
		}
		address = m.PeerAddress
	}
	l := &link{service: s, brokerID: broker, address: address, lastUsedAt: time.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.links[broker] = l
	s.spawn(l.run)
	return l
}

func (l *link) send(m *wire.BrokerRequest) {
	l.lastUsedAt = time.Now()
	if l.outbox != nil {
		l.outbox.push(m)
	}
}

// run reopens the session after each failure until the link is cancelled.
func (l *link) run() {
	s := l.service
	for l.ctx.Err() == nil {
		l.runSession()
		s.dialer.Invalidate(l.address)
		s.mu.Lock()
		l.outbox = nil
		s.markUnacknowledged(l.brokerID)
		if l.ctx.Err() == nil {
			s.stats.ReopenedSessions++
		}
		s.mu.Unlock()
		select {
		case <-l.ctx.Done():
		case <-time.After(sessionRetryDelay):
		}
	}
}

// runSession runs one session until it fails or the broker is silent for too long.
func (l *link) runSession() {
	s := l.service
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	openTimeout := time.AfterFunc(silenceTimeout, cancel)
	stream, err := wire.NewDRPCBrokerClient(s.dialer.Conn(l.address)).Session(ctx)
	openTimeout.Stop()
	if err != nil {
		return
	}
	s.mu.Lock()
	out := newOutbox[*wire.BrokerRequest]()
	l.lastReceivedAt = time.Now()
	l.outbox = &out
	out.push(&wire.BrokerRequest{Instance: s.processID})
	s.resendState(l)
	out.push(&wire.BrokerRequest{Synced: true})
	s.mu.Unlock()
	go l.writeMessages(ctx, cancel, stream, out)
	go l.sendHeartbeats(ctx, cancel)
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		s.mu.Lock()
		l.lastReceivedAt = time.Now()
		if r.Id != 0 {
			s.handleReply(l.brokerID, r)
		}
		s.mu.Unlock()
	}
}

func (l *link) writeMessages(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCBroker_SessionClient, out outbox[*wire.BrokerRequest]) {
	defer cancel()
	for {
		for _, m := range out.takeAll() {
			if stream.Send(m) != nil {
				return
			}
		}
		if !out.wait(ctx) {
			return
		}
	}
}

// sendHeartbeats sends heartbeats and ends the session if the broker is silent.
func (l *link) sendHeartbeats(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.service.mu.Lock()
			silent := now.Sub(l.lastReceivedAt) > silenceTimeout
			if !silent && l.outbox != nil {
				l.outbox.push(&wire.BrokerRequest{})
			}
			l.service.mu.Unlock()
			if silent {
				return
			}
		}
	}
}

// resendState sends the leases and pending requests that belong to the broker of a link.
func (s *Service) resendState(l *link) {
	for _, held := range s.leases {
		if held.brokerID == l.brokerID {
			l.send(held.registration())
		}
	}
	for _, p := range s.requests {
		if p.brokerID == l.brokerID {
			l.send(p.message())
		}
	}
}

// closeIdleLinks closes links to lost brokers and idle links, unless they are in use.
func (s *Service) closeIdleLinks(now time.Time) {
	for broker, l := range s.links {
		_, isMember := s.view.Member(broker)
		if isMember && now.Sub(l.lastUsedAt) <= linkIdleTimeout || s.isLinkNeeded(broker) {
			continue
		}
		l.cancel()
		delete(s.links, broker)
	}
}

func (s *Service) isLinkNeeded(broker string) bool {
	for _, held := range s.leases {
		if held.brokerID == broker {
			return true
		}
	}
	for _, p := range s.requests {
		if p.brokerID == broker {
			return true
		}
	}
	return false
}
