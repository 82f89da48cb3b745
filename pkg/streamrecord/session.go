package streamrecord

import (
	"context"
	"errors"
	"time"

	"github.com/geraniumpitch/geraniumpitch/pkg/membership"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
	"google.golang.org/protobuf/proto"
)

// maxBatch bounds the streams and maxBatchBytes the size of one batch, except
// for a batch of one stream. A drpc message above 4 MiB ends the connection.
const (
	maxBatch      = 512
	maxBatchBytes = 1 << 20
)

// session carries the appends of all streams with one holder. Its fields are
// guarded by the mutex of the service.
type session struct {
	service *Service
	member  membership.Member
	ctx     context.Context
	cancel  context.CancelFunc

	streams map[*Stream]struct{}
	queue   []*Stream
	wake    chan struct{}

	sequence uint64
	flights  []flight
	acked    bool
}

// flight is a batch that was sent and not acknowledged.
type flight struct {
	sequence uint64
	at       time.Time
	items    []item
}

type item struct {
	stream *Stream
	upTo   int
	end    bool
}

func newSession(s *Service, m membership.Member) *session {
	c := &session{
		service: s, member: m, streams: map[*Stream]struct{}{}, wake: make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// enqueue makes the next batch carry what the holder lacks of a stream.
func (c *session) enqueue(st *Stream) {
	if st.queued {
		return
	}
	st.queued = true
	c.queue = append(c.queue, st)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run keeps a connection to the holder. When connections fail in a row, the
// streams move to other holders.
func (c *session) run() {
	defer c.cancel()
	for failures := 0; failures < connectTries; failures++ {
		err := c.connect()
		if c.ctx.Err() != nil {
			return
		}
		c.service.mu.Lock()
		if c.acked {
			failures = 0
		}
		c.restart()
		c.service.mu.Unlock()
		c.service.dialer.Drop(c.member.PeerAddress)
		var dial *rpc.DialError
		if errors.As(err, &dial) {
			break
		}
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.abandon()
}

// abandon moves all streams to other holders and ends the session.
func (c *session) abandon() {
	s := c.service
	if s.sessions[c.member.ID] != c {
		return
	}
	c.cancel()
	delete(s.sessions, c.member.ID)
	s.failed[c.member.ID] = time.Now().Add(probeEvery)
	streams := c.streams
	c.streams, c.queue, c.flights = nil, nil, nil
	if len(streams) > 0 {
		s.log.Info("holder lost, streams move", "holder", c.member.ID, "streams", len(streams))
	}
	// Running streams first: callers wait for them.
	for _, finished := range []bool{false, true} {
		for st := range streams {
			if r, ok := s.store.Get(st.name); ok && r.Finished == finished {
				s.moves.Add(s.ctx, 1)
				s.assign(st)
			}
		}
	}
}

// restart queues everything that was not acknowledged for the next connection.
func (c *session) restart() {
	c.flights, c.queue, c.acked = nil, nil, false
	for st := range c.streams {
		st.queued, st.opened = false, false
		if r, ok := c.service.store.Get(st.name); ok && st.copied(r) {
			continue
		}
		c.enqueue(st)
	}
}

// copied reports whether the record is finished and a holder has all of it.
func (st *Stream) copied(r *Record) bool {
	return st.heldEnd && r.Finished && st.held == len(r.Tokens)
}

// connect sends batches on one connection until it fails or goes silent.
func (c *session) connect() error {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream, err := wire.NewDRPCReplicaClient(c.service.dialer.Conn(c.member.PeerAddress)).Session(ctx)
	if err != nil {
		return err
	}
	go c.receive(stream, cancel)
	go c.watchdog(ctx, cancel)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		for batch := c.next(); batch != nil; batch = c.next() {
			if err := stream.Send(batch); err != nil {
				return err
			}
		}
	}
}

// watchdog ends a connection whose oldest batch is not acknowledged in time.
func (c *session) watchdog(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(ackTimeout / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.service.mu.Lock()
			silent := len(c.flights) > 0 && now.Sub(c.flights[0].at) > ackTimeout
			c.service.mu.Unlock()
			if silent {
				cancel()
				return
			}
		}
	}
}

// next builds the next batch, or returns nil.
func (c *session) next() *wire.ReplicaBatch {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	n := min(len(c.queue), maxBatch)
	if n == 0 {
		return nil
	}
	now := time.Now()
	c.sequence++
	batch := &wire.ReplicaBatch{
		Sequence: c.sequence, Owner: c.service.store.self, Appends: make([]*wire.ReplicaAppend, 0, n),
	}
	f := flight{sequence: c.sequence, at: now, items: make([]item, 0, n)}
	var size int64
	for i, st := range c.queue[:n] {
		if st.target != c {
			continue
		}
		r, ok := c.service.store.Get(st.name)
		if !ok || st.err != nil {
			st.queued = false
			continue
		}
		a := st.delta(r)
		size += int64(proto.Size(a))
		if size > maxBatchBytes && len(f.items) > 0 {
			n = i
			break
		}
		st.queued = false
		batch.Appends = append(batch.Appends, a)
		st.opened, st.sent, st.sentAt, st.sentEngine = true, len(r.Tokens), now, r.Engine
		f.items = append(f.items, item{stream: st, upTo: st.sent, end: r.Finished})
	}
	c.queue = c.queue[n:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.flights = append(c.flights, f)
	return batch
}

// delta returns what the holder was not sent yet.
func (st *Stream) delta(r *Record) *wire.ReplicaAppend {
	if !st.opened {
		return &wire.ReplicaAppend{Stream: st.name, Epoch: st.term.Epoch, Open: recordToWire(r)}
	}
	a := &wire.ReplicaAppend{
		Stream: st.name, Epoch: st.term.Epoch, Position: uint64(st.sent), Tokens: r.Tokens[st.sent:],
		Finished: r.Finished, FinishReason: r.FinishReason,
	}
	if r.Engine != st.sentEngine {
		a.EngineAddress, a.EngineStream, a.Attempt = r.Engine.Address, r.Engine.Stream, r.Engine.Attempt
	}
	return a
}

// receive takes acknowledgements until the connection fails.
func (c *session) receive(stream wire.DRPCReplica_SessionClient, cancel context.CancelFunc) {
	defer cancel()
	for {
		ack, err := stream.Recv()
		if err != nil {
			return
		}
		c.service.mu.Lock()
		c.acknowledge(ack)
		c.service.mu.Unlock()
	}
}

func (c *session) acknowledge(ack *wire.ReplicaAck) {
	rejects := map[string]Reason{}
	for _, r := range ack.GetRejects() {
		rejects[r.GetStream()] = Reason(r.GetReason())
	}
	c.service.answered(c.member.ID)
	for len(c.flights) > 0 && c.flights[0].sequence <= ack.GetSequence() {
		at := c.flights[0].at
		for _, i := range c.flights[0].items {
			if i.stream.target != c {
				continue
			}
			if reason, rejected := rejects[i.stream.name]; rejected {
				c.reject(i.stream, reason)
				continue
			}
			i.stream.confirm(at)
			i.stream.hold(i.upTo, i.end)
		}
		c.flights = c.flights[1:]
		c.acked = true
	}
}

// reject reacts to a refusal by the holder.
func (c *session) reject(st *Stream, reason Reason) {
	switch reason {
	case StaleEpoch:
		st.lose()
	case Full:
		delete(c.streams, st)
		st.refusedBy, st.refusedUntil = c.member.ID, time.Now().Add(avoidFull)
		c.service.moves.Add(c.service.ctx, 1)
		c.service.assign(st)
	default:
		st.opened = false
		c.enqueue(st)
	}
}
