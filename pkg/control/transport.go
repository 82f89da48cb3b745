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
	// stepTimeout bounds one call between control instances. It is below the
	// usual election time-out, so that a silent connection is replaced before
	// a leader is given up.
	stepTimeout = 400 * time.Millisecond
	// peerQueue bounds the messages that wait for one peer. Messages beyond it
	// are dropped; consensus sends them again.
	peerQueue = 256
	// transferRest is the least time between two large messages to one peer:
	// consensus repeats a snapshot until it is acknowledged, which takes the
	// peer longer than the repetition interval when the state is large.
	transferRest = time.Second
	// pieceBytes is the largest part of a message in one call; drpc refuses
	// packets above 4 MiB.
	pieceBytes = 1 << 20
)

// carrier takes messages to other members. It may lose, repeat and reorder them.
type carrier interface {
	send(consensus.Message)
}

// transport is the carrier over pkg/rpc: one queue and one sender per peer.
type transport struct {
	dialer  *rpc.Dialer
	log     *slog.Logger
	peers   map[consensus.MemberID]*peer
	dropped atomic.Uint64
	wait    sync.WaitGroup
}

// peer is one other control instance.
type peer struct {
	address  string
	queue    chan consensus.Message
	transfer uint64
	// rest is the end of the time without large messages.
	rest time.Time
}

func newTransport(dialer *rpc.Dialer, log *slog.Logger, self string, members []settings.Peer) *transport {
	t := &transport{dialer: dialer, log: log, peers: map[consensus.MemberID]*peer{}}
	for _, m := range members {
		if m.ID != self {
			t.peers[consensus.MemberID(m.ID)] = &peer{address: m.Address, queue: make(chan consensus.Message, peerQueue)}
		}
	}
	return t
}

// send queues a message and drops it when the queue of the peer is full.
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

// start runs one sender per peer until ctx ends.
func (t *transport) start(ctx context.Context, self string) {
	for _, p := range t.peers {
		t.wait.Go(func() { t.run(ctx, self, p) })
	}
}

func (t *transport) run(ctx context.Context, self string, p *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.queue:
			t.deliver(ctx, p, p.batch(self, m))
		}
	}
}

// deliver makes the calls of a batch until one fails; the rest of it is lost.
func (t *transport) deliver(ctx context.Context, p *peer, requests []*wire.StepRequest) {
	start := time.Now()
	large := false
	for _, request := range requests {
		large = large || request.Piece != nil
		if t.step(ctx, p.address, request) != nil {
			break
		}
	}
	if large {
		p.rest = time.Now().Add(max(transferRest, 2*time.Since(start)))
	}
}

// batch returns the calls for a message and the small ones queued behind it.
func (p *peer) batch(self string, m consensus.Message) []*wire.StepRequest {
	var requests []*wire.StepRequest
	current, size := &wire.StepRequest{}, 0
	transfers := p.transfer
	for {
		data, err := p.encode(m, p.transfer != transfers)
		switch {
		case data == nil || err != nil: // To consensus it is a lost message.
		case len(data) > pieceBytes:
			p.transfer++
			requests = append(requests, split(self, p.transfer, data)...)
		default:
			current.Messages = append(current.Messages, data)
			size += len(data)
		}
		if size >= pieceBytes {
			return append(requests, current)
		}
		select {
		case m = <-p.queue:
			continue
		default:
		}
		if size > 0 {
			requests = append(requests, current)
		}
		return requests
	}
}

// encode returns no data for a snapshot that must wait.
func (p *peer) encode(m consensus.Message, busy bool) ([]byte, error) {
	if m.Snapshot != nil && len(m.Snapshot.Data) > pieceBytes && (busy || time.Now().Before(p.rest)) {
		return nil, nil
	}
	return consensus.Encode(m)
}

func split(self string, transfer uint64, data []byte) []*wire.StepRequest {
	var requests []*wire.StepRequest
	for i := 0; i*pieceBytes < len(data); i++ {
		end := min((i+1)*pieceBytes, len(data))
		requests = append(requests, &wire.StepRequest{Piece: &wire.StepPiece{
			From: self, Transfer: transfer, Index: uint32(i), Last: end == len(data), Data: data[i*pieceBytes : end],
		}})
	}
	return requests
}

func (t *transport) step(ctx context.Context, address string, request *wire.StepRequest) error {
	_, err := rpc.Call(ctx, t.dialer, address, stepTimeout,
		func(ctx context.Context, conn drpc.Conn) (*wire.StepResponse, error) {
			return wire.NewDRPCControlClient(conn).Step(ctx, request)
		})
	return err
}

// assembler joins the pieces of large messages, one transfer per sender at a time.
type assembler struct {
	mu        sync.Mutex
	transfers map[string]*transferState
}

type transferState struct {
	number uint64
	next   uint32
	data   []byte
}

// maxTransferBytes bounds one message in pieces: the state with 35,000
// organisations and a full audit trail is about a tenth of it.
const maxTransferBytes = 256 << 20

// add takes a piece and returns the whole message after its last piece. Pieces
// out of order discard the transfer.
func (a *assembler) add(p *wire.StepPiece) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.transfers[p.From]
	if p.Index == 0 {
		state = &transferState{number: p.Transfer}
		a.transfers[p.From] = state
	}
	if state == nil || state.number != p.Transfer || state.next != p.Index ||
		len(state.data)+len(p.Data) > maxTransferBytes {
		delete(a.transfers, p.From)
		return nil, false
	}
	state.next++
	state.data = append(state.data, p.Data...)
	if p.Last {
		delete(a.transfers, p.From)
	}
	return state.data, p.Last
}
