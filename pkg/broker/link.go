package broker

import (
	"context"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

// linkIdle is how long a session without requests and leases is kept open.
const linkIdle = time.Minute

// reopenDelay is the pause after a session failed.
const reopenDelay = 50 * time.Millisecond

// link is the client side of the session with one broker. Its fields are
// guarded by the mutex of the service.
type link struct {
	service *Service
	broker  string
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	// out is the queue of the open session; nothing is sent while none is open,
	// because a new session begins with everything that is current.
	out   *outbox[*wire.BrokerRequest]
	heard time.Time
	used  time.Time
}

// linkTo returns the session with a broker, opened on first use.
func (s *Service) linkTo(broker, address string) *link {
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
	l := &link{service: s, broker: broker, address: address, used: time.Now()}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	s.links[broker] = l
	s.spawn(l.run)
	return l
}

func (l *link) send(m *wire.BrokerRequest) {
	l.used = time.Now()
	if l.out != nil {
		l.out.push(m)
	}
}

// run keeps a session open until the link is cancelled.
func (l *link) run() {
	s := l.service
	for l.ctx.Err() == nil {
		l.session()
		s.dialer.Drop(l.address)
		s.mu.Lock()
		l.out = nil
		s.unanswered(l.broker)
		if l.ctx.Err() == nil {
			s.stats.Reopened++
		}
		s.mu.Unlock()
		select {
		case <-l.ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// session runs one session until it fails or goes silent.
func (l *link) session() {
	s := l.service
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	opening := time.AfterFunc(silenceLimit, cancel)
	stream, err := wire.NewDRPCBrokerClient(s.dialer.Conn(l.address)).Session(ctx)
	opening.Stop()
	if err != nil {
		return
	}
	s.mu.Lock()
	out := newOutbox[*wire.BrokerRequest]()
	l.heard = time.Now()
	l.out = &out
	out.push(&wire.BrokerRequest{Instance: s.process})
	s.repeat(l)
	out.push(&wire.BrokerRequest{Synced: true})
	s.mu.Unlock()
	go l.write(ctx, cancel, stream, out)
	go l.watch(ctx, cancel)
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		s.mu.Lock()
		l.heard = time.Now()
		if r.Id != 0 {
			s.receive(l.broker, r)
		}
		s.mu.Unlock()
	}
}

func (l *link) write(ctx context.Context, cancel context.CancelFunc, stream wire.DRPCBroker_SessionClient, out outbox[*wire.BrokerRequest]) {
	defer cancel()
	for {
		for _, m := range out.take() {
			if stream.Send(m) != nil {
				return
			}
		}
		if !out.wait(ctx) {
			return
		}
	}
}

// watch sends heartbeats and ends a silent session.
func (l *link) watch(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			l.service.mu.Lock()
			silent := now.Sub(l.heard) > silenceLimit
			if !silent && l.out != nil {
				l.out.push(&wire.BrokerRequest{})
			}
			l.service.mu.Unlock()
			if silent {
				return
			}
		}
	}
}

// repeat sends the leases and waiting requests that belong to a broker.
func (s *Service) repeat(l *link) {
	for _, e := range s.leases {
		if e.broker == l.broker {
			l.send(e.hold())
		}
	}
	for _, c := range s.calls {
		if c.broker == l.broker {
			l.send(c.message())
		}
	}
}

// closeLinks ends sessions that are not needed.
func (s *Service) closeLinks(now time.Time) {
	for broker, l := range s.links {
		_, known := s.view.Member(broker)
		if known && now.Sub(l.used) <= linkIdle || s.needed(broker) {
			continue
		}
		l.cancel()
		delete(s.links, broker)
	}
}

func (s *Service) needed(broker string) bool {
	for _, e := range s.leases {
		if e.broker == broker {
			return true
		}
	}
	for _, c := range s.calls {
		if c.broker == broker {
			return true
		}
	}
	return false
}
