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

// maxBatchStreams and maxBatchBytes limit the number of streams and the size of one
// batch. A batch of one stream may be larger. A drpc message above 4 MiB ends the
// connection.
const (
	maxBatchStreams = 512
	maxBatchBytes   = 1 << 20
)

// holderSession replicates all streams that share one holder. Its fields are guarded by
// the mutex of the service.
type holderSession struct {
	service *Service
	holder  membership.Member
	ctx     context.Context
	cancel  context.CancelFunc

	streams map[*Stream]struct{}
	queue   []*Stream
	wake    chan struct{}

	sequence uint64
	inFlight []sentBatch
	// hasAck is set when the current connection has delivered an acknowledgement.
	hasAck bool
}

// sentBatch is a batch that was sent but not yet acknowledged.
type sentBatch struct {
	sequence uint64
	sentAt   time.Time
	entries  []batchEntry
}

// batchEntry is what the holder has of one stream after it has applied the batch:
// the number of tokens, and whether the stream is finished.
type batchEntry struct {
	stream     *Stream
	tokenCount int
	finished   bool
}

func newHolderSession(s *Service, m membership.Member) *holderSession {
	c := &holderSession{
		service: s, holder: m, streams: map[*Stream]struct{}{}, wake: make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// enqueue queues the unsent part of a stream for the next batch.
func (c *holderSession) enqueue(st *Stream) {
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

// run maintains a connection to the holder. After consecutive failures it moves the
// streams to other holders.
func (c *holderSession) run() {
	defer c.cancel()
	for failures := 0; failures < maxConnectFailures; failures++ {
		err := c.sendBatches()
		if c.ctx.Err() != nil {
			return
		}
		c.service.mu.Lock()
		if c.hasAck {
			failures = 0
		}
		c.requeueStreams()
		c.service.mu.Unlock()
		c.service.dialer.Invalidate(c.holder.PeerAddress)
		var dial *rpc.DialError
		if errors.As(err, &dial) {
			break
		}
	}
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.reassignStreams()
}

// reassignStreams ends the session and moves its streams to other holders.
func (c *holderSession) reassignStreams() {
	s := c.service
	if s.sessions[c.holder.ID] != c {
		return
	}
	c.cancel()
	delete(s.sessions, c.holder.ID)
	s.nextProbeAt[c.holder.ID] = time.Now().Add(probeInterval)
	streams := c.streams
	c.streams, c.queue, c.inFlight = nil, nil, nil
	if len(streams) > 0 {
		s.log.Info("holder is not available, moving its streams", "holder", c.holder.ID, "streams", len(streams))
	}
	// Running streams are moved first, because callers wait for their tokens.
	for _, finished := range []bool{false, true} {
		for st := range streams {
			if r, ok := s.store.Get(st.id); ok && r.Finished == finished {
				s.holderMoves.Add(s.ctx, 1)
				s.assign(st)
			}
		}
	}
}

// requeueStreams queues the streams with unacknowledged content for the next connection.
func (c *holderSession) requeueStreams() {
	c.inFlight, c.queue, c.hasAck = nil, nil, false
	for st := range c.streams {
		st.queued, st.recordSent = false, false
		if r, ok := c.service.store.Get(st.id); ok && st.isEndReadable(r) {
			continue
		}
		c.enqueue(st)
	}
}

// isEndReadable reports whether the stream is finished and its end is readable: this
// or an earlier holder has acknowledged the whole record, or no other instance could
// be reached.
func (st *Stream) isEndReadable(r *Record) bool {
	return st.endReadable && r.Finished && st.readableTokens == len(r.Tokens)
}

// sendBatches sends batches on one connection until it fails or an
// acknowledgement is overdue.
func (c *holderSession) sendBatches() error {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	stream, err := wire.NewDRPCReplicaClient(c.service.dialer.Conn(c.holder.PeerAddress)).Session(ctx)
	if err != nil {
		return err
	}
	go c.receiveAcks(stream, cancel)
	go c.watchAcks(ctx, cancel)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.wake:
		}
		for batch := c.nextBatch(); batch != nil; batch = c.nextBatch() {
			if err := stream.Send(batch); err != nil {
				return err
			}
		}
	}
}

// watchAcks closes the connection when its oldest batch is not acknowledged within
// ackTimeout.
func (c *holderSession) watchAcks(ctx context.Context, cancel context.CancelFunc) {
	ticker := time.NewTicker(ackTimeout / 10)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.service.mu.Lock()
			overdue := len(c.inFlight) > 0 && now.Sub(c.inFlight[0].sentAt) > ackTimeout
			c.service.mu.Unlock()
			if overdue {
				cancel()
				return
			}
		}
	}
}

// nextBatch returns the next batch, or nil if the queue is empty.
func (c *holderSession) nextBatch() *wire.ReplicaBatch {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	n := min(len(c.queue), maxBatchStreams)
	if n == 0 {
		return nil
	}
	now := time.Now()
	c.sequence++
	batch := &wire.ReplicaBatch{
		Sequence: c.sequence, Owner: c.service.store.self, Appends: make([]*wire.ReplicaAppend, 0, n),
	}
	unacked := sentBatch{sequence: c.sequence, sentAt: now, entries: make([]batchEntry, 0, n)}
	var size int64
	for i, st := range c.queue[:n] {
		if st.holderSession != c {
			continue
		}
		r, ok := c.service.store.Get(st.id)
		if !ok || st.err != nil {
			st.queued = false
			continue
		}
		a := st.nextAppend(r)
		size += int64(proto.Size(a))
		if size > maxBatchBytes && len(unacked.entries) > 0 {
			n = i
			break
		}
		st.queued = false
		batch.Appends = append(batch.Appends, a)
		st.recordSent, st.sentTokens, st.sentAt, st.sentEngine = true, len(r.Tokens), now, r.Engine
		unacked.entries = append(unacked.entries, batchEntry{stream: st, tokenCount: st.sentTokens, finished: r.Finished})
	}
	c.queue = c.queue[n:]
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.inFlight = append(c.inFlight, unacked)
	return batch
}

// nextAppend returns the part of the record that was not yet sent to the holder.
func (st *Stream) nextAppend(r *Record) *wire.ReplicaAppend {
	if !st.recordSent {
		return &wire.ReplicaAppend{Stream: st.id, Epoch: st.term.Epoch, Open: recordToWire(r)}
	}
	a := &wire.ReplicaAppend{
		Stream: st.id, Epoch: st.term.Epoch, Position: uint64(st.sentTokens), Tokens: r.Tokens[st.sentTokens:],
		Finished: r.Finished, FinishReason: r.FinishReason,
	}
	if r.Engine != st.sentEngine {
		a.EngineAddress, a.EngineStream, a.Attempt = r.Engine.Address, r.Engine.StreamID, r.Engine.Attempt
	}
	return a
}

// receiveAcks processes acknowledgements until the connection fails.
func (c *holderSession) receiveAcks(stream wire.DRPCReplica_SessionClient, cancel context.CancelFunc) {
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

// acknowledge applies an acknowledgement, which covers all batches up to its
// sequence number.
func (c *holderSession) acknowledge(ack *wire.ReplicaAck) {
	rejects := map[string]Reason{}
	for _, r := range ack.GetRejects() {
		rejects[r.GetStream()] = Reason(r.GetReason())
	}
	c.service.endIsolation(c.holder.ID)
	for len(c.inFlight) > 0 && c.inFlight[0].sequence <= ack.GetSequence() {
		sentAt := c.inFlight[0].sentAt
		for _, entry := range c.inFlight[0].entries {
			if entry.stream.holderSession != c {
				continue
			}
			if reason, rejected := rejects[entry.stream.id]; rejected {
				c.handleReject(entry.stream, reason)
				continue
			}
			entry.stream.handleAck(sentAt)
			entry.stream.setReadable(entry.tokenCount, entry.finished)
		}
		c.inFlight = c.inFlight[1:]
		c.hasAck = true
	}
}

// handleReject handles the rejection of an append by the holder.
func (c *holderSession) handleReject(st *Stream, reason Reason) {
	switch reason {
	case StaleEpoch:
		st.loseOwnership()
	case Full:
		delete(c.streams, st)
		st.fullHolder, st.fullHolderUntil = c.holder.ID, time.Now().Add(fullHolderBackoff)
		c.service.holderMoves.Add(c.service.ctx, 1)
		c.service.assign(st)
	default:
		st.recordSent = false
		c.enqueue(st)
	}
}
