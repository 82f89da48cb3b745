package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/geraniumpitch/geraniumpitch/pkg/consensus"
	"github.com/geraniumpitch/geraniumpitch/pkg/rpc"
	"github.com/geraniumpitch/geraniumpitch/pkg/settings"
	"github.com/geraniumpitch/geraniumpitch/pkg/wire"
)

const (
	// stepTimeout bounds one call between control instances. It is shorter than
	// the usual election timeout, so that an unresponsive connection is replaced
	// before members start an election.
	stepTimeout = 400 * time.Millisecond
	// peerQueueCapacity bounds the messages queued for one peer. Further messages
	// are dropped; the consensus protocol tolerates that and resends.
	peerQueueCapacity = 256
	// minTransferInterval is the minimum time between two large messages to one
	// peer. Consensus resends a snapshot until it is acknowledged, which for a
	// large state takes the peer longer than the resend interval.
	minTransferInterval = time.Second
	// maxPieceBytes bounds the part of a message in one call; drpc rejects
	// packets above 4 MiB.
	maxPieceBytes = 1 << 20
)

// messageSender sends messages to other members. It may lose, duplicate and
// reorder them.
type messageSender interface {
	send(consensus.Message)
}

// transport implements messageSender over pkg/rpc, with one queue and one sender
// goroutine per peer.
type transport struct {
	dialer  *rpc.Dialer
	log     *slog.Logger
	peers   map[consensus.MemberID]*peerSender
	dropped atomic.Uint64
	senders sync.WaitGroup
}

// peerSender is the sending side for one other control instance. A message above
// maxPieceBytes is sent as a transfer: in numbered pieces, one per call.
type peerSender struct {
	address string
	queue   chan consensus.Message
	// lastTransfer is the number of the last transfer.
	lastTransfer uint64
	// nextTransferAt is the earliest time for the next large message.
	nextTransferAt time.Time
}

func newTransport(dialer *rpc.Dialer, log *slog.Logger, self string, members []settings.Peer) *transport {
	t := &transport{dialer: dialer, log: log, peers: map[consensus.MemberID]*peerSender{}}
	for _, m := range members {
		if m.ID != self {
			t.peers[consensus.MemberID(m.ID)] = &peerSender{address: m.Address, queue: make(chan consensus.Message, peerQueueCapacity)}
		}
	}
	return t
}

// send enqueues a message for its receiver and drops it if the queue is full.
func (t *transport) send(m consensus.Message) {
	p, ok := t.peers[m.To]
	if !ok {
		return
	}
	select {
	case p.queue <- m:
	default:
		t.dropped.Add(1)
	}
}

// start starts one sender goroutine per peer, which runs until ctx ends.
func (t *transport) start(ctx context.Context, self string) {
	for _, p := range t.peers {
		t.senders.Go(func() { t.runSender(ctx, self, p) })
	}
}

func (t *transport) runSender(ctx context.Context, self string, p *peerSender) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			t.sendBatch(ctx, p, p.collectBatch(self, m))
		}
	}
}

// sendBatch makes the calls of a batch in order. After a failed call the
// remaining ones are dropped.
func (t *transport) sendBatch(ctx context.Context, p *peerSender, requests []*wire.StepRequest) {
	start := time.Now()
	hasTransfer := false
	for _, request := range requests {
		hasTransfer = hasTransfer || request.Piece != nil
		if t.callStep(ctx, p.address, request) != nil {
			break
		}
	}
	if hasTransfer {
		p.nextTransferAt = time.Now().Add(max(minTransferInterval, 2*time.Since(start)))
	}
}

// collectBatch returns the calls for a message and for those queued behind it,
// up to maxPieceBytes of small messages and at most one large snapshot.
func (p *peerSender) collectBatch(self string, m consensus.Message) []*wire.StepRequest {
	var requests []*wire.StepRequest
	batch, size := &wire.StepRequest{}, 0
	initialTransfer := p.lastTransfer
	for {
		data, err := p.encode(m, p.lastTransfer != initialTransfer)
		switch {
		case data == nil || err != nil: // For consensus, the message is lost.
		case len(data) > maxPieceBytes:
			p.lastTransfer++
			requests = append(requests, splitPieces(self, p.lastTransfer, data)...)
		default:
			batch.Messages = append(batch.Messages, data)
			size += len(data)
		}
		if size >= maxPieceBytes {
			return append(requests, batch)
		}
		select {
		case m = <-p.queue:
			continue
		default:
		}
		if size > 0 {
			requests = append(requests, batch)
		}
		return requests
	}
}

// encode returns no data for a large snapshot that must not be sent yet.
func (p *peerSender) encode(m consensus.Message, transferCollected bool) ([]byte, error) {
	if m.Snapshot != nil && len(m.Snapshot.Data) > maxPieceBytes && (transferCollected || time.Now().Before(p.nextTransferAt)) {
		return nil, nil
	}
	return consensus.Encode(m)
}

func splitPieces(self string, transfer uint64, data []byte) []*wire.StepRequest {
	var requests []*wire.StepRequest
	for i := 0; i*maxPieceBytes < len(data); i++ {
		end := min((i+1)*maxPieceBytes, len(data))
		requests = append(requests, &wire.StepRequest{Piece: &wire.StepPiece{
			From: self, Transfer: transfer, Index: uint32(i), Last: end == len(data), Data: data[i*maxPieceBytes : end],
		}})
	}
	return requests
}

func (t *transport) callStep(ctx context.Context, address string, request *wire.StepRequest) error {
	_, err := rpc.Call(ctx, t.dialer, address, stepTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.StepResponse, error) {
			return wire.NewDRPCControlClient(conn).Step(ctx, request)
		})
	return err
}

// assembler reassembles large messages from their pieces, one transfer per
// sender at a time.
type assembler struct {
	mu        sync.Mutex
	transfers map[string]*transferState
}

type transferState struct {
	id        uint64
	nextIndex uint32
	data      []byte
}

// maxTransferBytes bounds the size of a reassembled message. The state with 35,000
// organisations and a full audit trail takes about a tenth of it.
const maxTransferBytes = 256 << 20

// add adds a piece. It returns the message and true after the last piece. A piece out
// of order, or one that makes the message larger than maxTransferBytes, discards the
// transfer.
func (a *assembler) add(p *wire.StepPiece) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.transfers[p.From]
	if p.Index == 0 {
		state = &transferState{id: p.Transfer}
		a.transfers[p.From] = state
	}
	if state == nil || state.id != p.Transfer || state.nextIndex != p.Index ||
		len(state.data)+len(p.Data) > maxTransferBytes {
		delete(a.transfers, p.From)
		return nil, false
	}
	state.nextIndex++
	state.data = append(state.data, p.Data...)
	if p.Last {
		delete(a.transfers, p.From)
	}
	return state.data, p.Last
}
